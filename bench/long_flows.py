"""Simulates callers that keep their flows for many requests, on uneven targets.

A target gets a flow while its caller sends one request, and the load of the flow's
later requests over the following seconds.
"""

import math

import msgspec

from bench.surge import (
    ANSWER_BYTES,
    CALLER_LATENCY_S,
    HOP_LATENCY_S,
    MAX_RETRIES,
    POLICIES,
    SERVICE_ADDRESS,
    LoadPatternSimulation,
    Pattern,
    Policy,
    Service,
    describe_outcome,
    simulate_pattern,
)
from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow, Packet

# A caller notices within this time that its flow has ended with the target.
FLOW_LOSS_NOTICE_S = 0.1


class LongFlowPattern(Pattern, frozen=True, kw_only=True):
    """Load of callers that keep their flows.

    Attributes
    ----------
    flows_per_slot : int
        Number of callers for each slot of all targets.
    first_min_flow_s, min_flow_s, max_flow_s : float
        How long a caller keeps a flow, uniformly distributed. The first flows last
        for ``first_min_flow_s`` at least; 0 stands for flows of any age.
    speeds : tuple of float
        Speeds relative to the nominal one, given to the targets in turn.
    wave_s, wave_swing : float
        Period and relative amplitude of the load.
    replace_at, replaced_targets, replace_s : float, int, float
        When some targets are replaced by new ones, how many, and after what time.
    cold_s, cold_factor : float
        For this long after its start a target takes ``cold_factor`` times as long.
    """

    duration_s: float = 60.0
    service: Service = Service(
        targets=37,
        slots=1,
        balancers=6,
        data_centres=3,
        mean_s=0.0276,
        objective_s=0.226,
        timeout_s=1.358,
    )
    load: float = 0.55
    flows_per_slot: int = 50
    first_min_flow_s: float = 0.0
    min_flow_s: float = 10.0
    max_flow_s: float = 50.0
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2, 1.2)
    wave_s: float = 15.0
    wave_swing: float = 0.55
    replace_at: float = math.inf
    replaced_targets: int = 0
    replace_s: float = 2.0
    cold_s: float = 2.0
    cold_factor: float = 1.6


LONG_FLOW_PATTERNS = {
    "long flows": LongFlowPattern(),
    "long flows, opened together": LongFlowPattern(
        first_min_flow_s=60.0, max_flow_s=100.0
    ),
    "long flows, high load": LongFlowPattern(load=0.65),
    "long flows, equal targets": LongFlowPattern(speeds=(1.0,)),
    "long flows, a third replaced": LongFlowPattern(
        replace_at=20.0, replaced_targets=12
    ),
}


LONG_FLOW_POLICIES = {
    "product": Policy(),
    "no speeds": Policy(by_speed=False),
    "no forecast": Policy(by_forecast=False),
    "no speeds, no forecast": Policy(by_speed=False, by_forecast=False),
    "hashing only": POLICIES["hashing only"],
}


class _Caller:
    def __init__(self):
        self.flow = None
        self.flow_ends_at = 0.0
        # The flow and its end, while a refused request is tried again on another.
        self.kept = None
        # Time of its first attempt and number of earlier attempts, if any.
        self.request = None
        self.waiting_since = []


