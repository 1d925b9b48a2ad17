import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.admission.health import FAILURES_TO_EJECT
from ryesaddle.internal.routing.packet import Packet
from ryesaddle.internal.target.router import (
    OVERCOMMIT_FLOWS,
    AgentRouter,
    Deliver,
    Enqueue,
    OfferTo,
)
from ryesaddle.internal.target.warm_up import (
    LIMIT_EXPIRY_S,
    PRESUMED_S,
    WINDOW_S,
    WarmUpBudget,
)
from tests.target.test_router import (
    OTHER,
    THIRD,
    THIS_AGENT,
    RouterCase,
    flow,
    forwarded,
    opening,
)

# What the platform tolerates beyond the rate of a service.
OVERRUN, SLACK = 1.5, 5
LIMIT = 6.0
WARMS_UP_UNTIL = 100.0


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = WarmUpBudget(0.0)
        self.budget.set_limit("edge-1", LIMIT, 0.0)

    def is_used_up(self, now, warm_up_until=WARMS_UP_UNTIL, knows_all_flows=False):
        return self.budget.is_used_up(warm_up_until, knows_all_flows, now)

    def fill(self, now):
        """Send opening packets until the budget is used up; return their number."""
        sent = 0
        while not self.is_used_up(now) and sent < 100:
            self.budget.record_opening(now)
            sent += 1
        return sent

    @given(
        limit=st.floats(0.5, 60.0),
        steps=st.lists(st.tuples(st.floats(0.0, 0.4), st.integers(0, 40)), max_size=40),
        restart_after=st.integers(0, 40),
    )
    def test_no_window_exceeds_the_limit_even_if_the_agent_restarts(
        self, limit, steps, restart_after
    ):
        budget, now, sent = WarmUpBudget(-10.0), 0.0, []
        budget.set_limit("edge-1", limit, now)
        for number, (delay, wanted) in enumerate(steps):
            now += delay
            if number == restart_after:
                budget = WarmUpBudget(now)
            budget.set_limit("edge-1", limit, now)
            for _ in range(wanted):
                if not budget.is_used_up(WARMS_UP_UNTIL, False, now):
                    budget.record_opening(now)
                    sent.append(now)
        for start in sent:
            count = sum(start <= at < start + WINDOW_S for at in sent)
            self.assertLessEqual(count, limit * OVERRUN + SLACK)
            self.assertLessEqual(count, max(1.0, limit) + 1)

    def test_the_budget_returns_as_packets_leave_the_window(self):
        self.assertEqual(self.fill(5.0), LIMIT)
        self.assertEqual(self.fill(5.9), 0)
        self.assertEqual(self.fill(6.0), LIMIT)

    def test_an_agent_that_has_just_started_has_no_budget_for_one_second(self):
        # Its predecessor may have used the budget within the same second.
        self.assertTrue(self.is_used_up(0.9))
        self.assertFalse(self.is_used_up(1.0))

    def test_a_target_that_started_after_its_agent_has_its_whole_budget(self):
        # Otherwise no target would take a flow for a second after a power loss.
        self.assertFalse(self.is_used_up(0.5, knows_all_flows=True))

    def test_a_warm_target_and_a_service_without_limit_are_not_limited(self):
        self.fill(5.0)
        self.assertFalse(self.is_used_up(5.0, warm_up_until=4.9))
        unlimited = WarmUpBudget(0.0)
        unlimited.set_limit("edge-1", 0.0, 0.0)
        self.assertFalse(unlimited.is_used_up(WARMS_UP_UNTIL, False, 0.1))

    def test_after_an_evacuation_older_heartbeats_do_not_lift_the_limit(self):
        self.budget.presume_warming_up(5.0)
        self.fill(5.0)
        self.assertTrue(self.is_used_up(5.0, warm_up_until=0.0))
        self.assertFalse(self.is_used_up(5.0 + PRESUMED_S, warm_up_until=0.0))

    def test_a_balancer_that_knows_of_no_limit_does_not_lift_that_of_another(self):
        self.budget.set_limit("edge-2", 0.0, 0.1)
        self.budget.set_limit("edge-3", -1.0, 0.1)
        self.assertEqual(self.fill(5.0), LIMIT)

    def test_the_limit_ends_when_all_balancers_say_so_or_have_stopped(self):
        self.budget.set_limit("edge-2", 0.0, 1.0 + LIMIT_EXPIRY_S)
        self.assertFalse(self.is_used_up(9.0))
        self.budget.set_limit("edge-1", LIMIT, 9.0)
        self.fill(9.0)
        self.budget.set_limit("edge-1", 0.0, 9.1)
        self.assertFalse(self.is_used_up(9.2))

    def test_a_limit_that_is_not_known_yet_is_only_assumed_at_the_start(self):
        budget = WarmUpBudget(0.0)
        budget.set_limit("edge-1", -1.0, 0.0)
        self.assertTrue(budget.is_used_up(WARMS_UP_UNTIL, False, 0.5))
        self.assertFalse(budget.is_used_up(WARMS_UP_UNTIL, False, 1.5))


