"""Load patterns of one service, on the product's own decisions."""

import heapq
import itertools
import math
import random
from unittest import mock

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import AgentDirectory
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
from ryesaddle.internal.wire.passing import AgentReport, Candidate, ForwardedPacket

SERVICE = "case-desk"
FRONT = Address("198.18.0.1", 443)
BALANCERS = 4
SLOTS = 2
TARGET_QUEUE = 8  # what a target queues before it sheds
CALLER_S = 0.003  # one way between callers and hosts, from the users' sheets
HOP_S = 0.0006
REPORT_S = 0.2
TICK_S = 0.02
RETRIES = 2
WORK_MEAN_S, WORK_SPREAD = 0.0315, 0.5  # status checks and submissions, mixed
OBJECTIVE_S, TIMEOUT_S = 0.15, 1.2


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """What happens to one service.

    Attributes
    ----------
    load : float
        Share of the capacity of all targets that is asked for.
    length_s : float
        How long callers come, in seconds.
    targets : int
        How many targets there are.
    dark_at, dark_s : float
        When all hosts lose power, and for how long.
    cold_s, cold_factor : float
        For how long after the dark requests take so many times as long.
    burst_at, burst_s, burst_factor : float
        When so many times as many callers come, and for how long.
    gone_at, gone_s : float
        When some targets end, and for how long.
    gone : int
        How many of them.
    slow_factor : float
        How many times longer the first target takes.
    """

    load: float = 0.6
    length_s: float = 12.0
    targets: int = 7
    dark_at: float = math.inf
    dark_s: float = 0.0
    cold_s: float = 2.0
    cold_factor: float = 1.6
    burst_at: float = math.inf
    burst_s: float = 0.0
    burst_factor: float = 1.0
    gone_at: float = math.inf
    gone_s: float = 0.0
    gone: int = 0
    slow_factor: float = 1.0


PATTERNS = {
    "calm": Pattern(),
    "power loss": Pattern(dark_at=4.0, dark_s=1.6),
    "burst": Pattern(burst_at=4.0, burst_s=2.0, burst_factor=2.5),
    "half of the targets gone": Pattern(gone_at=4.0, gone_s=3.0, gone=4),
    "a slow target": Pattern(slow_factor=6.0),
}


class Policy(msgspec.Struct, frozen=True):
    """Which decisions of the product are taken out.

    Attributes
    ----------
    offers : bool
        Whether agents offer new flows to each other.
    by_load : bool
        Whether balancers heed the load of agents.
    waits : bool
        Whether flows wait at the agent rather than at the target.
    fresh_first : bool
        Whether flows that can be in time go before those that are late.
    """

    offers: bool = True
    by_load: bool = True
    waits: bool = True
    fresh_first: bool = True


POLICIES = {
    "product": Policy(),
    "order of arrival": Policy(fresh_first=False),
    "no waiting at the agent": Policy(waits=False),
    "no offers": Policy(offers=False),
    "hashing only": Policy(offers=False, by_load=False, waits=False),
}


class Outcome(msgspec.Struct, kw_only=True):
    """What became of the requests.

    Attributes
    ----------
    asked, in_time, late, failed : int
        Requests.
    busiest : float
        Requests run by the busiest target, over the mean of all.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    busiest: float = 0.0

    @property
    def payoff(self):
        """Share of what is owed, with late answers at the sheets' three tenths."""
        return (self.in_time + 0.3 * self.late) / max(1, self.asked)


class _Target:
    def __init__(self, number):
        self.number = number
        self.alive = True
        self.running = 0
        self.runs = 0
        self.queue = []
        self.run = 0


