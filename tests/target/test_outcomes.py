import unittest

from ryesaddle.internal.address import Address
from ryesaddle.internal.admission.health import Ejected, Serving
from ryesaddle.internal.routing.packet import MAX_BYTES_IN_FLIGHT, Flow, Packet
from ryesaddle.internal.target.flows import DEFAULT_TIMEOUT_S, TargetFlows
from ryesaddle.internal.target.outcomes import ANSWER_SETTLE_S
from ryesaddle.internal.target.usual_answers import (
    MAX_REPORTED_ROUTES,
    MIN_AGENTS,
    MIN_SAMPLES,
    AnswerSamples,
    UsualAnswer,
    combine_usual_answers,
)

FRONT = Address("198.18.0.1", 443)
USUAL = UsualAnswer(FRONT, 0.03, 1_000)


class OutcomeCase(unittest.TestCase):
    def setUp(self):
        self.flows = TargetFlows()
        self.outcomes = self.flows.outcomes
        self.outcomes.set_service_usual((USUAL,))
        self.now = 0.0
        self.port = 0

    def open(self):
        self.port += 1
        flow = Flow(Address("100.64.0.7", self.port), FRONT)
        self.flows.record_opening(flow, self.now)
        self.flows.record_target_packet(
            Packet(flow, accepts=True, sequence_number=99), self.now
        )
        return flow

    def request(self, flow, number=1, ack_number=100):
        request = Packet(
            flow, has_data=True, sequence_number=number, ack_number=ack_number
        )
        self.flows.record_caller_packet(request, b"", self.now)

    def target_sends(self, flow, sequence_number=100, size=0, **flags):
        packet = Packet(
            flow,
            has_data=size > 0,
            data_size=size,
            sequence_number=sequence_number,
            **flags,
        )
        self.flows.record_target_packet(packet, self.now)

    def exchange(self, after_s, size):
        """Send one request; its answer comes in one packet and closes the flow."""
        flow = self.open()
        self.request(flow)
        self.now += after_s
        self.target_sends(flow, size=size, ends=True)

    def failures(self):
        return [failed.reason for failed in self.outcomes.settle(self.now)]


