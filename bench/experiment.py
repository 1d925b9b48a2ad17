"""Simulates one load pattern at a chosen size."""

import json
from typing import Annotated, Literal

import cyclopts
import msgspec

from bench.surge import (
    PATTERNS,
    POLICIES,
    Service,
    describe_outcome,
    simulate_pattern,
)

app = cyclopts.App(name="bench.experiment", help=__doc__)


@app.default
def run(
    pattern: Annotated[Literal[tuple(PATTERNS)], cyclopts.Parameter("--pattern")],
    *,
    policy: Literal[tuple(POLICIES)] = "product",
    load: float | None = None,
    outage_s: float | None = None,
    stopped_targets: int | None = None,
    targets: int = 7,
    slots: int = 2,
    balancers: int = 4,
    mean_ms: float = 31.5,
    objective_ms: float = 150,
    timeout_ms: float = 1_200,
    seeds: int = 3,
):
    """Print the outcome of a load pattern as one line of JSON.

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
    service = Service(
        targets=targets,
        slots=slots,
        balancers=balancers,
        mean_s=mean_ms / 1000,
        objective_s=objective_ms / 1000,
        timeout_s=timeout_ms / 1000,
    )
    changes = {"load": load, "outage_s": outage_s, "stopped_targets": stopped_targets}
    changes = {name: value for name, value in changes.items() if value is not None}
    chosen = msgspec.structs.replace(PATTERNS[pattern], service=service, **changes)
    outcome = simulate_pattern(chosen, POLICIES[policy], range(1, seeds + 1))
    print(json.dumps(describe_outcome(pattern, policy, outcome)))


if __name__ == "__main__":
    app()
