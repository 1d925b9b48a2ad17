"""Simulates targets that fail their requests at once while they seem well.

A target that fails at once has free slots at any time, so that placement by load sends
it more than its share of the requests.
"""

import math

from bench.surge import (
    ANSWER_BYTES,
    CALLER_LATENCY_S,
    SERVICE_ADDRESS,
    LoadPatternSimulation,
    Pattern,
    Policy,
    Service,
    describe_outcome,
    simulate_pattern,
)
from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Packet

# Requests of this route may run once, so that their callers do not repeat them.
SUBMISSION_ADDRESS = Address("198.18.0.1", 8080)
SUBMISSION_SHARE = 1 / 3
FAILURE_S = 0.001  # after which a failing target answers
ANSWER_BYTES_SIGMA = 0.5  # of a log-normal distribution
ERROR_BYTES = 200


class FailurePattern(Pattern, frozen=True, kw_only=True):
    """Targets of which some fail.

    Attributes
    ----------
    failing_targets : int
        How many targets fail.
    fail_at, fail_s : float
        When they do, and for how long, in seconds.
    failed_share : float
        The share of their requests that they fail.
    how : str
        ``error``, a short answer, or ``reset``.
    """

    service: Service = Service(
        targets=24,
        slots=2,
        balancers=6,
        mean_s=0.0586,
        objective_s=0.4,
        timeout_s=2.7,
    )
    load: float = 0.4
    failing_targets: int = 3
    fail_at: float = 4.0
    fail_s: float = 8.0
    failed_share: float = 1.0
    how: str = "error"


FAILURE_PATTERNS = {
    "errors": FailurePattern(),
    "errors in part": FailurePattern(failed_share=0.4),
    "resets": FailurePattern(how="reset"),
    "errors from the start": FailurePattern(fail_at=0.0, fail_s=12.0),
    "errors of all": FailurePattern(failing_targets=24, failed_share=0.4),
    "burst without failures": FailurePattern(
        failing_targets=0, burst_at=4.0, burst_s=2.0, burst_factor=4.0
    ),
}
FAILURE_POLICIES = {
    "product": Policy(),
    "own past only": Policy(by_service=False),
    "no ejection": Policy(eject_failing=False),
}


class FailingTargetSimulation(LoadPatternSimulation):
    """Simulates one `FailurePattern` under one policy."""

    def _is_repeatable(self, flow):
        return flow.front != SUBMISSION_ADDRESS

    def _open_flow(self, now, first_at, tries, front=None):
        if front is None:
            is_submission = self._rng.random() < SUBMISSION_SHARE
            front = SUBMISSION_ADDRESS if is_submission else SERVICE_ADDRESS
        super()._open_flow(now, first_at, tries, front)

    def _answer(self, flow):
        log_mean = math.log(ANSWER_BYTES)
        size = round(self._rng.lognormvariate(log_mean, ANSWER_BYTES_SIGMA))
        return Packet(flow, has_data=True, data_size=size, ends=True)

    def _is_failing(self, now, target):
        pattern = self._pattern
        return (
            target.number < pattern.failing_targets
            and pattern.fail_at <= now < pattern.fail_at + pattern.fail_s
            and self._rng.random() < pattern.failed_share
        )

    def _start_request(self, now, node, flow):
        target = self._agents[node][0]
        if self._is_failing(now, target):
            target.started_requests += 1
            self._schedule(now + FAILURE_S, self._fail_request, node, flow)
        else:
            super()._start_request(now, node, flow)

    def _fail_request(self, now, node, flow):
        if self._pattern.how == "reset":
            packet = Packet(flow, resets=True)
        else:
            packet = Packet(flow, has_data=True, data_size=ERROR_BYTES, ends=True)
        self._agents[node][2].record_target_packet(packet, now)
        if self._is_repeatable(flow):
            self._schedule(now + CALLER_LATENCY_S, self._retry, flow)
        elif self._requests[flow][2] != "over":
            self._requests[flow][2] = "over"
            self.outcome.failed += 1


def simulate_failures(pattern, policy, seeds=(1, 2, 3)):
    """Return the `Outcome` of a `FailurePattern` over several seeds."""
    return simulate_pattern(pattern, policy, seeds, FailingTargetSimulation)


def run_failing_targets():
    """Return one row for each pattern and policy."""
    return [
        describe_outcome(name, policy_name, simulate_failures(pattern, policy))
        for name, pattern in FAILURE_PATTERNS.items()
        for policy_name, policy in FAILURE_POLICIES.items()
    ]
