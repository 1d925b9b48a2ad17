import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.pace import (
    ACK_S,
    FORGET_S,
    MAX_REPORT_S,
    REPORT_S,
    REPORTS_PER_S,
    Pace,
    report_interval_s,
)

EDGES = [Address("10.0.0.1", port) for port in range(1, 5)]


def pace(*addresses):
    known = Pace()
    for address in addresses:
        known.heard(address, 0.0)
    return known


def reported(found):
    return sorted(address for addresses in found.values() for address in addresses)


class IntervalTest(unittest.TestCase):
    @given(st.integers(0, 1_600))
    def test_reports_at_a_balancer_are_bounded(self, agents):
        self.assertLessEqual(agents / report_interval_s(agents), REPORTS_PER_S)

    def test_few_agents_report_at_the_full_rate(self):
        self.assertEqual(report_interval_s(100), REPORT_S)

    def test_no_agent_is_silent_for_longer_than_balancers_are_remembered(self):
        self.assertEqual(report_interval_s(10**6), MAX_REPORT_S)
        self.assertGreater(FORGET_S, 4 * MAX_REPORT_S)


class PaceTest(unittest.TestCase):
    def test_each_balancer_is_told_as_often_as_it_asked(self):
        known = pace(*EDGES[:2])
        known.asked(EDGES[1], 0.8)
        told = {EDGES[0]: 0, EDGES[1]: 0}
        for step in range(40):
            for address in reported(known.due(step * REPORT_S)):
                told[address] += 1
        self.assertEqual(told, {EDGES[0]: 40, EDGES[1]: 10})

    def test_news_go_to_all_at_once(self):
        known = pace(*EDGES)
        known.asked(EDGES[0], 3.2)
        known.due(1.0)
        self.assertEqual(known.due(1.01), {})
        self.assertEqual(reported(known.due(1.02, known)), sorted(EDGES))

    def test_a_balancer_confirms_now_and_then(self):
        known = pace(EDGES[0])
        wants = [next(iter(known.due(step * REPORT_S))).wants_ack for step in range(20)]
        self.assertEqual(sum(wants), 20 * REPORT_S / ACK_S)
        self.assertTrue(next(iter(known.due(4.0, all_ack=True))).wants_ack)

    def test_the_promised_interval_is_the_one_that_was_asked_for(self):
        known = pace(EDGES[0])
        known.asked(EDGES[0], 0.4)
        self.assertEqual(next(iter(known.due(0.0))).interval_s, 0.4)

    def test_a_silent_balancer_is_forgotten(self):
        known = pace(*EDGES[:2])
        known.heard(EDGES[0], 10.0)
        self.assertEqual(known.forget(FORGET_S + 1), [EDGES[1]])
        self.assertEqual(list(known), [EDGES[0]])
