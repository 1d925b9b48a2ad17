import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.target.flows import (
    COPY_PERIOD_S,
    MAX_FLOWS,
    MAX_OPENING_TIMEOUT_S,
    MIN_OPENING_TIMEOUT_S,
    AnswerStarted,
    FlowOpened,
    TargetFlows,
)

FRONT = Address("198.18.0.1", 443)
TIMEOUT_S = 1.2
IDLE_S = 60.0


def flow(number):
    return Flow(Address("100.64.0.7", 1_000 + number), FRONT)


def request(number, sequence_number=1):
    return Packet(flow(number), has_data=True, sequence_number=sequence_number)


class InFlightTest(unittest.TestCase):
    def setUp(self):
        self.flows = TargetFlows()

    def open_and_request(self, number, now=0.0):
        self.flows.record_opening(flow(number), now, None, TIMEOUT_S)
        self.flows.record_caller_packet(request(number), b"request", now + 0.007)

    def test_a_request_counts_from_the_opening_packet_to_the_answer(self):
        self.open_and_request(1)
        self.assertEqual(self.flows.in_flight(0.5), 1)
        found = self.flows.record_target_packet(Packet(flow(1), has_data=True), 0.5)
        self.assertEqual(found, AnswerStarted(0.5))
        self.assertEqual(self.flows.in_flight(0.5), 0)

    def test_the_first_packet_of_the_target_completes_the_opening(self):
        self.flows.record_opening(flow(1), 0.0, b"opening")
        accepts = Packet(flow(1), accepts=True)
        self.assertEqual(
            self.flows.record_target_packet(accepts, 0.001), FlowOpened(0.001)
        )
        self.assertIsNone(self.flows.record_target_packet(accepts, 0.002))

    def test_a_repeated_request_is_not_counted_again_after_its_answer(self):
        self.open_and_request(1)
        self.flows.record_target_packet(Packet(flow(1), has_data=True), 0.1)
        self.flows.record_caller_packet(request(1), b"request", 0.2)
        self.assertEqual(self.flows.in_flight(0.2), 0)
        self.flows.record_caller_packet(request(1, sequence_number=2), b"next", 0.3)
        self.assertEqual(self.flows.in_flight(0.3), 1)

    def test_positions_may_wrap_around(self):
        self.flows.record_opening(flow(1), 0.0, None, TIMEOUT_S)
        self.flows.record_caller_packet(request(1, 2**32 - 1), b"", 0.01)
        self.flows.record_target_packet(Packet(flow(1), has_data=True), 0.1)
        self.flows.record_caller_packet(request(1, 5), b"", 0.2)
        self.assertEqual(self.flows.in_flight(0.2), 1)

    def test_a_flow_that_never_opens_stops_counting(self):
        self.flows.record_opening(flow(1), 0.0)
        self.assertEqual(self.flows.in_flight(MIN_OPENING_TIMEOUT_S / 2), 1)
        self.assertEqual(self.flows.in_flight(MAX_OPENING_TIMEOUT_S), 0)

    def test_a_lost_answer_stops_counting_when_the_request_has_timed_out(self):
        self.open_and_request(1)
        self.assertEqual(self.flows.expire(TIMEOUT_S + 0.1, IDLE_S), [flow(1)])
        self.assertEqual(self.flows.in_flight(TIMEOUT_S + 0.1), 0)
        self.assertEqual(self.flows.expire(TIMEOUT_S + 0.2, IDLE_S), [])

    def test_flows_whose_closing_packets_are_lost_expire(self):
        for number in range(500):
            self.open_and_request(number, number * 0.01)
            self.flows.record_target_packet(
                Packet(flow(number), has_data=True), number * 0.01
            )
        self.assertEqual(self.flows.in_flight(5.0), 0)
        self.flows.expire(5.0 + IDLE_S, IDLE_S)
        self.assertEqual(len(self.flows), 0)


class SilenceTest(unittest.TestCase):
    def test_silence_counts_from_the_first_unanswered_opening(self):
        flows = TargetFlows()
        self.assertEqual(flows.unanswered_s(1.0), 0.0)
        flows.record_opening(flow(1), 1.0, "first")
        flows.record_opening(flow(2), 1.1, "second")
        self.assertAlmostEqual(flows.unanswered_s(1.2), 0.2)
        self.assertEqual(flows.pop_unanswered(), ["first", "second"])
        self.assertEqual(len(flows), 0)

    def test_any_packet_of_the_target_ends_the_silence(self):
        flows = TargetFlows()
        flows.record_opening(flow(1), 1.0, "first")
        flows.record_target_packet(Packet(flow(9)), 1.05)
        self.assertEqual(flows.unanswered_s(1.2), 0.0)