class WarmUpRouterTest(RouterCase):
    def setUp(self):
        super().setUp()
        self.budget = WarmUpBudget(-10.0)
        self.router = AgentRouter(
            THIS_AGENT, "case-desk", self.state, self.flows, self.queue, self.budget
        )
        self.send_heartbeat(2, warm_up_s=30.0)
        self.router.set_warm_up_limit("edge-1", 2.0, 0.0)
        for number in (1, 2):
            self.assertEqual(self.decide(opening(number)), Deliver("free"))
            self.answer(number)

    def answer(self, number, now=0.0):
        """Complete the opening of a flow and answer its request."""
        self.flows.record_caller_packet(with_data(number), b"", now)
        self.flows.record_target_packet(with_data(number), now)

    def test_beyond_the_limit_flows_are_offered_as_if_the_target_were_busy(self):
        decision = self.decide(opening(3), 0.5, candidates=(OTHER, THIRD))
        self.assertIsInstance(decision, OfferTo)
        self.assertEqual(decision.candidate, OTHER)
        self.assertGreaterEqual(
            decision.forwarded.best_load, (2 + OVERCOMMIT_FLOWS) / 2
        )
        # A busier candidate takes the flow if it has capacity.
        decision = self.decide(opening(3), 0.5, best=OTHER, best_load=1.5)
        self.assertEqual(
            (decision.candidate, decision.forwarded.assigned), (OTHER, True)
        )

    def test_the_load_of_a_limited_target_contains_the_wait_for_its_budget(self):
        full = (2 + OVERCOMMIT_FLOWS) / 2
        for queued in range(3):
            wait_s = (queued + 1) / 2.0
            self.assertAlmostEqual(
                self.router.load(0.5), full + wait_s / self.flows.service_s
            )
            self.queue.put(flow(10 + queued), forwarded(), 0, 0.5)

    def test_flows_are_queued_only_if_no_other_candidate_can_take_them(self):
        self.assertEqual(self.decide(opening(3), 0.5), Enqueue("busy"))
        self.queue.put(flow(3), forwarded(), 0, 0.5)
        self.assertIsNone(self.router.pop_next(0.9))
        self.assertEqual(self.router.pop_next(1.0)[0], flow(3))

    def test_packets_of_open_flows_and_a_warm_target_are_not_limited(self):
        self.assertEqual(self.decide(with_data(1), 0.5), Deliver("held"))
        self.send_heartbeat(3)
        self.assertEqual(self.decide(opening(3), 0.5), Deliver("free"))

    def test_flows_from_the_queue_count(self):
        for number in (3, 4):
            self.queue.put(flow(number), forwarded(), 0, 0.5)
        popped = {self.router.pop_next(1.0)[0] for _ in range(2)}
        self.assertEqual(popped, {flow(3), flow(4)})
        self.assertEqual(self.decide(opening(5), 1.5), Enqueue("busy"))

    def test_probes_of_a_target_that_has_failed_count_and_are_limited(self):
        """A cold target that failed before would get more than it bears."""
        health = self.flows.outcomes.health
        for _ in range(FAILURES_TO_EJECT):
            health.failed(0.0)
        now = health.state(0.0).until
        options = {"repeatable": True, "candidates": (OTHER,)}
        for number in (3, 4):
            decision = self.decide(opening(number), now, **options)
            self.assertEqual(decision, Deliver("probe"))
            self.flows.record_return(flow(number), opens=True)
        self.assertIsInstance(self.decide(opening(5), now, **options), OfferTo)

    def test_a_target_whose_evacuation_is_lifted_counts_as_cold(self):
        # Its last heartbeat may be from before the removal.
        self.send_heartbeat(3)
        self.router.set_evacuated(True, 0.1)
        self.assertFalse(self.router.is_open(0.1))
        self.router.set_evacuated(False, 0.2)
        self.assertTrue(self.router.is_open(0.2))
        self.assertEqual(self.decide(opening(3), 0.5), Enqueue("busy"))


def with_data(number):
    """Return a packet with the first data of a flow or of its answer."""
    return Packet(flow(number), has_data=True, sequence_number=1)
