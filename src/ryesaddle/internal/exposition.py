"""Metrics in the text format that Prometheus reads.

Imported on the first request for metrics only: the library takes longer to import
than all else that a process needs for its start.
"""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from ryesaddle.internal.metrics import BOUNDS_S

PREFIX = "ryesaddle_"


class _Collector:
    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield all metrics."""
        for name, value in sorted(self._metrics.counts.items()):
            family = CounterMetricFamily(_name(name), f"Count of {name}.")
            family.add_metric([], value)
            yield family
        for name, value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_name(name), f"Value of {name}.", value=value)
        for name, histogram in sorted(self._metrics.histograms.items()):
            yield HistogramMetricFamily(
                _name(name) + "_seconds",
                f"Duration of {name}.",
                buckets=_buckets(histogram),
                sum_value=histogram.sum_s,
            )


def exposition(metrics):
    """Return the bytes of all metrics of a process."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


def _name(name):
    return PREFIX + name.replace(".", "_").replace("-", "_")


def _buckets(histogram):
    total, buckets = 0, []
    for bound, count in zip((*map(str, BOUNDS_S), "+Inf"), histogram.counts):
        total += count
        buckets.append((bound, total))
    return buckets