class KnownFlowsTest(unittest.TestCase):
    """A flow that an agent wrongly does not know would be reset at its caller."""

    def test_all_flows_are_known_after_the_longest_duration_of_a_flow(self):
        flows = TargetFlows(started_at=100.0, max_age_s=60.0)
        self.assertFalse(flows.is_complete(159.9))
        self.assertTrue(flows.is_complete(160.0))

    def test_all_flows_are_known_from_the_start_of_the_target(self):
        flows = TargetFlows(started_at=100.0, max_age_s=60.0)
        flows.record_target_start(101.0)
        self.assertTrue(flows.is_complete(101.0))
        flows.record_target_start(500.0)
        self.assertTrue(flows.is_complete(300.0))

    def test_not_all_flows_are_known_after_one_was_evicted(self):
        flows = TargetFlows(started_at=0.0, max_age_s=60.0)
        for number in range(MAX_FLOWS + 1):
            flows.record_opening(flow(number), 100.0)
        self.assertFalse(flows.is_complete(159.9))
        self.assertTrue(flows.is_complete(160.0))

    def test_a_flow_stays_known_when_a_full_target_returns_a_copy_of_its_opening(self):
        flows = TargetFlows()
        flows.record_opening(flow(1), 0.0)
        flows.record_target_packet(Packet(flow(1), accepts=True), 0.001)
        flows.record_return(flow(1), opens=True)
        self.assertIn(flow(1), flows)
        flows.record_return(flow(1), opens=False)
        self.assertNotIn(flow(1), flows)

    def test_a_flow_whose_opening_the_target_returns_is_not_known(self):
        flows = TargetFlows()
        flows.record_opening(flow(1), 0.0)
        flows.record_return(flow(1), opens=True)
        self.assertNotIn(flow(1), flows)

    def test_a_flow_is_known_from_a_packet_of_the_target_but_not_from_a_reset(self):
        flows = TargetFlows()
        flows.record_target_packet(Packet(flow(1), has_data=True), 0.0)
        flows.record_target_packet(Packet(flow(2), resets=True), 0.0)
        self.assertIn(flow(1), flows)
        self.assertNotIn(flow(2), flows)


class CopyTest(unittest.TestCase):
    """Guards against a new flow of a reused port that is taken for the earlier one."""

    def setUp(self):
        self.flows = TargetFlows()
        self.flows.record_opening(flow(1), 0.0, sequence_number=500)

    def is_copy(self, now, sequence_number=500):
        packet = Packet(flow(1), opens=True, sequence_number=sequence_number)
        return self.flows.is_copy(packet, now)

    def test_a_copy_has_the_same_sequence_number_and_comes_soon(self):
        self.assertTrue(self.is_copy(0.6))
        self.assertFalse(self.is_copy(0.6, 501))
        self.assertFalse(self.is_copy(COPY_PERIOD_S))

    def test_no_copy_follows_a_flow_that_has_ended_or_that_was_adopted(self):
        self.flows.record_target_packet(Packet(flow(1), ends=True), 0.1)
        self.assertFalse(self.is_copy(0.6))
        self.flows = TargetFlows()
        self.flows.record_adopted(flow(1), 0.0)
        self.assertFalse(self.is_copy(0.6))

    def accept_late(self, now):
        """Let the target accept a flow whose opening packet others were given."""
        self.flows = TargetFlows()
        self.flows.record_opening(flow(1), 0.0, "opening", sequence_number=500)
        self.flows.pop_unanswered()
        self.flows.expire(now, IDLE_S)
        self.flows.record_target_packet(Packet(flow(1), accepts=True), now)

    def test_a_copy_of_a_flow_that_was_accepted_late_opens_no_new_flow(self):
        self.accept_late(1.0)
        self.assertTrue(self.is_copy(1.5))
        self.assertFalse(self.is_copy(1.5, 501))
        self.assertFalse(self.is_copy(COPY_PERIOD_S))

    def test_a_packet_that_others_were_given_is_forgotten_after_its_copies(self):
        self.accept_late(COPY_PERIOD_S)
        self.assertFalse(self.is_copy(COPY_PERIOD_S))
        self.assertEqual(len(self.flows._withdrawn), 0)

    def test_a_late_copy_of_a_flow_that_its_target_ended_is_told_from_a_new_flow(self):
        self.flows.record_target_packet(Packet(flow(1), ends=True), 0.1)
        for number, has_ended in ((500, True), (501, False)):
            packet = Packet(flow(1), opens=True, sequence_number=number)
            self.assertEqual(self.flows.has_ended(packet, 0.6), has_ended)
            self.assertFalse(self.flows.has_ended(packet, COPY_PERIOD_S))

    def test_a_request_on_a_reused_port_counts_whatever_its_sequence_number(self):
        self.flows.record_caller_packet(request(1, 900), b"", 0.1)
        self.flows.record_target_packet(Packet(flow(1), has_data=True), 0.2)
        self.flows.record_opening(flow(1), 5.0, sequence_number=100)
        self.flows.record_target_packet(Packet(flow(1), has_data=True), 5.1)
        self.flows.record_caller_packet(request(1, 101), b"", 5.2)
        self.assertEqual(self.flows.in_flight(5.2), 1)


