"""Counters, gauges and latency histograms of one process."""

import asyncio
from bisect import bisect_left
from collections import Counter

FLUSH_INTERVAL_S = 1.0
# Upper bounds of histogram buckets. They range from the time of a datagram between
# processes to that of the longest request.
BUCKET_BOUNDS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Histogram:
    """Counts durations in buckets with upper bounds, as in Prometheus."""

    def __init__(self):
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds):
        """Count one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.sum_s += seconds


class Metrics:
    """Collects metrics in memory, so that the hot path makes no system call.

    Parameters
    ----------
    sink : StatsdSink or None
        Where to send metrics; None keeps them in memory only.
    """

    def __init__(self, sink=None):
        self.counts = Counter()
        self.gauges = {}
        self.histograms = {}
        self._sent_counts = Counter()
        self._sink = sink

    def count(self, name, amount=1):
        """Add ``amount`` to a counter."""
        self.counts[name] += amount

    def gauge(self, name, value):
        """Set the value of a gauge."""
        self.gauges[name] = value

    def observe(self, name, seconds):
        """Add a duration to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(seconds)

    async def run(self):
        """Send metrics to the sink every second, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self):
        """Send all gauges, and the increments of counters since the last flush."""
        if self._sink is None:
            return
        increments = {
            name: value - self._sent_counts[name]
            for name, value in self.counts.items()
            if value != self._sent_counts[name]
        }
        self._sink.send(increments, self.gauges)
        self._sent_counts = Counter(self.counts)
