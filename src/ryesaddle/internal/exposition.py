"""Metrics in the Prometheus text format.

This module is imported on the first request for metrics only: prometheus_client
takes longer to import than everything else that a process needs at its start.
"""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from ryesaddle.internal.metrics import BUCKET_BOUNDS_S

PREFIX = "ryesaddle_"


class _Collector:
    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield the counters, gauges and histograms as metric families."""
        for name, value in sorted(self._metrics.counts.items()):
            family = CounterMetricFamily(_metric_name(name), f"Count of {name}.")
            family.add_metric([], value)
            yield family
        for name, value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(
                _metric_name(name), f"Value of {name}.", value=value
            )
        for name, histogram in sorted(self._metrics.histograms.items()):
            yield HistogramMetricFamily(
                _metric_name(name) + "_seconds",
                f"Duration of {name}.",
                buckets=_cumulative_buckets(histogram),
                sum_value=histogram.sum_s,
            )


def exposition(metrics):
    """Return all metrics of a process in the Prometheus text format, as bytes."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


def _metric_name(name):
    return PREFIX + name.replace(".", "_").replace("-", "_")


def _cumulative_buckets(histogram):
    total, buckets = 0, []
    for bound, count in zip((*map(str, BUCKET_BOUNDS_S), "+Inf"), histogram.counts):
        total += count
        buckets.append((bound, total))
    return buckets
