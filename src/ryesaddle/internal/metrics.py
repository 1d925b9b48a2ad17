"""Counters and gauges of one process."""

import asyncio
from collections import Counter

FLUSH_S = 1.0


class Metrics:
    """Collects counts in memory so that the hot path makes no system call.

    Parameters
    ----------
    sink : StatsdSink or None
        Where to send what changed; None keeps the counts in memory only.
    """

    def __init__(self, sink=None):
        self.counts = Counter()
        self.gauges = {}
        self._sent = Counter()
        self._sink = sink

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counts[name] += amount

    def gauge(self, name, value):
        """Set a gauge."""
        self.gauges[name] = value

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