class AnswerTest(OutcomeCase):
    def test_quick_and_short_answers_eject_the_target(self):
        for _ in range(3):
            self.exchange(0.001, 200)
        self.assertEqual(self.failures(), 3 * ["quick-and-short"])
        self.assertIsInstance(self.outcomes.health.state(self.now), Ejected)

    def test_a_faster_target_is_not_taken_for_a_failing_one(self):
        for _ in range(50):
            self.exchange(0.001, 1_000)
        self.assertEqual(self.failures(), [])
        self.assertAlmostEqual(self.outcomes.work_s(self.now), 0.001)

    def test_short_answers_after_the_usual_time_are_no_failures(self):
        for _ in range(50):
            self.exchange(0.04, 200)
        self.assertEqual(self.failures(), [])

    def test_failures_do_not_make_a_target_look_fast(self):
        """A failing target would be preferred for its speed."""
        for _ in range(20):
            self.exchange(0.04, 1_000)
            self.exchange(0.001, 200)
        self.assertAlmostEqual(self.outcomes.work_s(self.now), 0.04)

    def test_the_size_counts_whichever_packet_arrives_first(self):
        """The packet that closes the flow may overtake the data."""
        flow = self.open()
        self.request(flow)
        self.now += 0.001
        self.target_sends(flow, sequence_number=1_100, ends=True)
        self.target_sends(flow, size=1_000)
        self.assertEqual(self.failures(), [])

    def test_answers_on_flows_that_stay_open_are_judged(self):
        flow = self.open()
        self.request(flow)
        self.now += 0.04
        self.target_sends(flow, size=1_000)
        self.request(flow, number=2, ack_number=1_100)
        self.now += 0.001
        self.target_sends(flow, sequence_number=1_100, size=200)
        self.assertEqual(self.failures(), [])
        self.now += 2 * ANSWER_SETTLE_S
        self.assertEqual(self.failures(), ["quick-and-short"])

    def test_a_long_answer_that_is_still_being_sent_is_not_short(self):
        """A target sends what may be in flight, and the rest after a round trip."""
        front_usual = UsualAnswer(FRONT, 0.03, 80_000)
        self.outcomes.set_service_usual((front_usual,))
        flow = self.open()
        self.request(flow)
        self.now += 0.001
        for number in range(MAX_BYTES_IN_FLIGHT // 1_200):
            self.target_sends(flow, sequence_number=100 + 1_200 * number, size=1_200)
        self.now += 2 * ANSWER_SETTLE_S
        self.assertEqual(self.failures(), [])

    def test_a_target_that_is_full_may_turn_requests_away(self):
        """A target under a burst would be ejected."""
        for _ in range(20):
            first, second = self.open(), self.open()
            self.request(first)
            self.request(second)
            self.target_sends(second, size=200, ends=True)
            self.now += 0.04
            self.target_sends(first, size=1_000, ends=True)
        self.assertEqual(self.failures(), [])


class EndedFlowTest(OutcomeCase):
    def test_a_reset_of_a_request_is_a_failure(self):
        flow = self.open()
        self.request(flow)
        self.target_sends(flow, resets=True)
        self.assertEqual(self.failures(), ["reset"])

    def test_a_reset_without_a_request_is_none(self):
        """A target resets flows that were idle, or that it has answered."""
        flow = self.open()
        self.target_sends(flow, resets=True)
        flow = self.open()
        self.request(flow)
        self.now += 0.04
        self.target_sends(flow, size=1_000)
        self.target_sends(flow, resets=True)
        self.assertEqual(self.failures(), [])

    def test_a_flow_that_is_closed_without_an_answer_is_a_failure(self):
        flow = self.open()
        self.request(flow)
        self.now += 0.04
        self.target_sends(flow, ends=True)
        self.assertEqual(self.failures(), ["no-answer"])

    def test_requests_without_an_answer_in_time_are_failures(self):
        """A target that hangs would be sent as many again, each time they expire."""
        for _ in range(3):
            self.request(self.open())
        self.flows.expire(self.now + DEFAULT_TIMEOUT_S + 0.1, 60.0)
        self.assertEqual(self.failures(), 3 * ["unanswered"])
        self.assertIsInstance(self.outcomes.health.state(self.now), Ejected)

    def test_a_flow_that_opened_at_another_target_is_no_failure(self):
        """Both targets accept copies of an opening packet; one of them answers."""
        for _ in range(3):
            self.request(self.open(), ack_number=1_000_000)
        self.flows.expire(self.now + DEFAULT_TIMEOUT_S + 0.1, 60.0)
        self.assertEqual(self.failures(), [])


class UsualAnswerTest(OutcomeCase):
    def test_without_a_usual_answer_nothing_is_judged(self):
        self.outcomes = self.flows.outcomes = type(self.outcomes)()
        for _ in range(MIN_SAMPLES):
            self.exchange(0.001, 200)
        self.assertEqual(self.failures(), [])

    def test_failures_do_not_become_usual_where_no_service_is_known(self):
        """The target would return to service and fail all its requests."""
        self.outcomes = self.flows.outcomes = type(self.outcomes)()
        for _ in range(MIN_SAMPLES):
            self.exchange(0.04, 1_000)
        for _ in range(500):
            self.exchange(0.001, 200)
        self.assertEqual(len(self.failures()), 100)
        self.assertNotIsInstance(self.outcomes.health.state(self.now), Serving)

    def test_one_failing_target_does_not_change_what_is_usual(self):
        usual = (USUAL,)
        failing = (UsualAnswer(FRONT, 0.001, 200),)
        self.assertEqual(combine_usual_answers([usual, failing, usual]), usual)

    def test_a_change_of_most_targets_is_usual(self):
        """A new release that answers sooner and shorter would be ejected."""
        changed = (UsualAnswer(FRONT, 0.001, 200),)
        self.assertEqual(combine_usual_answers([changed, (USUAL,), changed]), changed)

    def test_too_few_targets_tell_nothing_of_their_service(self):
        self.assertEqual(combine_usual_answers((MIN_AGENTS - 1) * [(USUAL,)]), ())

    def test_the_routes_used_last_are_reported(self):
        """Routes out of use would take the place of those in use."""
        samples = AnswerSamples()
        for port in range(3 * MAX_REPORTED_ROUTES):
            for _ in range(MIN_SAMPLES):
                samples.record(Address("198.18.0.1", port), 0.03, 1_000)
        ports = {usual.front.port for usual in samples.usual_answers()}
        last = range(2 * MAX_REPORTED_ROUTES, 3 * MAX_REPORTED_ROUTES)
        self.assertEqual(ports, set(last))
