import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.report_schedule import (
    ACK_INTERVAL_S,
    BALANCER_EXPIRY_S,
    MAX_REPORT_INTERVAL_S,
    MAX_REPORTS_PER_S,
    REPORT_INTERVAL_S,
    ReportSchedule,
    report_interval_s,
)

BALANCERS = [Address("10.0.0.1", port) for port in range(1, 5)]


def make_schedule(*addresses):
    schedule = ReportSchedule()
    for address in addresses:
        schedule.record_contact(address, 0.0)
    return schedule


def reported(reports):
    return sorted(address for addresses in reports.values() for address in addresses)


class IntervalTest(unittest.TestCase):
    @given(st.integers(0, 1_600))
    def test_reports_at_a_balancer_are_bounded(self, agents):
        self.assertLessEqual(agents / report_interval_s(agents), MAX_REPORTS_PER_S)

    def test_few_agents_report_at_the_full_rate(self):
        self.assertEqual(report_interval_s(100), REPORT_INTERVAL_S)

    def test_the_longest_interval_is_well_below_the_balancer_expiry(self):
        self.assertEqual(report_interval_s(10**6), MAX_REPORT_INTERVAL_S)
        self.assertGreater(BALANCER_EXPIRY_S, 4 * MAX_REPORT_INTERVAL_S)


class ReportScheduleTest(unittest.TestCase):
    def test_each_balancer_gets_reports_at_its_requested_interval(self):
        schedule = make_schedule(*BALANCERS[:2])
        schedule.set_interval(BALANCERS[1], 0.8)
        sent = {BALANCERS[0]: 0, BALANCERS[1]: 0}
        for step in range(40):
            for address in reported(schedule.due_reports(step * REPORT_INTERVAL_S)):
                sent[address] += 1
        self.assertEqual(sent, {BALANCERS[0]: 40, BALANCERS[1]: 10})

    def test_an_urgent_report_goes_to_all_balancers_immediately(self):
        schedule = make_schedule(*BALANCERS)
        schedule.set_interval(BALANCERS[0], 3.2)
        schedule.due_reports(1.0)
        self.assertEqual(schedule.due_reports(1.01), {})
        self.assertEqual(
            reported(schedule.due_reports(1.02, schedule)), sorted(BALANCERS)
        )

    def test_acknowledgements_are_requested_at_the_ack_interval(self):
        schedule = make_schedule(BALANCERS[0])
        wants = [
            next(iter(schedule.due_reports(step * REPORT_INTERVAL_S))).wants_ack
            for step in range(20)
        ]
        self.assertEqual(sum(wants), 20 * REPORT_INTERVAL_S / ACK_INTERVAL_S)
        self.assertTrue(next(iter(schedule.due_reports(4.0, all_ack=True))).wants_ack)

    def test_a_report_states_the_requested_interval(self):
        schedule = make_schedule(BALANCERS[0])
        schedule.set_interval(BALANCERS[0], 0.4)
        self.assertEqual(next(iter(schedule.due_reports(0.0))).interval_s, 0.4)

    def test_a_silent_balancer_is_removed(self):
        schedule = make_schedule(*BALANCERS[:2])
        schedule.record_contact(BALANCERS[0], 10.0)
        self.assertEqual(schedule.remove_expired(BALANCER_EXPIRY_S + 1), [BALANCERS[1]])
        self.assertEqual(list(schedule), [BALANCERS[0]])