class RepeatedPacketsTest(unittest.TestCase):
    def test_only_packets_that_await_an_answer_are_repeated(self):
        flows = TargetFlows()
        for number in (1, 2, 3):
            flows.record_opening(flow(number), 0.0, None, TIMEOUT_S)
        flows.record_caller_packet(request(1), b"one", 0.01)
        flows.record_caller_packet(request(2), b"two", 0.01)
        flows.record_target_packet(Packet(flow(2), has_data=True), 0.02)
        self.assertEqual(flows.packets_awaiting_answer(), [b"one"])

    def test_a_flow_is_established_once_its_caller_acknowledges_this_target(self):
        # Otherwise the flow would be reset although another target holds it.
        acceptance = Packet(flow(1), accepts=True, sequence_number=2**32 - 1)
        for ack_number, is_established in ((0, True), (2**31, False)):
            flows = TargetFlows()
            flows.record_opening(flow(1), 0.0)
            flows.record_target_packet(acceptance, 0.001)
            self.assertFalse(flows.is_established(flow(1)))
            sent = Packet(flow(1), has_data=True, ack_number=ack_number)
            flows.record_caller_packet(sent, None, 0.01)
            self.assertEqual(flows.is_established(flow(1)), is_established)

    def test_a_packet_of_the_next_flow_of_a_port_is_not_of_an_established_one(self):
        # Otherwise the next flow is reset when the target of the earlier one ends.
        flows = TargetFlows()
        flows.record_opening(flow(1), 0.0)
        answer = Packet(flow(1), has_data=True, sequence_number=5_000)
        flows.record_target_packet(answer, 0.01)
        for ack_number, is_established in ((5_004, True), (900_000, False)):
            sent = Packet(flow(1), has_data=True, ack_number=ack_number)
            flows.record_caller_packet(sent, None, 0.02)
            self.assertEqual(flows.is_established(flow(1)), is_established)


class FlowsMachine(RuleBasedStateMachine):
    """Sends packets of any kind in any order, as if some were lost."""

    def __init__(self):
        super().__init__()
        self.flows = TargetFlows()
        self.now = 0.0

    numbers = st.integers(0, 5)

    @rule(number=numbers)
    def open(self, number):
        self.flows.record_opening(flow(number), self.now, number, TIMEOUT_S)

    @rule(number=numbers, data=st.booleans(), resets=st.booleans(), at=numbers)
    def caller_sends(self, number, data, resets, at):
        sent = Packet(flow(number), has_data=data, resets=resets, sequence_number=at)
        self.flows.record_caller_packet(sent, b"", self.now)

    @rule(number=numbers, data=st.booleans(), ends=st.booleans(), resets=st.booleans())
    def target_sends(self, number, data, ends, resets):
        sent = Packet(flow(number), has_data=data, ends=ends, resets=resets)
        self.flows.record_target_packet(sent, self.now)

    @rule(number=numbers, opens=st.booleans())
    def target_returns(self, number, opens):
        self.flows.record_return(flow(number), opens)

    @rule(duration_s=st.sampled_from([0.001, 0.05, 0.5, 2.0, 70.0]))
    def pass_time(self, duration_s):
        self.now += duration_s
        self.flows.expire(self.now, IDLE_S)

    @invariant()
    def the_count_matches_the_flow_records(self):
        count = self.flows.in_flight(self.now)
        records = self.flows._flows.values()
        assert count == sum(r.in_flight for r in records)
        assert 0 <= count <= len(self.flows)
        requests = [r for r in records if r.requested_at is not None]
        assert self.flows._running == len(requests)
        forecast = sum(r.is_forecast for r in requests)
        assert self.flows._forecast.in_flight == forecast

    def teardown(self):
        self.flows.expire(self.now + TIMEOUT_S + MAX_OPENING_TIMEOUT_S, IDLE_S)
        assert self.flows.in_flight(self.now + TIMEOUT_S + MAX_OPENING_TIMEOUT_S) == 0


class FlowsMachineTest(unittest.TestCase):
    def test_the_count_returns_to_zero_whatever_packets_are_lost(self):
        run_state_machine_as_test(FlowsMachine, settings=settings(max_examples=200))
