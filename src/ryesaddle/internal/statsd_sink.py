"""Sends metrics to a statsd server."""

import statsd


class StatsdSink:
    """Sends counters and gauges to one statsd server.

    Parameters
    ----------
    address : Address
        The statsd server.
    prefix : str
        Prefix of every metric name.
    """

    def __init__(self, address, prefix):
        self._client = statsd.StatsClient(address.host, address.port, prefix=prefix)

    def send(self, increments, gauges):
        """Send the increments of counters and the values of gauges."""
        with self._client.pipeline() as pipe:
            for name, value in increments.items():
                pipe.incr(name, value)
            for name, value in gauges.items():
                pipe.gauge(name, value)
