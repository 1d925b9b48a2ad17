import unittest

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.work_estimate import (
    FORECAST_S,
    MAX_AGE_S,
    MIN_SAMPLES,
    WorkEstimate,
)

FRONT = Address("198.18.0.1", 443)


class WorkEstimateTest(unittest.TestCase):
    def setUp(self):
        self.estimate = WorkEstimate()

    def record(self, count, elapsed_s, now=0.0, found_free_slot=True):
        for _ in range(count):
            self.estimate.record_answer(elapsed_s, found_free_slot, now)

    def test_a_few_samples_do_not_rank_a_target(self):
        self.record(MIN_SAMPLES - 1, 0.03)
        self.assertEqual(self.estimate.work_s(0.0), 0.0)
        self.record(1, 0.03)
        self.assertAlmostEqual(self.estimate.work_s(0.0), 0.03)

    def test_a_busy_target_does_not_look_slow(self):
        self.record(MIN_SAMPLES, 0.03)
        self.record(200, 0.3, found_free_slot=False)
        self.assertAlmostEqual(self.estimate.work_s(0.0), 0.03)

    def test_a_saturated_slow_target_does_not_become_unknown(self):
        self.record(MIN_SAMPLES, 0.06)
        for second in range(1, 30):
            self.record(10, 0.5, float(second), found_free_slot=False)
        self.assertAlmostEqual(self.estimate.work_s(30.0), 0.06)

    def test_a_cold_start_is_forgotten(self):
        self.record(MIN_SAMPLES, 0.048)
        self.record(60, 0.03, 2.0)
        self.assertLess(self.estimate.work_s(2.0), 0.032)

    def test_one_pause_of_the_process_does_not_make_a_target_look_slow(self):
        self.record(60, 0.03)
        self.record(1, 5.0)
        self.assertLess(self.estimate.work_s(0.0), 0.036)

    def test_an_idle_target_is_measured_anew(self):
        self.record(60, 0.06)
        self.assertEqual(self.estimate.work_s(MAX_AGE_S + 0.1), 0.0)
        self.record(MIN_SAMPLES, 0.03, MAX_AGE_S + 0.1)
        self.assertAlmostEqual(self.estimate.work_s(MAX_AGE_S + 0.1), 0.03)


class FlowEstimatesTest(unittest.TestCase):
    def setUp(self):
        self.flows = TargetFlows()
        self.now = 0.0

    def open(self, number):
        flow = Flow(Address("100.64.0.7", 1_000 + number), FRONT)
        self.flows.record_opening(flow, self.now)
        self.flows.record_target_packet(Packet(flow, accepts=True), self.now)
        return flow

    def send_request(self, flow, number=1):
        request = Packet(flow, has_data=True, sequence_number=number)
        self.flows.record_caller_packet(request, b"", self.now)

    def answer(self, flow, after_s, ends=False):
        self.now += after_s
        answer = Packet(flow, has_data=True, ends=ends)
        self.flows.record_target_packet(answer, self.now)

    def test_the_way_to_the_caller_and_queueing_are_not_work(self):
        for number in range(MIN_SAMPLES):
            first, second = self.open(2 * number), self.open(2 * number + 1)
            self.now += 0.01  # until the callers send their requests
            self.send_request(first)
            self.send_request(second)
            self.answer(first, 0.03)
            self.answer(second, 0.03)
        self.assertAlmostEqual(self.flows.work_s(self.now), 0.03)

    def test_flows_with_one_request_are_not_forecast(self):
        for number in range(100):
            flow = self.open(number)
            self.send_request(flow)
            self.answer(flow, 0.03, ends=True)
        self.assertEqual(self.flows.forecast(self.now), 0.0)

    def test_the_forecast_is_the_average_of_later_requests(self):
        flow = self.open(1)
        self.send_request(flow)
        self.answer(flow, 0.03)
        for number in range(2, 400):
            self.send_request(flow, number)
            self.answer(flow, 0.03)
            self.now += 0.03
        self.assertAlmostEqual(self.flows.forecast(self.now), 0.5, delta=0.05)
        self.assertLess(self.flows.forecast(self.now + FORECAST_S), 0.25)

    def test_a_lost_answer_does_not_stay_in_the_forecast(self):
        flow = self.open(1)
        self.send_request(flow)
        self.answer(flow, 0.03)
        self.send_request(flow, 2)
        self.flows.expire(self.now + 20.0, 60.0)
        self.assertLess(self.flows.forecast(self.now + 60.0), 0.01)
