import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.admission.health import FAILING_LOAD, FAILURES_TO_EJECT
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import MAX_QUEUED_FLOWS, FlowQueue
from ryesaddle.internal.target.report import TargetReport
from ryesaddle.internal.target.router import (
    OVERCOMMIT_FLOWS,
    REFUSAL_BACKOFF_S,
    UNRESPONSIVE_AFTER_S,
    AgentRouter,
    Deliver,
    Drop,
    Enqueue,
    OfferTo,
    ReturnToBalancer,
)
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.wire.passthrough import Candidate, ForwardedPacket

THIS_AGENT = Candidate("agent-1", Address("10.0.0.1", 7000))
OTHER = Candidate("agent-2", Address("10.0.0.2", 7000))
THIRD = Candidate("agent-3", Address("10.0.0.3", 7000))


def flow(number=1):
    return Flow(Address("100.64.0.7", number), Address("198.18.0.1", 443))


def opening(number=1, copy=0):
    return Packet(flow(number), opens=True, copy=copy)


def forwarded(**changes):
    fields = {
        "service": "case-desk",
        "balancer": Address("10.0.0.9", 7000),
        "payload": b"packet",
        "objective_ms": 150,
        "timeout_ms": 1200,
        **changes,
    }
    return ForwardedPacket(**fields)


class RouterCase(unittest.TestCase):
    def setUp(self):
        self.state = TargetState("case-desk", 0.77)
        self.flows = TargetFlows()
        self.queue = FlowQueue()
        self.router = AgentRouter(
            THIS_AGENT, "case-desk", self.state, self.flows, self.queue
        )
        self.send_heartbeat()

    def send_heartbeat(self, sequence=1, **changes):
        report = TargetReport("i-1", "case-desk", sequence, slots=2, **changes)
        self.state.apply_heartbeat(report, 0.0)

    def send_requests(self, count):
        for number in range(count):
            self.flows.record_opening(flow(1_000 + number), 0.0)
            request = Packet(flow(1_000 + number), has_data=True, sequence_number=1)
            self.flows.record_caller_packet(request, b"", 0.0)

    def decide(self, packet, now=0.0, **changes):
        return self.router.decide(forwarded(**changes), packet, now)


class NewFlowTest(RouterCase):
    def test_a_new_flow_goes_to_a_target_with_a_free_slot(self):
        self.assertEqual(self.decide(opening()), Deliver("free"))

    def test_a_new_flow_is_offered_to_the_next_agent_while_the_target_is_busy(self):
        self.send_requests(2)
        decision = self.decide(opening(), candidates=(OTHER, THIRD))
        self.assertIsInstance(decision, OfferTo)
        self.assertEqual(decision.candidate, OTHER)
        self.assertEqual(decision.forwarded.candidates, (THIRD,))
        self.assertEqual(
            (decision.forwarded.best, decision.forwarded.best_load), (THIS_AGENT, 1.0)
        )

    def test_the_last_candidate_forwards_the_flow_to_the_least_loaded_agent(self):
        self.send_requests(4)
        decision = self.decide(opening(), best=OTHER, best_load=1.5)
        self.assertEqual(
            (decision.candidate, decision.forwarded.assigned), (OTHER, True)
        )

    def test_the_least_loaded_agent_delivers_the_flow_and_tells_the_balancer(self):
        self.send_requests(2)
        decision = self.decide(opening(), best=OTHER, best_load=1.5)
        self.assertEqual(decision, Deliver("least-loaded", notify_balancer=True))

    def test_a_flow_is_queued_while_slots_and_flows_beyond_them_are_in_use(self):
        self.send_requests(2 + OVERCOMMIT_FLOWS - 1)
        self.assertEqual(self.decide(opening()), Deliver("least-loaded"))
        self.send_requests(2 + OVERCOMMIT_FLOWS)
        self.assertEqual(self.decide(opening()), Enqueue("busy"))

    def test_a_new_flow_is_rejected_while_the_queue_is_full(self):
        self.send_requests(2 + OVERCOMMIT_FLOWS)
        for number in range(MAX_QUEUED_FLOWS):
            self.queue.put(flow(5_000 + number), forwarded(), 0, 0.0)
        decision = self.decide(opening())
        self.assertIsInstance(decision, ReturnToBalancer)
        self.assertEqual(decision.reason, "too-many")

    def test_a_copy_is_never_rejected_since_another_may_have_opened_the_flow(self):
        self.send_requests(2 + OVERCOMMIT_FLOWS)
        decision = self.decide(opening(copy=2), timeout_ms=610)
        self.assertEqual(decision, Drop("too-late"))

    def test_a_queued_flow_is_served_once_the_target_has_capacity(self):
        self.send_requests(2 + OVERCOMMIT_FLOWS)
        self.queue.put(flow(1), forwarded(), 0, 0.0)
        self.assertIsNone(self.router.pop_next(0.01))
        self.flows.record_target_packet(Packet(flow(1_000), has_data=True), 0.02)
        self.assertEqual(self.router.pop_next(0.02)[0], flow(1))


