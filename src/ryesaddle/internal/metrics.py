"""Counters and gauges, sent to statsd once a second."""

import asyncio
from collections import Counter

import statsd

FLUSH_S = 1.0


class Metrics:
    """Collects counts in memory so that the hot path makes no system call.

    Parameters
    ----------
    address : Address or None
        The statsd server; None keeps the counts in memory only.
    prefix : str
        Prefix of every name.
    """

    def __init__(self, address, prefix):
        self.counts = Counter()
        self.gauges = {}
        self._sent = Counter()
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(address.host, address.port, prefix=prefix)

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
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self.counts.items():
                if value != self._sent[name]:
                    pipe.incr(name, value - self._sent[name])
            for name, value in self.gauges.items():
                pipe.gauge(name, value)
        self._sent = Counter(self.counts)
