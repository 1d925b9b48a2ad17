"""Checks that each decision about long flows lowers the share of late answers.

Each test compares the product with a policy that has the decision disabled.
"""

import unittest
from unittest import mock

from bench.long_flows import (
    LONG_FLOW_PATTERNS,
    LONG_FLOW_POLICIES,
    simulate_long_flows,
)

CANDIDATES = "ryesaddle.internal.routing.placement.LONG_FLOW_CANDIDATES"


class LongFlowsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.full_policy = cls.late("long flows")

    @staticmethod
    def late(pattern, policy="product"):
        outcome = simulate_long_flows(
            LONG_FLOW_PATTERNS[pattern], LONG_FLOW_POLICIES[policy], seeds=(1,)
        )
        return outcome.late / outcome.asked

    def test_speeds_lower_the_share_of_late_answers(self):
        reduced_policy = self.late("long flows", "no speeds")
        self.assertLess(self.full_policy, 0.75 * reduced_policy)

    def test_the_forecast_lowers_the_share_of_late_answers(self):
        reduced_policy = self.late("long flows", "no forecast")
        self.assertLess(self.full_policy, 0.75 * reduced_policy)

    def test_more_candidates_lower_the_share_of_late_answers(self):
        with mock.patch(CANDIDATES, 3):
            reduced_policy = self.late("long flows")
        self.assertLess(self.full_policy, 0.75 * reduced_policy)

    def test_replaced_targets_take_their_share_of_long_flows(self):
        pattern = "long flows, a third replaced"
        reduced_policy = self.late(pattern, "no speeds, no forecast")
        self.assertLess(self.late(pattern), 0.75 * reduced_policy)
