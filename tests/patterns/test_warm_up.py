"""Replays the return of callers to a data centre whose targets are cold."""

import random
import unittest
from unittest import mock

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import CALLER_GIVE_UP_S, FlowQueue
from ryesaddle.internal.target.report import TargetReport
from ryesaddle.internal.target.router import AgentRouter, Deliver, Enqueue, OfferTo
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.target.warm_up import WINDOW_S, WarmUpBudget
from ryesaddle.internal.wire.passthrough import Candidate, ForwardedPacket

STEP_S = 0.005
DURATION_S = 4.0
COLD, WARM = 4, 4  # targets with one slot each
COLD_SERVICE_S, WARM_SERVICE_S = 0.15, 0.03
LIMIT = 2.0  # requests per second of a cold target
FLOWS_PER_S = 120  # of one request each; the warm targets can run 133
OBJECTIVE_S = 0.3
OVERRUN, SLACK = 1.5, 5  # what the platform tolerates beyond the limit


class Replay:
    """Agents and targets; callers open flows and send one request on each."""

    def __init__(self, limited, burst=0):
        self.burst = burst
        self.waited = []
        self.rng = random.Random(1)
        self.now, self.in_time = 0.0, 0
        self.opened_at = {}
        self.openings = [[] for _ in range(COLD + WARM)]
        self.free_at = [0.0] * (COLD + WARM)
        self.answers = []
        self.nodes = [
            Candidate(f"side-{n}", Address("10.0.0.1", n)) for n in range(COLD + WARM)
        ]
        self.flows = [TargetFlows() for _ in self.nodes]
        self.queues = [FlowQueue() for _ in self.nodes]
        self.routers = [self.make_router(n, limited) for n in range(COLD + WARM)]

    def make_router(self, number, limited):
        state = TargetState("s", 1.0)
        warm_up_s = 60.0 if number < COLD else 0.0
        state.apply_heartbeat(TargetReport("i", "s", 1, warm_up_s=warm_up_s), 0.0)
        budget = WarmUpBudget(-10.0) if limited else None
        router = AgentRouter(
            self.nodes[number],
            "s",
            state,
            self.flows[number],
            self.queues[number],
            budget,
        )
        router.set_warm_up_limit("edge-1", LIMIT, 0.0)
        return router

    def run(self):
        """Run for `DURATION_S`, and return this object."""
        number = 0
        while self.now < DURATION_S:
            while number < self.burst + FLOWS_PER_S * self.now:
                self.open(Flow(Address("100.64.0.7", number), Address("198.18.0.1", 1)))
                number += 1
            self.advance()
            self.now += STEP_S
        return self

    def open(self, flow):
        self.opened_at[flow] = self.now
        # Two agents of the balancer's data centre and one of the other, as placed by
        # balancers of both; a balancer sends to the least loaded of them.
        local, remote = self.nodes[:COLD], self.nodes[COLD:]
        if self.rng.random() < 0.5:
            local, remote = remote, local
        order = [*self.rng.sample(local, 2), self.rng.choice(remote)]
        order.sort(key=lambda node: self.routers[node.address.port].load(self.now))
        forwarded = ForwardedPacket(
            "s",
            order[0].address,
            b"",
            candidates=tuple(order[1:]),
            objective_ms=300,
            timeout_ms=3_000,
        )
        target, packet = self.nodes.index(order[0]), Packet(flow, opens=True)
        while True:
            match self.routers[target].decide(forwarded, packet, self.now):
                case Deliver():
                    return self.deliver(target, flow)
                case Enqueue():
                    return self.queues[target].put(flow, forwarded, 0, self.now)
                case OfferTo(candidate=candidate, forwarded=forwarded):
                    target = self.nodes.index(candidate)

    def deliver(self, target, flow):
        """Send the opening packet and the request; both take no time."""
        request = Packet(flow, has_data=True, sequence_number=1)
        self.waited.append(self.now - self.opened_at[flow])
        self.openings[target].append(self.now)
        self.flows[target].record_opening(flow, self.now)
        self.flows[target].record_caller_packet(request, b"", self.now)
        service_s = COLD_SERVICE_S if target < COLD else WARM_SERVICE_S
        self.free_at[target] = max(self.free_at[target], self.now) + service_s
        self.answers.append((self.free_at[target], flow, target))

    def advance(self):
        for item in [item for item in self.answers if item[0] <= self.now]:
            done, flow, target = item
            self.answers.remove(item)
            answer = Packet(flow, has_data=True)
            self.flows[target].record_target_packet(answer, self.now)
            self.in_time += done - self.opened_at[flow] <= OBJECTIVE_S
        for target, router in enumerate(self.routers):
            while (found := router.pop_next(self.now)) is not None:
                self.deliver(target, found[0])

    def too_late(self):
        """Return how many flows were not sent to a target before the caller gave up."""
        in_time = sum(waited_s < CALLER_GIVE_UP_S for waited_s in self.waited)
        return len(self.opened_at) - in_time

    def most_in_a_window(self):
        """Return the most opening packets of a cold target within `WINDOW_S`."""
        return max(
            sum(start <= at < start + WINDOW_S for at in sent)
            for sent in self.openings[:COLD]
            for start in sent or [0.0]
        )


class ColdTargetsTest(unittest.TestCase):
    def test_the_budget_keeps_the_limit_and_answers_more_requests_in_time(self):
        limited, unlimited = Replay(True).run(), Replay(False).run()
        self.assertLessEqual(limited.most_in_a_window(), LIMIT)
        self.assertGreater(unlimited.most_in_a_window(), LIMIT * OVERRUN + SLACK)
        self.assertGreater(limited.in_time, unlimited.in_time)

    def test_flows_of_a_burst_are_placed_by_the_time_that_they_would_wait(self):
        # Counting a cold target as merely full leaves flows in its queue until their
        # callers give up, while warm targets have capacity again.
        limited = Replay(True, burst=40).run()
        with mock.patch.object(WarmUpBudget, "expected_wait_s", lambda *args: 0.0):
            reduced = Replay(True, burst=40).run()
        self.assertEqual(limited.too_late(), 0)
        self.assertGreater(reduced.too_late(), 0)
        self.assertGreater(limited.in_time, reduced.in_time)
