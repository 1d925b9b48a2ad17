"""Models how a configuration that changes fast spreads over links of limited rate."""

import heapq
import itertools
import random
import zlib
from dataclasses import dataclass, field

import msgspec

from ryesaddle.daemons.passthrough.http import COMPRESSION_LEVEL
from ryesaddle.daemons.passthrough.peers import (
    FETCH_TIMEOUT_S,
    GOSSIP_INTERVAL_S,
    SharedState,
)
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.fetch_schedule import (
    CONFIGURATION_RETRY_S,
    FetchResult,
    FetchSchedule,
)
from ryesaddle.internal.membership.transfer_slots import TransferSlots
from ryesaddle.internal.routing.route import Route, RouteTable, TrafficShare
from ryesaddle.internal.routing.route_history import RouteHistory

BOUND_S = 5.0
READ_INTERVAL_S = 0.8
READERS = 2
SAMPLE_INTERVAL_S = 0.05
ROUTES_BEFORE = 46


@dataclass(frozen=True)
class Differences:
    """Each transfer holds what differs, compressed; one transfer at a time."""


@dataclass(frozen=True)
class WholeTables:
    """Each transfer holds all routes; what has come before a timeout is discarded."""


@dataclass(frozen=True)
class Storm:
    """A configuration that grows by many routes, and then changes fast.

    Attributes
    ----------
    members : int
        Number of balancers.
    routes : int
        Number of routes from the first new version on.
    gap_s, for_s : float
        Time between two versions, and time during which they come, in seconds.
    link_mbps : float
        Rate of the link of each balancer, in Mbit/s.
    failing_at : float or None
        Time from which the first reader answers no more, in seconds.
    """

    members: int = 25
    routes: int = 1_300
    gap_s: float = 0.15
    for_s: float = 4.5
    link_mbps: float = 10.0
    failing_at: float | None = None


@dataclass(frozen=True)
class Outcome:
    """What one storm has cost.

    Attributes
    ----------
    spread_s : float
        Time from the last version until all balancers that answer have it, in seconds.
    worst_age_s : float
        Longest time for which a balancer lacked a version, in seconds.
    sent_bytes : int
        Bytes of all transfers.
    delay_s : float
        Mean time that a caller's packet waits for the link of a balancer during the
        storm, in seconds.
    worst_delay_s : float
        Longest such time, in seconds.
    """

    spread_s: float
    worst_age_s: float
    sent_bytes: int
    delay_s: float
    worst_delay_s: float


@dataclass
class _Balancer:
    table: RouteTable
    schedule: FetchSchedule = field(default_factory=lambda: FetchSchedule(BOUND_S))
    history: RouteHistory = field(default_factory=RouteHistory)
    slots: TransferSlots = field(default_factory=lambda: TransferSlots(FETCH_TIMEOUT_S))
    link_free_at: float = 0.0
    fetched_at: float = -1.0

    def install(self, table):
        if table.version > self.table.version:
            self.history.record(self.table, table)
            self.table = table


def run_storm(policy, storm, seed=0):
    """Return the `Outcome` of a storm under a policy."""
    return _Model(policy, storm, seed).run()