class ClosedAgentTest(RouterCase):
    def test_a_draining_target_gets_no_new_flows_but_keeps_open_ones(self):
        self.flows.record_opening(flow(5), 0.0)
        self.send_heartbeat(2, draining=True)
        decision = self.decide(opening(), candidates=(OTHER,))
        self.assertEqual((decision.candidate, decision.reason), (OTHER, "not-open"))
        self.assertIsInstance(self.decide(opening()), ReturnToBalancer)
        self.assertEqual(self.decide(Packet(flow(5))), Deliver("held"))
        self.assertEqual(self.decide(Packet(flow(6))), Deliver("asked"))

    def test_a_stopping_agent_returns_new_flows_to_the_balancer(self):
        self.router.draining = True
        self.assertIsInstance(self.decide(opening()), ReturnToBalancer)

    def test_a_closed_agent_forwards_the_flow_to_the_least_loaded_so_far(self):
        self.send_heartbeat(2, draining=True)
        decision = self.decide(opening(), best=OTHER, best_load=2.0)
        self.assertEqual(
            (decision.candidate, decision.forwarded.assigned), (OTHER, True)
        )

    def test_a_target_that_refused_an_opening_packet_gets_none_for_a_while(self):
        self.assertTrue(self.router.record_refusal(1.0))
        self.assertFalse(self.router.record_refusal(1.1))
        self.assertIsInstance(self.decide(opening(), 1.1), ReturnToBalancer)
        self.assertEqual(
            self.decide(opening(), 1.1 + REFUSAL_BACKOFF_S), Deliver("free")
        )

    def test_a_target_that_answers_no_opening_packet_gets_no_more_of_them(self):
        self.flows.record_opening(flow(5), 1.0, forwarded())
        self.assertTrue(self.router.is_open(1.0 + 0.9 * UNRESPONSIVE_AFTER_S))
        self.assertFalse(self.router.is_open(1.01 + UNRESPONSIVE_AFTER_S))
        self.flows.record_sign_of_life()
        self.assertTrue(self.router.is_open(1.01 + UNRESPONSIVE_AFTER_S))

    def test_packets_for_another_service_are_returned_to_the_balancer(self):
        decision = self.decide(opening(), service="pack-archive")
        self.assertEqual(decision.reason, "other-service")
        self.assertIn(THIS_AGENT.node, decision.forwarded.asked)


class AnyPacketTest(RouterCase):
    @given(
        service=st.sampled_from(["case-desk", "pack-archive"]),
        opens=st.booleans(),
        held=st.booleans(),
        draining=st.booleans(),
        busy=st.integers(0, 6),
        candidates=st.sampled_from([(), (OTHER,), (OTHER, THIRD)]),
        best=st.sampled_from([None, OTHER]),
        assigned=st.booleans(),
    )
    def test_closed_targets_get_no_new_flows_and_no_open_flow_is_moved(
        self, service, opens, held, draining, busy, candidates, best, assigned
    ):
        self.setUp()
        self.send_requests(busy)
        if held:
            self.flows.record_opening(flow(), 0.0)
        if draining:
            self.send_heartbeat(2, draining=True)
        packet = Packet(flow(), opens=opens)
        decision = self.decide(
            packet, service=service, candidates=candidates, best=best, assigned=assigned
        )
        if isinstance(decision, Deliver | Enqueue):
            self.assertTrue(service == "case-desk" or not opens)
            self.assertTrue(held or not opens or not draining)
        if isinstance(decision, OfferTo | ReturnToBalancer):
            self.assertFalse(held and service == "case-desk")
            self.assertTrue(opens)


class FailingTargetTest(RouterCase):
    """A target that fails its requests must not get them because it is idle."""

    def setUp(self):
        super().setUp()
        for _ in range(FAILURES_TO_EJECT):
            self.flows.outcomes.health.failed(0.0)
        self.probed_at = self.flows.outcomes.health.state(0.0).until

    def decide(self, number=1, now=0.0, **changes):
        return self.router.decide(forwarded(**changes), opening(number), now)

    def test_an_ejected_target_leaves_new_flows_to_others(self):
        decision = self.decide(candidates=(OTHER,), repeatable=True)
        self.assertIsInstance(decision, OfferTo)
        self.assertGreaterEqual(decision.forwarded.best_load, FAILING_LOAD)

    def test_a_flow_that_no_other_candidate_takes_is_served(self):
        """If all targets look alike, refusing their flows would help nobody."""
        self.assertIsInstance(self.decide(), Deliver)
        self.assertIsInstance(self.decide(2, assigned=True), Deliver)

    def test_a_probe_is_a_flow_whose_requests_may_be_repeated(self):
        options = {"now": self.probed_at, "candidates": (OTHER,)}
        self.assertIsInstance(self.decide(repeatable=False, **options), OfferTo)
        self.assertEqual(self.decide(repeatable=True, **options), Deliver("probe"))

    def test_one_probe_at_a_time(self):
        options = {"candidates": (OTHER,), "repeatable": True}
        now = self.probed_at
        self.assertIsInstance(self.decide(1, now, **options), Deliver)
        self.flows.record_opening(flow(1), now)
        self.assertIsInstance(self.decide(2, now, **options), OfferTo)
