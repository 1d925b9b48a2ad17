"""Discrete-event simulation of one service under several load patterns.

Balancers and agents run the product's own routing and queueing code; callers, the
network and targets are simulated.
"""

import heapq
import itertools
import math
import random
from unittest import mock

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.admission.health import OnProbation, Serving
from ryesaddle.internal.membership.directory import AgentDirectory
from ryesaddle.internal.membership.report_schedule import report_interval_s
from ryesaddle.internal.routing.dispatcher import Discard, Dispatch
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import CALLER_GIVE_UP_S, COPY_DELAYS_S, FlowQueue
from ryesaddle.internal.target.report import TargetReport
from ryesaddle.internal.target.router import (
    AgentRouter,
    Deliver,
    Enqueue,
    OfferTo,
    ReturnToBalancer,
)
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.wire.passthrough import AgentReport, Candidate, ForwardedPacket

SERVICE = "case-desk"
SERVICE_ADDRESS = Address("198.18.0.1", 443)
TARGET_QUEUE_LIMIT = 8  # requests; a target refuses more
CALLER_LATENCY_S = 0.003  # one way between callers and hosts, from the requirements
HOP_LATENCY_S = 0.0006
TICK_INTERVAL_S = 0.02
MAX_RETRIES = 2
ANSWER_BYTES = 1_000
SERVICE_TIME_SIGMA = 0.5  # of a log-normal distribution


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Size of the simulated deployment and of its requests.

    Attributes
    ----------
    targets, slots, balancers : int
        Number of targets, requests that each runs at a time, and number of balancers.
    data_centres : int
        Number of data centres, over which targets and balancers are spread evenly.
    mean_s : float
        Mean duration of a request at a target, in seconds.
    objective_s, timeout_s : float
        Latency objective of a request, and the longest useful duration, in seconds.
    """

    targets: int = 7
    slots: int = 2
    balancers: int = 4
    data_centres: int = 1
    mean_s: float = 0.0315
    objective_s: float = 0.15
    timeout_s: float = 1.2


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """Load and faults of one service.

    Times are in seconds from the start of the simulation.

    Attributes
    ----------
    load : float
        Offered load as a share of the capacity of all targets.
    duration_s : float
        How long callers send requests.
    service : Service
        Size of the deployment.
    power_loss_at, outage_s : float
        When all hosts lose power, and for how long.
    recovery_s, recovery_factor : float
        For this long after an outage, requests take ``recovery_factor`` times as long.
    late_balancers : int
        Number of balancers that need ``late_by_s`` longer to start after an outage.
        The packets of their callers wait in their sockets.
    late_by_s : float
        That time.
    burst_at, burst_s, burst_factor : float
        When ``burst_factor`` times as many requests arrive, and for how long.
    stop_at, stop_s : float
        When some targets stop, and for how long.
    stopped_targets : int
        How many of them stop.
    slow_factor : float
        Service time of the first target relative to the others.
    """

    load: float = 0.6
    duration_s: float = 12.0
    service: Service = Service()
    power_loss_at: float = math.inf
    outage_s: float = 0.0
    recovery_s: float = 2.0
    recovery_factor: float = 1.6
    late_balancers: int = 0
    late_by_s: float = 0.0
    burst_at: float = math.inf
    burst_s: float = 0.0
    burst_factor: float = 1.0
    stop_at: float = math.inf
    stop_s: float = 0.0
    stopped_targets: int = 0
    slow_factor: float = 1.0


PATTERNS = {
    "calm": Pattern(),
    "power loss": Pattern(power_loss_at=4.0, outage_s=1.6),
    "late balancers": Pattern(
        power_loss_at=4.0, outage_s=1.0, late_balancers=3, late_by_s=1.0
    ),
    "burst": Pattern(burst_at=4.0, burst_s=2.0, burst_factor=2.5),
    "half of the targets gone": Pattern(stop_at=4.0, stop_s=3.0, stopped_targets=4),
    "a slow target": Pattern(slow_factor=6.0),
}


class Policy(msgspec.Struct, frozen=True):
    """Mechanisms of the product that are enabled.

    Attributes
    ----------
    offers_between_agents : bool
        Whether agents offer new flows to each other.
    balance_by_load : bool
        Whether balancers consider the reported load of agents.
    queue_at_agent : bool
        Whether new flows wait at the agent instead of at the target.
    in_time_first : bool
        Whether flows that can still meet the latency objective are served before
        those that cannot; otherwise flows are served in order of arrival.
    by_speed, by_forecast : bool
        Whether balancers consider the speed of targets and the load that open flows
        bring.
    eject_failing : bool
        Whether agents judge the answers of their targets and report those that fail.
    by_service : bool
        Whether agents judge them by the usual answers of the service, or only by what
        their own target has answered before.
    """

    offers_between_agents: bool = True
    balance_by_load: bool = True
    queue_at_agent: bool = True
    in_time_first: bool = True
    by_speed: bool = True
    by_forecast: bool = True
    eject_failing: bool = True
    by_service: bool = True


POLICIES = {
    "product": Policy(),
    "order of arrival": Policy(in_time_first=False),
    "no waiting at the agent": Policy(queue_at_agent=False),
    "no offers": Policy(offers_between_agents=False),
    "hashing only": Policy(
        offers_between_agents=False, balance_by_load=False, queue_at_agent=False
    ),
}


class Outcome(msgspec.Struct, kw_only=True):
    """Counts of requests by outcome.

    Attributes
    ----------
    asked, in_time, late, failed : int
        Requests sent, answered within the latency objective, answered later but
        before the timeout, and without a useful answer: it came after the timeout or
        not at all, or the caller used up its retries.
    busiest : float
        Requests started by the busiest target, relative to the mean of all targets.
    refused : int
        Requests that a target refused because its queue was full.
    remote : int
        Flows that were sent to another data centre.
    longest_busy : float
        Busy time of the target with the most of it, relative to the mean.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    busiest: float = 0.0
    refused: int = 0
    remote: int = 0
    longest_busy: float = 0.0

    @property
    def payoff(self):
        """Share of the full payment that is earned; a late answer earns 0.3 of it."""
        return (self.in_time + 0.3 * self.late) / max(1, self.asked)


