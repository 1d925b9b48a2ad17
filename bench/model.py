"""A request-level queueing model of one service, on the product's own decisions."""

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
HOP_S = 0.0005
TICK_S = 0.02


@dataclass(frozen=True)
class CentralQueue:
    """One queue shared by all targets: the best that can be had."""


@dataclass(frozen=True)
class HashOnly:
    """Rendezvous hashing, nothing else."""


@dataclass(frozen=True)
class Offer:
    """The product's placement: hand on once after asking the second choice."""


@dataclass(frozen=True)
class LeastLoaded:
    """The least loaded target by reports of a given age, ties by hash."""

    age_s: float = 0.0


@dataclass(frozen=True)
class ReportedLoad:
    """Like `LeastLoaded`, believing reports of which one target's is always 0."""

    age_s: float = 5.0


@dataclass(frozen=True)
class Workload:
    """What arrives.

    Attributes
    ----------
    load : float
        Share of the capacity of all targets.
    requests : int
        How many requests to model.
    deadline_s : float
        Seconds each caller is willing to wait.
    pack_share, pack_factor : float
        Share of requests that take ``pack_factor`` times as long.
    slow_factor : float
        How many times longer the first target takes.
    max_retries : int
        How often a caller that was refused comes back.
    """

    load: float
    requests: int = 20_000
    deadline_s: float = 30.0
    pack_share: float = 0.0
    pack_factor: float = 20.0
    slow_factor: float = 1.0
    max_retries: int = 0


@dataclass
class Result:
    """What became of the requests.

    Attributes
    ----------
    waits : list of float
        Seconds from arrival to dispatch, of dispatched requests.
    in_time, late : int
        Requests answered within or after their deadline.
    busy_s : list of float
        Slot seconds used by each target.
    refusals_s : list of float
        Seconds from arrival to refusal, of refused requests.
    span_s : float
        Time of the last arrival.
    end_s : float
        Time of the last answer.
    in_time_s : float
        Slot seconds used for answers in time.
    """

    waits: list = field(default_factory=list)
    in_time: int = 0
    late: int = 0
    busy_s: list = field(default_factory=list)
    refusals_s: list = field(default_factory=list)
    span_s: float = 0.0
    end_s: float = 0.0
    in_time_s: float = 0.0

    @property
    def imbalance(self):
        """Largest over mean busy time of the targets."""
        return max(self.busy_s) / (sum(self.busy_s) / len(self.busy_s))

    def goodput(self, slots):
        """Share of the capacity of ``slots`` that went into answers in time."""
        return self.in_time_s / (slots * self.end_s)


