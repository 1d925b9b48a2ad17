"""Discrete-event queueing model of one service.

Placement and admission run the product's own code; arrivals, network hops and service
times are simulated.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.admission.admission import Admission, Decline, Start
from ryesaddle.internal.config.model import Limits
from ryesaddle.internal.routing.dispatcher import Dispatcher
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.owner import Accept, Arrival, Owner, PassOn
from ryesaddle.internal.routing.rendezvous import flow_key, rank
from ryesaddle.internal.routing.view import ServiceView
from ryesaddle.internal.wire.message import Forward

SERVICE = "case-desk"
MEAN_SERVICE_S = 0.1
HOP_LATENCY_S = 0.0005
TICK_INTERVAL_S = 0.02


@dataclass(frozen=True)
class CentralQueue:
    """One queue shared by all targets: the lower bound on waiting."""


@dataclass(frozen=True)
class HashOnly:
    """Rendezvous hashing without regard to load."""


@dataclass(frozen=True)
class ProductPlacement:
    """The product's placement: agents offer flows to each other by load."""


@dataclass(frozen=True)
class LeastLoaded:
    """The least loaded target by reports up to ``age_s`` old; ties by hash rank."""

    age_s: float = 0.0


@dataclass(frozen=True)
class LeastLoadedWithFalseReport:
    """Like `LeastLoaded`, but the first target always reports a load of 0."""

    age_s: float = 5.0


@dataclass(frozen=True)
class Workload:
    """Requests that arrive, and how long they take.

    Attributes
    ----------
    load : float
        Offered load as a share of the capacity of all targets.
    requests : int
        Number of requests to simulate.
    deadline_s : float
        How long each caller waits for its answer, in seconds.
    long_share, long_factor : float
        Share of requests that take ``long_factor`` times as long as the others.
    slow_factor : float
        Service time of the first target relative to the others.
    max_retries : int
        How often a caller retries a declined request.
    """

    load: float
    requests: int = 20_000
    deadline_s: float = 30.0
    long_share: float = 0.0
    long_factor: float = 20.0
    slow_factor: float = 1.0
    max_retries: int = 0


@dataclass
class Result:
    """Delays and outcomes of the requests.

    Attributes
    ----------
    waits : list of float
        Seconds from arrival to start, network hops included, of started requests.
    in_time, late : int
        Requests answered before or after their deadline.
    busy_slot_s : list of float
        Slot seconds used by each target.
    refusal_delays_s : list of float
        Seconds from arrival to refusal, of declined requests.
    last_arrival_s : float
        Time of the last arrival.
    last_answer_s : float
        Time of the last answer.
    in_time_slot_s : float
        Slot seconds used for answers in time.
    """

    waits: list = field(default_factory=list)
    in_time: int = 0
    late: int = 0
    busy_slot_s: list = field(default_factory=list)
    refusal_delays_s: list = field(default_factory=list)
    last_arrival_s: float = 0.0
    last_answer_s: float = 0.0
    in_time_slot_s: float = 0.0

    @property
    def imbalance(self):
        """Ratio of the largest to the mean busy time of the targets."""
        return max(self.busy_slot_s) / (sum(self.busy_slot_s) / len(self.busy_slot_s))

    def goodput(self, slots):
        """Return the share of the capacity of ``slots`` spent on answers in time."""
        return self.in_time_slot_s / (slots * self.last_answer_s)


