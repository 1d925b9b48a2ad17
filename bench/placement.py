"""Imbalance and waiting times under several placement policies, and overload."""

import statistics
from concurrent.futures import ProcessPoolExecutor

from hdrh.histogram import HdrHistogram

from bench.model import (
    MEAN_SERVICE_S,
    AdmitAll,
    CentralQueue,
    HashOnly,
    LeastLoaded,
    LeastLoadedWithFalseReport,
    ProductPlacement,
    QueueingModel,
    Workload,
)
from ryesaddle.internal.admission.admission import Admission

LOADS = (0.5, 0.7, 0.85, 0.95)
SERVICES = {"case-desk": 7, "pack-archive": 4, "renewal-desk": 7, "cert-office": 3}
SLOTS_PER_TARGET = 2
WORKER_PROCESSES = 4
SLOW_REFUSAL_S = 0.05
POLICIES = {
    "one shared queue": CentralQueue(),
    "hash only": HashOnly(),
    "ask three": ProductPlacement(),
    "least loaded, fresh": LeastLoaded(0.0),
    "least loaded, 0.1 s old": LeastLoaded(0.1),
    "least loaded, 1 s old": LeastLoaded(1.0),
    "reports 5 s old, one lies": LeastLoadedWithFalseReport(5.0),
}
WORKLOADS = {
    "equal": {},
    "mixed": {"long_share": 0.05, "deadline_s": 300.0},
    "one slow": {"slow_factor": 3.0, "deadline_s": 300.0},
}


def run_placement():
    """Return rows of waits and imbalance, one for each policy, load and workload."""
    jobs = [
        (service, policy, kind, load)
        for kind in WORKLOADS
        for load in LOADS
        for policy in POLICIES
        for service in SERVICES
        if service == "case-desk" or (kind == "equal" and load == 0.85)
        # With one target three times slower than the rest, the service is
        # overloaded at higher loads.
        if not (kind == "one slow" and (load > 0.7 or policy == "one shared queue"))
    ]
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        rows = list(pool.map(_placement_row, jobs))
    return [{**row, "closed": _closed_gap_share(row, rows)} for row in rows]


def run_overload():
    """Return rows of goodput at ten times the capacity, with and without retries."""
    rows = []
    for name, max_retries, admission in (
        ("admission", 0, Admission),
        ("admission, callers come back 3 times", 3, Admission),
        ("no admission control", 0, AdmitAll),
    ):
        workload = Workload(10.0, 12_000, deadline_s=2.0, max_retries=max_retries)
        result = QueueingModel(ProductPlacement(), workload, admission=admission).run()
        slow_refusals = sum(s > SLOW_REFUSAL_S for s in result.refusal_delays_s)
        rows.append(
            {
                "case": name,
                "goodput": round(result.goodput(7 * SLOTS_PER_TARGET), 3),
                "in_time": result.in_time,
                "late": result.late,
                "refused": len(result.refusal_delays_s),
                "refused_after_waiting": slow_refusals,
            }
        )
    return rows


def _placement_row(job):
    service, policy, kind, load = job
    workload = Workload(load, **WORKLOADS[kind])
    result = QueueingModel(
        POLICIES[policy], workload, SERVICES[service], SLOTS_PER_TARGET
    ).run()
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for wait in result.waits:
        histogram.record_value(max(1, round(wait * 1e6)))
    scale = MEAN_SERVICE_S * 1e6
    return {
        "service": service,
        "policy": policy,
        "workload": kind,
        "load": load,
        "mean_wait": round(statistics.fmean(result.waits) / MEAN_SERVICE_S, 3),
        "p99_wait": round(histogram.get_value_at_percentile(99) / scale, 2),
        "imbalance": round(result.imbalance, 3),
        "refused": len(result.refusal_delays_s),
    }


def _closed_gap_share(row, rows):
    """Return how far a policy closes the gap from hashing to one shared queue.

    0 is the mean wait of hashing, 1 that of the shared queue.
    """
    mean_waits = {
        other["policy"]: other["mean_wait"]
        for other in rows
        if all(other[k] == row[k] for k in ("service", "workload", "load"))
    }
    shared_queue_wait, hashing_wait = (
        mean_waits.get("one shared queue"),
        mean_waits["hash only"],
    )
    if shared_queue_wait is None or hashing_wait <= shared_queue_wait:
        return None
    return round(
        (hashing_wait - row["mean_wait"]) / (hashing_wait - shared_queue_wait), 3
    )
