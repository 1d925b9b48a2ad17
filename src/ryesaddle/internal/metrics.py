"""Counters, gauges and latency histograms of one process."""

import asyncio
from bisect import bisect_left
from collections import Counter

FLUSH_S = 1.0
# Upper bounds in seconds: from a datagram between processes to the longest request.
BOUNDS_S = (
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
    """Counts of durations by upper bound, as Prometheus defines histograms."""

    def __init__(self):
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds):
        """Count one duration."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.sum_s += seconds


class Metrics:
    """Collects figures in memory so that the hot path makes no system call.

    Parameters
    ----------
    sink : StatsdSink or None
        Where to send what changed; None keeps the figures in memory only.
    """

    def __init__(self, sink=None):
        self.counts = Counter()
        self.gauges = {}
        self.histograms = {}
        self._sent = Counter()
        self._sink = sink

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counts[name] += amount

    def gauge(self, name, value):
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name, seconds):
        """Count a duration in a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(seconds)

    async def run(self):
        """Send what changed, once a second, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self.flush()

    def flush(self):
        """Send what changed since the last time."""
        if self._sink is None:
            return
        changed = {
            name: value - self._sent[name]
            for name, value in self.counts.items()
            if value != self._sent[name]
        }
        self._sink.send(changed, self.gauges)
        self._sent = Counter(self.counts)