class _SimulatedTarget:
    def __init__(self, number):
        self.number = number
        self.alive = True
        self.running = 0
        self.started_requests = 0
        self.busy_s = 0.0
        self.queue = []
        self.agent_number = 1
        # Changes when the process ends, so that events of an earlier run are ignored.
        self.run_number = 0


def _max_to_mean(values):
    values = list(values)
    return max(values) * len(values) / sum(values)


class LoadPatternSimulation:
    """Simulates one pattern under one policy.

    Parameters
    ----------
    pattern : Pattern
        Load and faults.
    policy : Policy
        Mechanisms that are enabled.
    seed : int
        Seed of the random number generator.
    """

    def __init__(self, pattern, policy, seed=1):
        self._pattern = pattern
        self._service = pattern.service
        self._policy = policy
        self._rng = random.Random(seed)
        self._events = []
        self._event_order = itertools.count()
        self._ports = itertools.count(1)
        self._targets = [
            _SimulatedTarget(number) for number in range(pattern.service.targets)
        ]
        self._agents = {}
        self._health_states = {}
        self._report_sequence = 0
        # By flow: time of the first attempt, number of earlier attempts, and the
        # state "opening", "open" or "over".
        self._requests = {}
        self.outcome = Outcome()
        self._start_processes(0.0)

    def run(self):
        """Run the simulation and return its `Outcome`."""
        pattern, at = self._pattern, 0.0
        service = self._service
        rate = pattern.load * service.targets * service.slots / service.mean_s
        while at < pattern.duration_s:
            burst = pattern.burst_at <= at < pattern.burst_at + pattern.burst_s
            factor = pattern.burst_factor if burst else 1.0
            at += self._rng.expovariate(rate * factor)
            self._schedule(at, self._open_flow, at, 0)
        for number in range(
            int((pattern.duration_s + service.timeout_s) / TICK_INTERVAL_S)
        ):
            self._schedule(number * TICK_INTERVAL_S, self._tick, number)
        if pattern.power_loss_at < math.inf:
            self._schedule(pattern.power_loss_at, self._lose_power)
        for target in self._targets[: pattern.stopped_targets]:
            self._schedule(pattern.stop_at, self._stop_target, target)
            self._schedule(
                pattern.stop_at + pattern.stop_s, self._restart_target, target
            )
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)
        self.outcome.busiest = _max_to_mean(t.started_requests for t in self._targets)
        self.outcome.longest_busy = _max_to_mean(t.busy_s for t in self._targets)
        return self.outcome

    def _schedule(self, at, function, *args):
        heapq.heappush(self._events, (at, next(self._event_order), function, args))

    def _is_powered_off(self, now):
        start = self._pattern.power_loss_at
        return start <= now < start + self._pattern.outage_s

    def _start_processes(self, now):
        self._directories = [AgentDirectory() for _ in range(self._service.balancers)]
        self._placements = [
            Placement(self._data_centre(number), directory)
            for number, directory in enumerate(self._directories)
        ]
        for target in self._targets:
            self._start_agent(now, target)
        self._send_reports(now)

    def _data_centre(self, number):
        return f"dc-{number % self._service.data_centres}"

    def _start_agent(self, now, target):
        node = f"side-{target.number}"
        own_candidate = Candidate(node, Address("10.0.0.1", target.number))
        target_state, flows, queue = (
            TargetState(SERVICE, 0.77),
            TargetFlows(),
            FlowQueue(),
        )
        target_state.apply_heartbeat(
            TargetReport(
                f"i-{target.run_number}", SERVICE, 1, slots=self._service.slots
            ),
            now,
        )
        agent_router = AgentRouter(own_candidate, SERVICE, target_state, flows, queue)
        self._agents[node] = (target, agent_router, flows, queue, own_candidate)

    def _send_reports(self, now):
        for node in self._agents:
            self._send_report(now, node)

    def _send_report(self, now, node, gone=False):
        target, agent_router, flows, _, own_candidate = self._agents[node]
        work_s, forecast = flows.work_s(now), agent_router.forecast(now)
        outcomes, health = flows.outcomes, flows.outcomes.health
        self._report_sequence += 1
        report = AgentReport(
            node=node,
            # Changes when a target is replaced together with its agent.
            incarnation=target.agent_number,
            service=SERVICE,
            data_centre=self._data_centre(target.number),
            address=own_candidate.address,
            open=agent_router.is_open(now),
            load=agent_router.load(now),
            slots=self._service.slots,
            target=f"i-{target.number}-{target.agent_number}",
            draining=False,
            sequence=self._report_sequence,
            gone=gone,
            work_s=work_s if self._policy.by_speed else 0.0,
            forecast=forecast if self._policy.by_forecast else 0.0,
            failing=health.is_failing(now),
            on_probation=isinstance(health.state(now), OnProbation),
            usual_answers=outcomes.usual_answers(),
        )
        for directory, placement in zip(self._directories, self._placements):
            directory.apply_report(report, now)
            placement.liveness.heard(node)
        if self._policy.by_service:
            usual = self._directories[0].usual_answers(SERVICE, now)
            outcomes.set_service_usual(usual)

    def _tick(self, now, number):
        if self._is_powered_off(now):
            return
        interval_s = report_interval_s(self._service.targets)
        if number % round(interval_s / TICK_INTERVAL_S) == 0:
            self._send_reports(now)
        for node in self._agents:
            self._check_health(now, node)
            self._serve_queue(now, node)

    def _check_health(self, now, node):
        """Report at once that a target fails, or that it gets flows again."""
        outcomes = self._agents[node][2].outcomes
        if not self._policy.eject_failing:
            outcomes.health.forget()
        outcomes.settle(now)
        state = type(outcomes.health.state(now))
        if self._health_states.get(node, Serving) is not state:
            self._health_states[node] = state
            self._send_report(now, node)

    # Callers

    def _is_repeatable(self, flow):
        return True

    def _open_flow(self, now, first_at, tries, front=SERVICE_ADDRESS):
        if tries == 0:
            self.outcome.asked += 1
        if now > first_at + self._service.timeout_s or tries > MAX_RETRIES:
            self.outcome.failed += 1
            return
        flow = Flow(Address("100.64.0.7", next(self._ports)), front)
        self._send_opening_packets(now, flow, first_at, tries)

    def _send_opening_packets(self, now, flow, first_at, tries):
        self._requests[flow] = [first_at, tries, "opening"]
        for copy, age_s in enumerate(COPY_DELAYS_S):
            self._schedule(
                now + age_s + CALLER_LATENCY_S, self._reach_balancer, flow, copy
            )
        self._schedule(now + CALLER_GIVE_UP_S, self._handle_opening_timeout, flow)

    def _handle_opening_timeout(self, now, flow):
        if self._requests[flow][2] == "opening":
            self._retry(now, flow)

    def _retry(self, now, flow):
        first_at, tries, state = self._requests[flow]
        if state == "over":
            return
        self._requests[flow][2] = "over"
        self._open_flow(now, first_at, tries + 1, flow.front)

    def _record_answer(self, now, flow):
        first_at, _, state = self._requests[flow]
        if state == "over":
            return
        self._requests[flow][2] = "over"
        if now <= first_at + self._service.objective_s:
            self.outcome.in_time += 1
        elif now <= first_at + self._service.timeout_s:
            self.outcome.late += 1
        else:
            self.outcome.failed += 1

    # Balancers and agents

    def _reach_balancer(self, now, flow, copy):
        """Let a packet reach its balancer, or wait in its socket until it starts."""
        if self._is_powered_off(now) or self._requests[flow][2] != "opening":
            return
        pattern, index = self._pattern, hash(flow.caller.port) % self._service.balancers
        starts_at = pattern.power_loss_at + pattern.outage_s
        if index < pattern.late_balancers:
            starts_at += pattern.late_by_s
        if pattern.power_loss_at <= now < starts_at:
            self._schedule(starts_at, self._route_at_balancer, flow, copy, index)
        else:
            self._route_at_balancer(now, flow, copy, index)

    def _route_at_balancer(self, now, flow, copy, balancer_index):
        directory, placement = (
            self._directories[balancer_index],
            self._placements[balancer_index],
        )
        if self._policy.balance_by_load:
            decision = placement.choose_agent(
                SERVICE, flow, copy, now, self._is_repeatable(flow)
            )
        else:
            ranked = placement.rank_agents(SERVICE, flow, True, now)
            decision = Dispatch(ranked[0], "ranked") if ranked else Discard("none")
        if isinstance(decision, Discard):
            return
        placement.record_agent(flow, decision.member.node)
        directory.count_flow(decision.member.node)
        data_centre = self._data_centre(balancer_index)
        self.outcome.remote += decision.member.data_centre != data_centre
        others = decision.others if self._policy.offers_between_agents else ()
        forwarded = ForwardedPacket(
            service=SERVICE,
            balancer=Address("10.0.1.1", balancer_index),
            payload=b"",
            candidates=tuple(Candidate(m.node, m.address) for m in others),
            objective_ms=round(self._service.objective_s * 1000),
            timeout_ms=round(self._service.timeout_s * 1000),
            repeatable=self._is_repeatable(flow),
        )
        self._schedule(
            now + HOP_LATENCY_S,
            self._route_at_agent,
            decision.member.node,
            forwarded,
            flow,
            copy,
        )

    def _route_at_agent(self, now, node, forwarded, flow, copy):
        if self._is_powered_off(now):
            return
        _target, agent_router, _, queue, _ = self._agents[node]
        packet = Packet(flow, opens=True, copy=copy)
        decision = agent_router.decide(forwarded, packet, now)
        if isinstance(decision, Enqueue) and not self._policy.queue_at_agent:
            decision = Deliver("no-waiting")
        match decision:
            case Deliver():
                self._deliver(now, node, forwarded, flow, copy)
            case Enqueue():
                queue.put(flow, forwarded, copy, now)
            case OfferTo(candidate=candidate, forwarded=updated):
                args = (candidate.node, updated, flow, copy)
                self._schedule(now + HOP_LATENCY_S, self._route_at_agent, *args)
            case ReturnToBalancer(forwarded=updated):
                self._send_to_next_agent(now, updated, flow, copy)
            case _ if self._requests[flow][2] == "opening":
                self._schedule(now + 2 * CALLER_LATENCY_S, self._retry, flow)

    def _send_to_next_agent(self, now, forwarded, flow, copy):
        balancer_index = forwarded.balancer.port
        placement = self._placements[balancer_index]
        ranked = placement.rank_agents(SERVICE, flow, True, now)
        member = next((m for m in ranked if m.node not in forwarded.asked), None)
        if member is not None:
            placement.record_agent(flow, member.node)
            args = (member.node, forwarded, flow, copy)
            self._schedule(now + 2 * HOP_LATENCY_S, self._route_at_agent, *args)

    def _serve_queue(self, now, node):
        _, agent_router, flows, queue, _ = self._agents[node]
        for flow, _ in queue.pop_expired(flows.service_s, now):
            if self._requests[flow][2] == "opening":
                self._schedule(now + 2 * CALLER_LATENCY_S, self._retry, flow)
        while (queued := agent_router.pop_next(now)) is not None:
            flow, item = queued
            self._deliver(now, node, item.forwarded, flow, 0)

    def _deliver(self, now, node, forwarded, flow, copy):
        target, agent_router, flows, _, _ = self._agents[node]
        if not target.alive:
            if agent_router.record_refusal(now):
                self._send_reports(now)
            asked = (*forwarded.asked, node)
            updated = msgspec.structs.replace(forwarded, asked=asked)
            self._send_to_next_agent(now, updated, flow, copy)
            return
        flows.record_opening(flow, now, forwarded, self._service.timeout_s)
        flows.record_target_packet(Packet(flow, accepts=True), now)
        if self._requests[flow][2] == "opening":
            self._requests[flow][2] = "open"
            self._schedule(
                now + 2 * CALLER_LATENCY_S + HOP_LATENCY_S,
                self._receive_request,
                node,
                flow,
                target.run_number,
            )

    # Targets

    def _receive_request(self, now, node, flow, run_number):
        target, _, flows, _, _ = self._agents[node]
        if (
            self._is_powered_off(now)
            or not target.alive
            or run_number != target.run_number
        ):
            return
        request = Packet(
            flow, has_data=True, sequence_number=self._next_sequence_number(flow)
        )
        flows.record_caller_packet(request, b"", now, self._service.slots)
        if target.running < self._service.slots:
            self._start_request(now, node, flow)
        elif len(target.queue) < TARGET_QUEUE_LIMIT:
            target.queue.append(flow)
        else:
            self.outcome.refused += 1
            flows.record_target_packet(self._answer(flow), now)
            self._schedule(now + 2 * CALLER_LATENCY_S, self._retry, flow)

    def _next_sequence_number(self, flow):
        return 1

    def _answer(self, flow):
        return Packet(flow, has_data=True, data_size=ANSWER_BYTES, ends=True)

    def _start_request(self, now, node, flow):
        target = self._agents[node][0]
        target.running += 1
        target.started_requests += 1
        processing_s = self._processing_s(now, target)
        target.busy_s += processing_s
        self._schedule(
            now + processing_s, self._finish_request, node, flow, target.run_number
        )

    def _processing_s(self, now, target):
        log_mean = math.log(self._service.mean_s) - SERVICE_TIME_SIGMA**2 / 2
        processing_s = self._rng.lognormvariate(log_mean, SERVICE_TIME_SIGMA)
        power_restored_at = self._pattern.power_loss_at + self._pattern.outage_s
        if power_restored_at <= now < power_restored_at + self._pattern.recovery_s:
            processing_s *= self._pattern.recovery_factor
        if target.number == 0:
            processing_s *= self._pattern.slow_factor
        return processing_s

    def _finish_request(self, now, node, flow, run_number):
        target, _, flows, _, _ = self._agents[node]
        if run_number != target.run_number:
            return
        target.running -= 1
        flows.record_target_packet(self._answer(flow), now)
        self._schedule(now + CALLER_LATENCY_S, self._record_answer, flow)
        if target.queue:
            self._start_request(now, node, target.queue.pop(0))
        self._serve_queue(now, node)

    def _stop_target(self, now, target):
        target.alive = False
        target.run_number += 1
        target.running, target.queue = 0, []
        node = f"side-{target.number}"
        flows = self._agents[node][2]
        for flow in list(flows._flows):
            flows.record_return(flow, opens=False)
            if self._requests[flow][2] == "open":
                # The agent checks the flow and notifies the caller, which retries.
                self._schedule(now + 0.1, self._retry, flow)

    def _restart_target(self, now, target):
        target.alive = True

    def _lose_power(self, now):
        for target in self._targets:
            target.run_number += 1
            target.running, target.queue = 0, []
        for request in self._requests.values():
            # No process remembers the open flows, so their callers get no answer.
            if request[2] == "open":
                request[2] = "over"
                self.outcome.failed += 1
        self._schedule(
            now + self._pattern.outage_s, lambda at: self._start_processes(at)
        )