class SurgeModel:
    """Plays one pattern under one policy.

    Parameters
    ----------
    pattern : Pattern
        What happens.
    policy : Policy
        What is decided.
    seed : int
        Seed of all randomness.
    """

    def __init__(self, pattern, policy, seed=1):
        self._pattern = pattern
        self._policy = policy
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._ports = itertools.count(1)
        self._targets = [_Target(number) for number in range(pattern.targets)]
        self._agents = {}
        self._requests = {}
        self.outcome = Outcome()
        self._start_processes(0.0)

    def play(self):
        """Return the `Outcome`."""
        pattern, at = self._pattern, 0.0
        rate = pattern.load * pattern.targets * SLOTS / WORK_MEAN_S
        while at < pattern.length_s:
            burst = pattern.burst_at <= at < pattern.burst_at + pattern.burst_s
            factor = pattern.burst_factor if burst else 1.0
            at += self._rng.expovariate(rate * factor)
            self._push(at, self._ask, at, 0)
        for number in range(int((pattern.length_s + TIMEOUT_S) / TICK_S)):
            self._push(number * TICK_S, self._tick, number)
        if pattern.dark_at < math.inf:
            self._push(pattern.dark_at, self._lose_power)
        for target in self._targets[: pattern.gone]:
            self._push(pattern.gone_at, self._end, target)
            self._push(pattern.gone_at + pattern.gone_s, self._begin, target)
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)
        runs = [target.runs for target in self._targets]
        self.outcome.busiest = max(runs) * len(runs) / sum(runs)
        return self.outcome

    def _push(self, at, function, *args):
        heapq.heappush(self._events, (at, next(self._order), function, args))

    def _is_dark(self, now):
        start = self._pattern.dark_at
        return start <= now < start + self._pattern.dark_s

    def _start_processes(self, now):
        self._directories = [AgentDirectory() for _ in range(BALANCERS)]
        self._placements = [Placement("dc", d) for d in self._directories]
        for target in self._targets:
            node = f"side-{target.number}"
            me = Candidate(node, Address("10.0.0.1", target.number))
            belief, flows, queue = (
                TargetState(SERVICE, 0.77),
                TargetFlows(),
                FlowQueue(),
            )
            belief.apply_heartbeat(
                TargetReport(f"i-{target.run}", SERVICE, 1, slots=SLOTS), now
            )
            holder = AgentRouter(me, SERVICE, belief, flows, queue)
            self._agents[node] = (target, holder, flows, queue, me)
        self._report(now)

    def _report(self, now):
        for node, (target, holder, _, _, me) in self._agents.items():
            self._sequence = getattr(self, "_sequence", 0) + 1
            report = AgentReport(
                node=node,
                incarnation=1,
                service=SERVICE,
                data_centre="dc",
                address=me.address,
                open=holder.is_open(now),
                load=holder.load(now),
                slots=SLOTS,
                target=f"i-{target.number}",
                draining=False,
                sequence=self._sequence,
            )
            for directory, placement in zip(self._directories, self._placements):
                directory.apply_report(report, now)
                placement.liveness.heard(node)

    def _tick(self, now, number):
        if self._is_dark(now):
            return
        if number % round(REPORT_S / TICK_S) == 0:
            self._report(now)
        for node in self._agents:
            self._serve_waiting(now, node)

    # Callers

    def _ask(self, now, first_at, tries):
        if tries == 0:
            self.outcome.asked += 1
        if now > first_at + TIMEOUT_S or tries > RETRIES:
            self.outcome.failed += 1
            return
        flow = Flow(Address("100.64.0.7", next(self._ports)), FRONT)
        self._requests[flow] = [first_at, tries, "opening"]
        for copy, age_s in enumerate(COPY_DELAYS_S):
            self._push(now + age_s + CALLER_S, self._at_balancer, flow, copy)
        self._push(now + CALLER_GIVE_UP_S, self._give_up, flow)

    def _give_up(self, now, flow):
        if self._requests[flow][2] == "opening":
            self._again(now, flow)

    def _again(self, now, flow):
        first_at, tries, state = self._requests[flow]
        if state == "over":
            return
        self._requests[flow][2] = "over"
        self._ask(now, first_at, tries + 1)

    def _answered(self, now, flow):
        first_at, _, state = self._requests[flow]
        if state == "over":
            return
        self._requests[flow][2] = "over"
        if now <= first_at + OBJECTIVE_S:
            self.outcome.in_time += 1
        elif now <= first_at + TIMEOUT_S:
            self.outcome.late += 1
        else:
            self.outcome.failed += 1

    # Balancers and agents

    def _at_balancer(self, now, flow, copy):
        if self._is_dark(now) or self._requests[flow][2] != "opening":
            return
        number = hash(flow.caller.port) % BALANCERS
        directory, placement = self._directories[number], self._placements[number]
        if self._policy.by_load:
            found = placement.choose_agent(SERVICE, flow, copy, now)
        else:
            order = placement.rank_agents(SERVICE, flow, True, now)
            found = Dispatch(order[0], "ranked") if order else Discard("none")
        if isinstance(found, Discard):
            return
        placement.record_agent(flow, found.member.node)
        directory.count_flow(found.member.node)
        others = found.others if self._policy.offers else ()
        forwarded = ForwardedPacket(
            service=SERVICE,
            balancer=Address("10.0.1.1", number),
            payload=b"",
            candidates=tuple(Candidate(m.node, m.address) for m in others),
            objective_ms=round(OBJECTIVE_S * 1000),
            timeout_ms=round(TIMEOUT_S * 1000),
        )
        self._push(
            now + HOP_S, self._at_agent, found.member.node, forwarded, flow, copy
        )

    def _at_agent(self, now, node, forwarded, flow, copy):
        if self._is_dark(now):
            return
        _target, holder, _, queue, _ = self._agents[node]
        packet = Packet(flow, opens=True, copy=copy)
        decision = holder.decide(forwarded, packet, now)
        if isinstance(decision, Enqueue) and not self._policy.waits:
            decision = Deliver("no-waiting")
        match decision:
            case Deliver():
                self._deliver(now, node, forwarded, flow, copy)
            case Enqueue(reason="busy"):
                queue.put(flow, forwarded, copy, now)
            case OfferTo(candidate=candidate, forwarded=onward):
                args = (candidate.node, onward, flow, copy)
                self._push(now + HOP_S, self._at_agent, *args)
            case ReturnToBalancer(forwarded=onward):
                self._search(now, onward, flow, copy)
            case _ if self._requests[flow][2] == "opening":
                self._push(now + 2 * CALLER_S, self._again, flow)

    def _search(self, now, forwarded, flow, copy):
        number = forwarded.balancer.port
        placement = self._placements[number]
        order = placement.rank_agents(SERVICE, flow, True, now)
        member = next((m for m in order if m.node not in forwarded.asked), None)
        if member is not None:
            placement.record_agent(flow, member.node)
            args = (member.node, forwarded, flow, copy)
            self._push(now + 2 * HOP_S, self._at_agent, *args)

    def _serve_waiting(self, now, node):
        _, holder, flows, queue, _ = self._agents[node]
        for flow, _ in queue.pop_expired(flows.service_s, now):
            if self._requests[flow][2] == "opening":
                self._push(now + 2 * CALLER_S, self._again, flow)
        while (found := holder.pop_next(now)) is not None:
            flow, item = found
            self._deliver(now, node, item.forwarded, flow, 0)

    def _deliver(self, now, node, forwarded, flow, copy):
        target, holder, flows, _, _ = self._agents[node]
        if not target.alive:
            if holder.record_refusal(now):
                self._report(now)
            asked = (*forwarded.asked, node)
            onward = msgspec.structs.replace(forwarded, asked=asked)
            self._search(now, onward, flow, copy)
            return
        flows.record_opening(flow, now, forwarded, TIMEOUT_S)
        flows.record_target_packet(Packet(flow, accepts=True), now)
        if self._requests[flow][2] == "opening":
            self._requests[flow][2] = "open"
            self._push(
                now + 2 * CALLER_S + HOP_S, self._request, node, flow, target.run
            )

    # Targets

    def _request(self, now, node, flow, run):
        target, _, flows, _, _ = self._agents[node]
        if self._is_dark(now) or not target.alive or run != target.run:
            return
        asked = Packet(flow, has_data=True, sequence_number=1)
        flows.record_caller_packet(asked, b"", now)
        if target.running < SLOTS:
            self._run(now, node, flow)
        elif len(target.queue) < TARGET_QUEUE:
            target.queue.append(flow)
        else:
            flows.record_target_packet(Packet(flow, has_data=True, ends=True), now)
            self._push(now + 2 * CALLER_S, self._again, flow)

    def _run(self, now, node, flow):
        target = self._agents[node][0]
        target.running += 1
        target.runs += 1
        mu = math.log(WORK_MEAN_S) - WORK_SPREAD**2 / 2
        taken = self._rng.lognormvariate(mu, WORK_SPREAD)
        lit = self._pattern.dark_at + self._pattern.dark_s
        if lit <= now < lit + self._pattern.cold_s:
            taken *= self._pattern.cold_factor
        if target.number == 0:
            taken *= self._pattern.slow_factor
        self._push(now + taken, self._done, node, flow, target.run)

    def _done(self, now, node, flow, run):
        target, _, flows, _, _ = self._agents[node]
        if run != target.run:
            return
        target.running -= 1
        flows.record_target_packet(Packet(flow, has_data=True, ends=True), now)
        self._push(now + CALLER_S, self._answered, flow)
        if target.queue:
            self._run(now, node, target.queue.pop(0))
        self._serve_waiting(now, node)

    def _end(self, now, target):
        target.alive = False
        target.run += 1
        target.running, target.queue = 0, []
        node = f"side-{target.number}"
        flows = self._agents[node][2]
        for flow in list(flows._flows):
            flows.record_return(flow)
            if self._requests[flow][2] == "open":
                # The agent verifies the flow, and the caller is told.
                self._push(now + 0.1, self._again, flow)

    def _begin(self, now, target):
        target.alive = True

    def _lose_power(self, now):
        for target in self._targets:
            target.run += 1
            target.running, target.queue = 0, []
        for request in self._requests.values():
            # Callers of open flows wait in vain: nobody remembers these.
            if request[2] == "open":
                request[2] = "over"
                self.outcome.failed += 1
        self._push(now + self._pattern.dark_s, lambda at: self._start_processes(at))


def play(pattern, policy, seeds=(1, 2, 3)):
    """Return one `Outcome` that sums a pattern's over several seeds."""
    total = Outcome()
    urgency = mock.patch(
        "ryesaddle.internal.target.queue._service_order",
        lambda item, service_s, now: item.queued_at,
    )
    for seed in seeds:
        model = SurgeModel(pattern, policy, seed)
        if policy.fresh_first:
            found = model.play()
        else:
            with urgency:
                found = model.play()
        for name in ("asked", "in_time", "late", "failed"):
            setattr(total, name, getattr(total, name) + getattr(found, name))
        total.busiest += found.busiest / len(seeds)
    return total


def run_surge():
    """Return rows of every pattern under every policy."""
    rows = []
    for name, pattern in PATTERNS.items():
        for title, policy in POLICIES.items():
            found = play(pattern, policy)
            rows.append(
                {
                    "pattern": name,
                    "policy": title,
                    "asked": found.asked,
                    "in_time": round(found.in_time / found.asked, 4),
                    "late": round(found.late / found.asked, 4),
                    "failed": round(found.failed / found.asked, 4),
                    "payoff": round(found.payoff, 4),
                    "busiest": round(found.busiest, 3),
                }
            )
    return rows