class QueueingModel:
    """Simulates one workload under one placement policy.

    Parameters
    ----------
    policy : data class
        `CentralQueue`, `HashOnly`, `ProductPlacement`, `LeastLoaded` or
        `LeastLoadedWithFalseReport`.
    workload : Workload
        Requests that arrive.
    targets, slots : int
        Number of targets, and of slots at each.
    seed : int
        Seed of the random number generator.
    admission : type
        Class of the admission control of each target.
    """

    def __init__(
        self, policy, workload, targets=7, slots=2, seed=1, admission=Admission
    ):
        self._policy = policy
        self._workload = workload
        self._slots = slots
        self._rng = random.Random(seed)
        limits = Limits(slots=slots, queue=100_000, ramp_s=0.0)
        if isinstance(policy, CentralQueue):
            targets, limits = 1, msgspec.structs.replace(limits, slots=slots * targets)
        elif admission is Admission:
            limits = msgspec.structs.replace(limits, queue=64)
        self._admissions = [admission(limits, 0.0) for _ in range(targets)]
        self._members = [_new_member(number) for number in range(targets)]
        view = ServiceView(SERVICE, 1, tuple(self._members))
        self._view = view
        self._owners = [_new_owner(member, view, slots) for member in self._members]
        self._dispatcher = Dispatcher()
        self._capacity = slots * len(self._admissions)
        if isinstance(policy, CentralQueue):
            self._capacity = limits.slots
        self._last_reports = [0] * targets
        self._reported_at = -1e9
        self._events = []
        self._event_order = itertools.count()
        self.result = Result(busy_slot_s=[0.0] * targets)

    def run(self):
        """Run the simulation and return its `Result`."""
        rate = self._workload.load * self._capacity / self._mean_service_s()
        at = 0.0
        for number in range(self._workload.requests):
            at += self._rng.expovariate(rate)
            self._schedule(at, "arrive", (number, at, 0))
        self._schedule(0.0, "tick", None)
        while self._events:
            now, _, kind, args = heapq.heappop(self._events)
            if kind == "tick":
                self._process_all_due(now)
                if now < at + 2 * self._workload.deadline_s:
                    self._schedule(now + TICK_INTERVAL_S, "tick", None)
            elif kind == "arrive":
                self._arrive(args, now)
            else:
                self._finish(args, now)
            self.result.last_arrival_s = at
        return self.result

    def _mean_service_s(self):
        share = self._workload.long_share
        return MEAN_SERVICE_S * (1 - share + share * self._workload.long_factor)

    def _schedule(self, at, kind, args):
        heapq.heappush(self._events, (at, next(self._event_order), kind, args))

    def _arrive(self, args, now):
        number, first_at, tries = args
        # Each attempt uses a port of its own, so a retry is a new flow.
        target_index, hops = self._choose_target(number * 8 + tries, now)
        target_admission = self._admissions[target_index]
        deadline = now + self._workload.deadline_s
        # The time spent on network hops counts as waiting.
        attempt = (number, tries, first_at, now - hops * HOP_LATENCY_S, deadline)
        decision = target_admission.arrive(attempt, deadline, now)
        if isinstance(decision, Start):
            self._start(target_index, attempt, now)
        elif isinstance(decision, Decline):
            self._handle_decline(attempt, decision, now)

    def _start(self, target_index, attempt, now):
        service_s = self._rng.expovariate(1 / MEAN_SERVICE_S)
        if self._rng.random() < self._workload.long_share:
            service_s *= self._workload.long_factor
        if target_index == 0:
            service_s *= self._workload.slow_factor
        self.result.waits.append(now - attempt[3])
        self.result.busy_slot_s[target_index] += service_s
        self._schedule(now + service_s, "finish", (target_index, attempt, service_s))

    def _finish(self, args, now):
        target_index, attempt, service_s = args
        self.result.last_answer_s = now
        if now <= attempt[4]:
            self.result.in_time += 1
            self.result.in_time_slot_s += service_s
        else:
            self.result.late += 1
        self._admissions[target_index].finish(attempt, now)
        self._process_due(target_index, now)

    def _process_due(self, target_index, now):
        for attempt, decision in self._admissions[target_index].due(now):
            if isinstance(decision, Start):
                self._start(target_index, attempt, now)
            else:
                self._handle_decline(attempt, decision, now)

    def _process_all_due(self, now):
        for target_index in range(len(self._admissions)):
            self._process_due(target_index, now)

    def _handle_decline(self, attempt, decision, now):
        number, tries, first_at, arrived_at, _ = attempt
        self.result.refusal_delays_s.append(now - arrived_at)
        if tries < self._workload.max_retries:
            wait = decision.retry_after_s * self._rng.uniform(1.0, 1.5)
            self._schedule(now + wait, "arrive", (number, first_at, tries + 1))

    def _choose_target(self, number, now):
        caller = Address("10.0.0.1", number)
        match self._policy:
            case CentralQueue():
                return 0, 0
            case HashOnly():
                return self._rank_targets(caller)[0], 2
            case ProductPlacement():
                return self._place_by_offers(caller, now)
            case LeastLoaded(age_s=age):
                return self._least_loaded(caller, self._reported_loads(age, now)), 2
            case LeastLoadedWithFalseReport(age_s=age):
                reports = [0, *self._reported_loads(age, now)[1:]]
                return self._least_loaded(caller, reports), 2

    def _rank_targets(self, caller):
        ranked = rank(flow_key(SERVICE, caller), self._members)
        return [self._members.index(member) for member in ranked]

    def _least_loaded(self, caller, loads):
        return min(
            self._rank_targets(caller), key=lambda target_index: loads[target_index]
        )

    def _reported_loads(self, age_s, now):
        if now - self._reported_at >= age_s:
            self._last_reports = [
                target_admission.load for target_admission in self._admissions
            ]
            self._reported_at = now
        return self._last_reports

    def _place_by_offers(self, caller, now):
        decision = self._dispatcher.route(SERVICE, caller, True, self._view, now)
        member, hops = decision.member, 2
        forward = Forward(
            SERVICE, caller, Address("b", 1), member.node, member.incarnation, b""
        )
        while True:
            target_index = self._members.index(member)
            arrival = Arrival(forward, False, True, str(caller).encode())
            decision = self._owners[target_index].decide(
                arrival, self._admissions[target_index].load
            )
            if isinstance(decision, Accept):
                self._dispatcher.heard(member.node)
                return target_index, hops
            assert isinstance(decision, PassOn)
            member, hops = decision.member, hops + 1
            forward = Forward(
                SERVICE,
                caller,
                forward.balancer,
                member.node,
                member.incarnation,
                b"",
                decision.visited,
                decision.pending,
                decision.offer_load,
                decision.returned,
            )


class AdmitAll(Admission):
    """Admits every request and queues without a limit: the baseline."""

    def arrive(self, attempt, deadline, now):
        """Start or queue; never decline."""
        return super().arrive(attempt, 1e18, now)


def _new_member(number):
    address = Address("127.0.0.1", 1_000 + number)
    return Member(
        node=f"agent-{number}",
        incarnation=1,
        address=address,
        control=address,
        data_centre=f"dc-{number % 4}",
        service=SERVICE,
        target=f"target-{number}",
    )


def _new_owner(member, view, slots):
    owner = Owner(member)
    owner.free_below = slots
    owner.update(view)
    for other in view.members:
        owner.acknowledged(other.identity)
    return owner