class Model:
    """Runs one workload under one policy.

    Parameters
    ----------
    policy : data class
        One of those above.
    workload : Workload
        What arrives.
    targets, slots : int
        Size of the service.
    seed : int
        Seed of all randomness.
    admission : type
        Admission to put before each target.
    """

    def __init__(
        self, policy, workload, targets=7, slots=2, seed=1, admission=Admission
    ):
        self._policy = policy
        self._work = workload
        self._slots = slots
        self._rng = random.Random(seed)
        limits = Limits(slots=slots, queue=100_000, ramp_s=0.0)
        if isinstance(policy, CentralQueue):
            targets, limits = 1, msgspec.structs.replace(limits, slots=slots * targets)
        elif admission is Admission:
            limits = msgspec.structs.replace(limits, queue=64)
        self._gates = [admission(limits, 0.0) for _ in range(targets)]
        self._members = [_member(number) for number in range(targets)]
        view = ServiceView(SERVICE, 1, tuple(self._members))
        self._view = view
        self._owners = [_owner(member, view, slots) for member in self._members]
        self._dispatcher = Dispatcher()
        self._capacity = slots * len(self._gates)
        if isinstance(policy, CentralQueue):
            self._capacity = limits.slots
        self._reports = [0] * targets
        self._reported_at = -1e9
        self._events = []
        self._order = itertools.count()
        self.result = Result(busy_s=[0.0] * targets)

    def run(self):
        """Return the `Result`."""
        rate = self._work.load * self._capacity / self._mean_service()
        at = 0.0
        for number in range(self._work.requests):
            at += self._rng.expovariate(rate)
            self._push(at, "arrive", (number, at, 0))
        self._push(0.0, "tick", None)
        while self._events:
            now, _, kind, body = heapq.heappop(self._events)
            if kind == "tick":
                self._wake_all(now)
                if now < at + 2 * self._work.deadline_s:
                    self._push(now + TICK_S, "tick", None)
            elif kind == "arrive":
                self._arrive(body, now)
            else:
                self._finish(body, now)
            self.result.span_s = at
        return self.result

    def _mean_service(self):
        share = self._work.pack_share
        return MEAN_SERVICE_S * (1 - share + share * self._work.pack_factor)

    def _push(self, at, kind, body):
        heapq.heappush(self._events, (at, next(self._order), kind, body))

    def _arrive(self, body, now):
        number, first_at, tries = body
        place, hops = self._place(number * 8 + tries, now)
        gate = self._gates[place]
        deadline = now + self._work.deadline_s
        attempt = (number, tries, first_at, now - hops * HOP_S, deadline)
        decision = gate.arrive(attempt, deadline, now)
        if isinstance(decision, Start):
            self._start(place, attempt, now)
        elif isinstance(decision, Decline):
            self._refuse(attempt, decision, now)

    def _start(self, place, attempt, now):
        taken = self._rng.expovariate(1 / MEAN_SERVICE_S)
        if self._rng.random() < self._work.pack_share:
            taken *= self._work.pack_factor
        if place == 0:
            taken *= self._work.slow_factor
        self.result.waits.append(now - attempt[3])
        self.result.busy_s[place] += taken
        self._push(now + taken, "finish", (place, attempt, taken))

    def _finish(self, body, now):
        place, attempt, taken = body
        self.result.end_s = now
        if now <= attempt[4]:
            self.result.in_time += 1
            self.result.in_time_s += taken
        else:
            self.result.late += 1
        self._gates[place].finish(attempt, now)
        self._wake(place, now)

    def _wake(self, place, now):
        for attempt, decision in self._gates[place].due(now):
            if isinstance(decision, Start):
                self._start(place, attempt, now)
            else:
                self._refuse(attempt, decision, now)

    def _wake_all(self, now):
        for place in range(len(self._gates)):
            self._wake(place, now)

    def _refuse(self, attempt, decision, now):
        number, tries, first_at, arrived_at, _ = attempt
        self.result.refusals_s.append(now - arrived_at)
        if tries < self._work.max_retries:
            wait = decision.retry_after_s * self._rng.uniform(1.0, 1.5)
            self._push(now + wait, "arrive", (number, first_at, tries + 1))

    def _place(self, number, now):
        caller = Address("10.0.0.1", number)
        match self._policy:
            case CentralQueue():
                return 0, 0
            case HashOnly():
                return self._ranked(caller)[0], 2
            case Offer():
                return self._offer(caller, now)
            case LeastLoaded(age_s=age):
                return self._least(caller, self._reported(age, now)), 2
            case ReportedLoad(age_s=age):
                reports = [0, *self._reported(age, now)[1:]]
                return self._least(caller, reports), 2

    def _ranked(self, caller):
        ranked = rank(flow_key(SERVICE, caller), self._members)
        return [self._members.index(member) for member in ranked]

    def _least(self, caller, loads):
        return min(self._ranked(caller), key=lambda place: loads[place])

    def _reported(self, age_s, now):
        if now - self._reported_at >= age_s:
            self._reports = [gate.load for gate in self._gates]
            self._reported_at = now
        return self._reports

    def _offer(self, caller, now):
        decision = self._dispatcher.route(SERVICE, caller, True, self._view, now)
        member, hops = decision.member, 2
        fwd = Forward(
            SERVICE, caller, Address("b", 1), member.node, member.incarnation, b""
        )
        while True:
            place = self._members.index(member)
            arrival = Arrival(fwd, False, True, str(caller).encode())
            decision = self._owners[place].decide(arrival, self._gates[place].load)
            if isinstance(decision, Accept):
                self._dispatcher.heard(member.node)
                return place, hops
            assert isinstance(decision, PassOn)
            member, hops = decision.member, hops + 1
            fwd = Forward(
                SERVICE,
                caller,
                fwd.balancer,
                member.node,
                member.incarnation,
                b"",
                decision.visited,
                decision.pending,
                decision.offer_load,
                decision.returned,
            )


class NoAdmission(Admission):
    """Admits everything and queues without bound: the baseline."""

    def arrive(self, attempt, deadline, now):
        """Start or queue; never decline."""
        return super().arrive(attempt, 1e18, now)


def _member(number):
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


def _owner(member, view, slots):
    owner = Owner(member)
    owner.free_below = slots
    owner.update(view)
    for other in view.members:
        owner.acknowledged(other.identity)
    return owner