class LongFlowSimulation(LoadPatternSimulation):
    """Simulates one `LongFlowPattern` under one policy."""

    def __init__(self, pattern, policy, seed=1):
        self._callers = {}
        self._agent_of = {}
        self._sequence_numbers = {}
        self._started_at = {}
        super().__init__(pattern, policy, seed)

    def run(self):
        """Run the simulation and return its `Outcome`."""
        pattern, service = self._pattern, self._service
        callers = pattern.flows_per_slot * service.targets * service.slots
        self._rate = pattern.load / pattern.flows_per_slot / service.mean_s
        for _ in range(callers):
            self._schedule_request(0.0, _Caller())
        for number in range(pattern.replaced_targets):
            # Every third one, so that the group has targets of all speeds.
            target = self._targets[number * 3 % service.targets]
            self._schedule(pattern.replace_at, self._stop_target, target)
            self._schedule(
                pattern.replace_at + pattern.replace_s, self._restart_target, target
            )
        # The load of the callers takes the place of the arrivals of the base class.
        self._pattern = msgspec.structs.replace(pattern, load=1e-9)
        return super().run()

    # Callers

    def _schedule_request(self, now, caller):
        peak_rate = self._rate * (1 + self._pattern.wave_swing)
        at = now
        while at < self._pattern.duration_s:
            at += self._rng.expovariate(peak_rate)
            wave = math.sin(2 * math.pi * at / self._pattern.wave_s)
            rate = self._rate * (1 + self._pattern.wave_swing * wave)
            if self._rng.random() * peak_rate < rate:
                self._schedule(at, self._begin_request, caller)
                return

    def _begin_request(self, now, caller):
        if now >= self._pattern.duration_s:
            return
        self._schedule_request(now, caller)
        self.outcome.asked += 1
        if caller.request is not None:
            caller.waiting_since.append(now)
            return
        self._send_request(now, caller, now)

    def _send_request(self, now, caller, first_at):
        caller.request = (first_at, 0)
        flow = caller.flow
        if flow is not None and now > caller.flow_ends_at:
            self._close_flow(now, flow)
            flow = caller.flow = None
        if flow is None:
            self._open_flow_of(now, caller)
            return
        node, run_number = self._agent_of[flow]
        self._schedule(
            now + CALLER_LATENCY_S + 2 * HOP_LATENCY_S,
            self._receive_request,
            node,
            flow,
            run_number,
        )

    def _open_flow(self, now, first_at, tries):
        """Ignore the arrivals of the base class."""

    def _open_flow_of(self, now, caller):
        first_at, tries = caller.request
        flow = Flow(Address("100.64.0.7", next(self._ports)), SERVICE_ADDRESS)
        is_first = caller.flow_ends_at == 0.0
        pattern = self._pattern
        min_flow_s = pattern.first_min_flow_s if is_first else pattern.min_flow_s
        duration_s = self._rng.uniform(min_flow_s, self._pattern.max_flow_s)
        caller.flow, caller.flow_ends_at = flow, now + duration_s
        self._callers[flow] = caller
        self._send_opening_packets(now, flow, first_at, tries)

    def _retry(self, now, flow):
        caller = self._callers[flow]
        if self._requests[flow][2] == "over" or caller.flow != flow:
            return
        if flow in self._agent_of and self._holds(flow):
            if caller.kept is None:
                caller.kept = flow, caller.flow_ends_at
            else:
                self._close_flow(now, flow)
        else:
            self._close_flow(now, flow)
        caller.flow = None
        if caller.request is None:
            return
        first_at, tries = caller.request
        if now > first_at + self._service.timeout_s or tries >= MAX_RETRIES:
            self.outcome.failed += 1
            self._end_request(now, caller)
            return
        caller.request = (first_at, tries + 1)
        self._open_flow_of(now, caller)

    def _holds(self, flow):
        node, run_number = self._agent_of[flow]
        return run_number == self._agents[node][0].run_number

    def _handle_loss(self, now, flow):
        caller = self._callers[flow]
        if caller.kept is not None and caller.kept[0] == flow:
            self._close_flow(now, flow)
            caller.kept = None
        else:
            self._retry(now, flow)

    def _close_flow(self, now, flow):
        self._requests[flow][2] = "over"
        node, run_number = self._agent_of.pop(flow, (None, None))
        if node is not None and run_number == self._agents[node][0].run_number:
            self._agents[node][2].record_caller_packet(
                Packet(flow, resets=True), b"", now
            )

    def _record_answer(self, now, flow):
        caller = self._callers[flow]
        if caller.flow != flow or caller.request is None:
            return
        first_at, _ = caller.request
        if now <= first_at + self._service.objective_s:
            self.outcome.in_time += 1
        elif now <= first_at + self._service.timeout_s:
            self.outcome.late += 1
        else:
            self.outcome.failed += 1
        self._end_request(now, caller)

    def _end_request(self, now, caller):
        caller.request = None
        if caller.kept is not None:
            if caller.flow is not None:
                self._close_flow(now, caller.flow)
            caller.flow, caller.flow_ends_at = caller.kept
            caller.kept = None
        if caller.waiting_since:
            self._send_request(now, caller, caller.waiting_since.pop(0))

    # Agents and targets

    def _deliver(self, now, node, forwarded, flow, copy):
        super()._deliver(now, node, forwarded, flow, copy)
        if self._requests[flow][2] == "open" and flow not in self._agent_of:
            self._agent_of[flow] = node, self._agents[node][0].run_number

    def _next_sequence_number(self, flow):
        number = self._sequence_numbers.get(flow, 0) + 1
        self._sequence_numbers[flow] = number
        return number

    def _answer(self, flow):
        return Packet(flow, has_data=True, data_size=ANSWER_BYTES)

    def _processing_s(self, now, target):
        pattern = self._pattern
        speed = pattern.speeds[target.number % len(pattern.speeds)]
        processing_s = super()._processing_s(now, target) / speed
        if now < self._started_at.get(target.number, -math.inf) + pattern.cold_s:
            processing_s *= pattern.cold_factor
        return processing_s

    def _stop_target(self, now, target):
        target.alive = False
        target.run_number += 1
        target.running, target.queue = 0, []
        node = f"side-{target.number}"
        self._send_report(now, node, gone=True)
        for flow, (holder, _) in list(self._agent_of.items()):
            if holder == node:
                self._schedule(now + FLOW_LOSS_NOTICE_S, self._handle_loss, flow)

    def _send_report(self, now, node, gone=False):
        if self._agents[node][0].alive or gone:
            super()._send_report(now, node, gone)

    def _restart_target(self, now, target):
        target.alive = True
        target.agent_number += 1
        self._started_at[target.number] = now
        self._start_agent(now, target)
        self._send_report(now, f"side-{target.number}")


def simulate_long_flows(pattern, policy, seeds=(1, 2, 3)):
    """Return the `Outcome` of a `LongFlowPattern` over several seeds."""
    return simulate_pattern(pattern, policy, seeds, LongFlowSimulation)


def describe_long_flows(pattern, policy, outcome):
    """Return a row with the shares of an `Outcome`, those of long flows included."""
    return {
        **describe_outcome(pattern, policy, outcome),
        "refused": round(outcome.refused / outcome.asked, 4),
        "longest_busy": round(outcome.longest_busy, 3),
        "remote_flows": outcome.remote,
    }


def run_long_flows():
    """Return one row for each pattern and policy."""
    return [
        describe_long_flows(name, policy_name, simulate_long_flows(pattern, policy))
        for name, pattern in LONG_FLOW_PATTERNS.items()
        for policy_name, policy in LONG_FLOW_POLICIES.items()
    ]
