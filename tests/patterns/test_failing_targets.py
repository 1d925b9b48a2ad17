"""Checks that targets that fail their requests at once get few of them.

Each test compares the product with a policy that has the decision disabled.
"""

import unittest

from bench.failing_targets import (
    FAILURE_PATTERNS,
    FAILURE_POLICIES,
    simulate_failures,
)

MAX_FAILED = 0.002  # of all requests, the users' target for failing targets
MAX_BUSIEST = 1.2  # requests of the busiest target, relative to the mean


class FailingTargetsTest(unittest.TestCase):
    @staticmethod
    def outcome(pattern, policy="product"):
        return simulate_failures(FAILURE_PATTERNS[pattern], FAILURE_POLICIES[policy])

    def check(self, pattern):
        product = self.outcome(pattern)
        reduced_policy = self.outcome(pattern, "no ejection")
        self.assertGreater(reduced_policy.failed, 5 * product.failed)
        self.assertLessEqual(product.failed / product.asked, MAX_FAILED)
        self.assertLessEqual(product.busiest, MAX_BUSIEST)

    def test_targets_that_answer_with_errors_at_once_attract_no_requests(self):
        self.check("errors")

    def test_targets_that_reset_their_flows_attract_no_requests(self):
        self.check("resets")

    def test_targets_that_fail_a_part_of_their_requests_get_few(self):
        self.check("errors in part")

    def test_targets_that_fail_from_their_start_are_told_from_the_others(self):
        pattern = "errors from the start"
        own_past_only = self.outcome(pattern, "own past only")
        self.assertLess(self.outcome(pattern).failed, 0.5 * own_past_only.failed)

    def test_failures_of_all_targets_eject_none(self):
        product = self.outcome("errors of all")
        reduced_policy = self.outcome("errors of all", "no ejection")
        self.assertLess(product.failed, 1.1 * reduced_policy.failed)

    def test_a_burst_ejects_no_target(self):
        pattern = "burst without failures"
        self.assertEqual(self.outcome(pattern), self.outcome(pattern, "no ejection"))