def simulate_pattern(
    pattern, policy, seeds=(1, 2, 3), simulation_type=LoadPatternSimulation
):
    """Return the `Outcome` over several seeds: counts added up, ratios averaged."""
    total = Outcome()
    serve_in_arrival_order = mock.patch(
        "ryesaddle.internal.target.queue._service_order",
        lambda item, service_s, now: item.queued_at,
    )
    for seed in seeds:
        simulation = simulation_type(pattern, policy, seed)
        if policy.in_time_first:
            outcome = simulation.run()
        else:
            with serve_in_arrival_order:
                outcome = simulation.run()
        for name in ("asked", "in_time", "late", "failed", "refused", "remote"):
            setattr(total, name, getattr(total, name) + getattr(outcome, name))
        total.busiest += outcome.busiest / len(seeds)
        total.longest_busy += outcome.longest_busy / len(seeds)
    return total


def describe_outcome(pattern, policy, outcome):
    """Return a row with the shares of an `Outcome`."""
    return {
        "pattern": pattern,
        "policy": policy,
        "asked": outcome.asked,
        "in_time": round(outcome.in_time / outcome.asked, 4),
        "late": round(outcome.late / outcome.asked, 4),
        "failed": round(outcome.failed / outcome.asked, 4),
        "payoff": round(outcome.payoff, 4),
        "busiest": round(outcome.busiest, 3),
    }


def run_surge():
    """Return one row for each pattern and policy."""
    return [
        describe_outcome(name, policy_name, simulate_pattern(pattern, policy))
        for name, pattern in PATTERNS.items()
        for policy_name, policy in POLICIES.items()
    ]
