"""Simulates one load pattern at a chosen size."""

import json
from typing import Annotated, Literal

import cyclopts
import msgspec

from bench.long_flows import (
    LONG_FLOW_PATTERNS,
    LONG_FLOW_POLICIES,
    describe_long_flows,
    simulate_long_flows,
)
from bench.surge import (
    PATTERNS,
    POLICIES,
    describe_outcome,
    simulate_pattern,
)

app = cyclopts.App(name="bench.experiment", help=__doc__)


@app.default
def run(
    pattern: Annotated[
        Literal[tuple(PATTERNS | LONG_FLOW_PATTERNS)], cyclopts.Parameter("--pattern")
    ],
    *,
    policy: Literal[tuple(POLICIES | LONG_FLOW_POLICIES)] = "product",
    load: float | None = None,
    outage_s: float | None = None,
    stopped_targets: int | None = None,
    targets: int | None = None,
    slots: int | None = None,
    balancers: int | None = None,
    mean_ms: float | None = None,
    objective_ms: float | None = None,
    timeout_ms: float | None = None,
    seeds: int = 3,
):
    """Print the outcome of a load pattern as one line of JSON.

    Options that are not given keep the value that the pattern has.

    Parameters
    ----------
    pattern : str
        Load and faults.
    policy : str
        Mechanisms of the product that are enabled.
    load : float
        Offered load as a share of the capacity of all targets.
    outage_s : float
        How long a power loss lasts, in seconds.
    stopped_targets : int
        How many targets stop.
    targets, slots, balancers : int
        Number of targets, requests that each runs at a time, and number of balancers.
    mean_ms, objective_ms, timeout_ms : float
        Mean duration, latency objective and longest useful duration of a request.
    seeds : int
        Number of simulations, with the seeds from 1.
    """
    chosen = (PATTERNS | LONG_FLOW_PATTERNS)[pattern]
    sizes = {
        "targets": targets,
        "slots": slots,
        "balancers": balancers,
        "mean_s": None if mean_ms is None else mean_ms / 1000,
        "objective_s": None if objective_ms is None else objective_ms / 1000,
        "timeout_s": None if timeout_ms is None else timeout_ms / 1000,
    }
    service = msgspec.structs.replace(chosen.service, **_without_none(sizes))
    changes = {"load": load, "outage_s": outage_s, "stopped_targets": stopped_targets}
    chosen = msgspec.structs.replace(chosen, service=service, **_without_none(changes))
    is_long = pattern in LONG_FLOW_PATTERNS
    simulate = simulate_long_flows if is_long else simulate_pattern
    describe = describe_long_flows if is_long else describe_outcome
    outcome = simulate(
        chosen, (POLICIES | LONG_FLOW_POLICIES)[policy], range(1, seeds + 1)
    )
    print(json.dumps(describe(pattern, policy, outcome)))


def _without_none(options):
    return {name: value for name, value in options.items() if value is not None}


if __name__ == "__main__":
    app()