class _Model:
    def __init__(self, policy, storm, seed):
        self._policy = policy
        self._storm = storm
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._published = {1: 0.0}
        self._stored = _table(1, ROUTES_BEFORE)
        self._balancers = [_Balancer(self._stored) for _ in range(storm.members)]
        for balancer in self._balancers:
            balancer.history.record(None, self._stored)
        self._sent_bytes = 0
        self._worst_age_s = 0.0
        self._delays = []

    def run(self):
        storm, count = self._storm, round(self._storm.for_s / self._storm.gap_s)
        for number in range(count):
            self._at((number + 1) * storm.gap_s, self._publish, number + 2)
        for number in range(READERS):
            self._at(number * READ_INTERVAL_S / READERS, self._read, number)
        for number in range(storm.members):
            self._at(self._rng.random() * GOSSIP_INTERVAL_S, self._gossip, number)
        self._at(0.0, self._sample)
        last_at, now = count * storm.gap_s, 0.0
        end = last_at + 4 * BOUND_S
        while now < end and not (now > last_at and self._all_have(count + 1, now)):
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)
        return Outcome(
            round(now - last_at, 2),
            round(self._worst_age_s, 2),
            self._sent_bytes,
            round(sum(self._delays) / len(self._delays), 4),
            round(max(self._delays), 3),
        )

    def _at(self, at, action, *args):
        heapq.heappush(self._events, (at, next(self._numbers), action, args))

    def _answers(self, number, now):
        failing_at = self._storm.failing_at
        return number > 0 or failing_at is None or now < failing_at

    def _all_have(self, version, now):
        return all(
            balancer.table.version >= version
            for number, balancer in enumerate(self._balancers)
            if self._answers(number, now)
        )

    def _publish(self, now, version):
        """Add the routes with the first version, change a route with each later one."""
        table = _table(version, self._storm.routes) if version == 2 else self._stored
        routes = list(table.routes)
        position = self._rng.randrange(len(routes))
        front, route = routes[position]
        changed = msgspec.structs.replace(route, timeout_s=1.0 + version / 100)
        routes[position] = (front, changed)
        self._stored = RouteTable(version, tuple(routes), 15.0)
        self._published[version] = now

    def _read(self, now, number):
        if self._answers(number, now):
            self._balancers[number].install(self._stored)
        self._at(now + READ_INTERVAL_S, self._read, number)

    def _gossip(self, now, number):
        self._at(now + GOSSIP_INTERVAL_S, self._gossip, number)
        if not self._answers(number, now):
            return
        version = self._balancers[number].table.version
        for other in range(len(self._balancers)):
            if other != number and self._wants(other, version, now):
                self._start_transfer(number, other, now)

    def _wants(self, number, version, now):
        balancer = self._balancers[number]
        match self._policy:
            case Differences():
                schedule, held = balancer.schedule, balancer.table.version
                return schedule.fetches_configuration(version, held, now)
            case WholeTables():
                is_due = now - balancer.fetched_at >= CONFIGURATION_RETRY_S
                if version <= balancer.table.version or not is_due:
                    return False
                balancer.fetched_at = now
                return True

    def _start_transfer(self, source, receiver, now):
        sender, balancer = self._balancers[source], self._balancers[receiver]
        size = self._size(sender, balancer.table.version)
        slot = None
        if isinstance(self._policy, Differences):
            slot = sender.slots.acquire(now)
            if slot is None:
                balancer.schedule.end_configuration_fetch(FetchResult.BUSY, now)
                return
        begins = max(now, sender.link_free_at, balancer.link_free_at)
        ends = begins + size * 8 / (self._storm.link_mbps * 1e6)
        arrives = self._answers(source, ends)
        match self._policy:
            case WholeTables() if ends - now > FETCH_TIMEOUT_S:
                # The receiver closes the connection and discards what has come.
                ends, arrives = max(begins, now + FETCH_TIMEOUT_S), False
        sender.link_free_at = balancer.link_free_at = ends
        self._sent_bytes += round((ends - begins) * self._storm.link_mbps * 1e6 / 8)
        if slot is not None:
            self._at(ends, lambda now: sender.slots.release(slot))
        self._at(ends, self._end_transfer, receiver, sender.table, arrives)

    def _size(self, sender, version):
        """Return the size of a transfer to a balancer that has a version, in bytes."""
        match self._policy:
            case Differences():
                change = sender.history.change_since(version, sender.table)
                body = msgspec.json.encode(SharedState(None, change=change))
                return len(zlib.compress(body, COMPRESSION_LEVEL))
            case WholeTables():
                return len(msgspec.json.encode(SharedState(sender.table)))

    def _end_transfer(self, now, receiver, table, arrives):
        balancer = self._balancers[receiver]
        if isinstance(self._policy, Differences):
            result = FetchResult.ARRIVED if arrives else FetchResult.FAILED
            balancer.schedule.end_configuration_fetch(result, now)
        if arrives:
            balancer.install(table)

    def _sample(self, now):
        self._at(now + SAMPLE_INTERVAL_S, self._sample)
        for number, balancer in enumerate(self._balancers):
            if self._answers(number, now):
                self._delays.append(max(0.0, balancer.link_free_at - now))
                missing = [
                    at
                    for version, at in self._published.items()
                    if version > balancer.table.version
                ]
                if missing:
                    self._worst_age_s = max(self._worst_age_s, now - min(missing))


def _table(version, count):
    routes = []
    for number in range(count):
        front = Address(f"198.18.{number // 250}.{number % 250}", 8080)
        shares = (TrafficShare(f"service-{number % 10}"),)
        route = Route(f"route-{number}", shares, 1.7, 0.226, 2, True)
        routes.append((front, route))
    return RouteTable(version, tuple(routes), 15.0)


def run_configuration():
    """Return the outcomes of a storm under each policy, for the results folder."""
    return {
        type(policy).__name__: msgspec.to_builtins(run_storm(policy, Storm()))
        for policy in (Differences(), WholeTables())
    }
