"""Simulates the order in which requests on open flows reach one target.

Compares the target's own queue with holding requests at the agent by urgency; see
docs/design/request-order.md. ``python -m bench.request_order`` prints the table.
"""

import heapq
import itertools
import math
import random

import msgspec

TARGET_QUEUE_LIMIT = 8  # requests; a target refuses more
LATE_VALUE = 0.3  # of an answer after the objective and before the deadline
SERVICE_TIME_SIGMA = 0.5  # of a log-normal distribution
LOAD_S = 4.0


class Route(msgspec.Struct, frozen=True):
    """Priority, value and times of the requests of a route, in seconds."""

    priority: int
    value: float
    work_s: float
    objective_s: float
    deadline_s: float


ROUTES = (Route(1, 2.0, 0.033, 0.278, 1.666), Route(2, 1.0, 0.026, 0.226, 1.358))


class Policy(msgspec.Struct, frozen=True):
    """How requests are held at the agent.

    Attributes
    ----------
    capacity : float
        Requests in flight from which on further ones are held.
    promote_at, hand_over_at : float
        Shares of the objective after which a request counts as most urgent, and is
        handed to the target in any case.
    bounded : bool
        Whether no more requests are held than the target would have queued itself.
    """

    capacity: float = math.inf
    promote_at: float = math.inf
    hand_over_at: float = math.inf
    bounded: bool = False


POLICIES = {
    "not held": Policy(),
    "held, part F": Policy(3, 0.25, 0.5),
    "bounded, part F": Policy(3, 0.25, 0.5, True),
    "bounded, by urgency only": Policy(3, bounded=True),
}


class Outcome(msgspec.Struct):
    """Numbers of requests of one route, by their end."""

    in_time: int = 0
    late: int = 0
    useless: int = 0
    refused: int = 0

    @property
    def total(self):
        return self.in_time + self.late + self.useless + self.refused


class _Request(msgspec.Struct):
    route: Route
    arrived_at: float
    work_s: float


class _Simulation:
    def __init__(self, policy, load, speed, seed):
        self.policy, self.speed = policy, speed
        self.rng = random.Random(seed)
        self.outcomes = {route.priority: Outcome() for route in ROUTES}
        self.held, self.queue, self.running = [], [], None
        self._events, self._numbers = [], itertools.count()
        self._add_arrivals(load)

    def run(self):
        while self._events:
            now, _, name, request = heapq.heappop(self._events)
            if name == "arrival":
                self.held.append(request)
            elif name == "answer":
                self._finish(request, now)
            self._hand_over(now)
        return self.outcomes

    def _add_arrivals(self, load):
        mean_s = sum(route.work_s for route in ROUTES) / len(ROUTES) / self.speed
        at = 0.0
        while at < LOAD_S:
            at += self.rng.expovariate(load / mean_s)
            route = self.rng.choice(ROUTES)
            spread = self.rng.lognormvariate(
                -(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA
            )
            request = _Request(route, at, route.work_s / self.speed * spread)
            self._push(at, "arrival", request)
            if self.policy.hand_over_at < math.inf:
                wait_s = self.policy.hand_over_at * route.objective_s
                self._push(at + wait_s, "check", None)

    def _push(self, at, name, request):
        heapq.heappush(self._events, (at, next(self._numbers), name, request))

    def _in_flight(self):
        return len(self.queue) + (self.running is not None)

    def _hand_over(self, now):
        while self.held:
            self.held.sort(key=lambda request: self._order(request, now))
            if self._in_flight() < self.policy.capacity:
                self._send(self.held.pop(0), now)
                continue
            overdue = [r for r in self.held if self._is_due(r, now)]
            if overdue:
                self.held.remove(overdue[0])
                self._send(overdue[0], now)
            elif self.policy.bounded and self._exceeds_bound():
                # The least urgent one is refused, once the others fill the queue.
                is_full = len(self.queue) >= TARGET_QUEUE_LIMIT
                self._send(self.held.pop(-1 if is_full else 0), now)
            else:
                return

    def _exceeds_bound(self):
        is_excess = self._in_flight() + len(self.held) > TARGET_QUEUE_LIMIT + 1
        has_lower = any(r.route.priority > 1 for r in self.held)
        return is_excess and (has_lower or len(self.queue) < TARGET_QUEUE_LIMIT)

    def _order(self, request, now):
        share = (now - request.arrived_at) / request.route.objective_s
        promoted = share >= self.policy.promote_at
        return (1 if promoted else request.route.priority, request.arrived_at)

    def _is_due(self, request, now):
        limit_s = self.policy.hand_over_at * request.route.objective_s
        return now >= request.arrived_at + limit_s

    def _send(self, request, now):
        if len(self.queue) >= TARGET_QUEUE_LIMIT:
            self.outcomes[request.route.priority].refused += 1
            return
        self.queue.append(request)
        self._start(now)

    def _start(self, now):
        if self.running is None and self.queue:
            self.running = self.queue.pop(0)
            self._push(now + self.running.work_s, "answer", self.running)

    def _finish(self, request, now):
        self.running = None
        self._start(now)
        outcome, waited_s = (
            self.outcomes[request.route.priority],
            now - request.arrived_at,
        )
        outcome.in_time += waited_s <= request.route.objective_s
        outcome.late += request.route.objective_s < waited_s <= request.route.deadline_s
        outcome.useless += waited_s > request.route.deadline_s


def simulate_order(policy, load, speed, seeds):
    """Return the payoff, and the `Outcome` of each priority over all seeds.

    Parameters
    ----------
    policy : Policy
        How requests are held.
    load : float
        Offered load as a share of the target's capacity.
    speed : float
        Speed of the target relative to the nominal one.
    seeds : iterable of int
        Seeds of the arrivals and of their work.
    """
    totals = {route.priority: Outcome() for route in ROUTES}
    for seed in seeds:
        for priority, outcome in _Simulation(policy, load, speed, seed).run().items():
            for name in Outcome.__struct_fields__:
                value = getattr(totals[priority], name) + getattr(outcome, name)
                setattr(totals[priority], name, value)
    gained = sum(
        route.value
        * (totals[route.priority].in_time + LATE_VALUE * totals[route.priority].late)
        for route in ROUTES
    )
    possible = sum(route.value * totals[route.priority].total for route in ROUTES)
    return gained / possible, totals


def main():
    for speed in (1.0, 0.55):
        for load in (0.6, 0.9, 1.3):
            for name, policy in POLICIES.items():
                payoff, totals = simulate_order(policy, load, speed, range(20))
                shares = " ".join(
                    f"p{priority}: {o.in_time / o.total:.3f} in time,"
                    f" {o.refused / o.total:.3f} refused"
                    for priority, o in totals.items()
                )
                print(f"speed {speed} load {load} {name:25} {payoff:.3f} {shares}")


if __name__ == "__main__":
    main()
