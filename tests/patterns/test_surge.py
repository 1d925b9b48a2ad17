"""Checks that each mechanism raises the payoff of the load patterns it is meant for.

Each test compares the product with a policy that has the mechanism disabled.
"""

import unittest

from bench.surge import PATTERNS, POLICIES, Pattern, simulate_pattern

# Required mean payoff of a deployment on days with faults.
MIN_PAYOFF_WITH_FAULTS = 0.84


class SurgeTest(unittest.TestCase):
    def payoff(self, pattern, policy="product", seeds=(1, 2)):
        return simulate_pattern(PATTERNS[pattern], POLICIES[policy], seeds).payoff

    def test_steady_load_is_answered_in_time(self):
        outcome = simulate_pattern(PATTERNS["calm"], POLICIES["product"], (1,))
        self.assertEqual(outcome.failed, 0)
        self.assertGreater(outcome.in_time / outcome.asked, 0.99)

    def test_after_a_power_loss_the_agent_queue_and_its_order_raise_the_payoff(self):
        full_policy = self.payoff("power loss")
        for reduced_policy in ("order of arrival", "no waiting at the agent"):
            self.assertGreater(
                full_policy, self.payoff("power loss", reduced_policy), reduced_policy
            )

    def test_packets_that_waited_for_a_balancer_to_start_do_not_delay_new_ones(self):
        full_policy = self.payoff("late balancers")
        for reduced_policy in ("order of arrival", "no waiting at the agent"):
            self.assertGreater(
                full_policy, self.payoff("late balancers", reduced_policy)
            )

    def test_in_a_burst_the_agent_queue_and_its_order_raise_the_payoff(self):
        full_policy = self.payoff("burst")
        for reduced_policy in ("order of arrival", "no waiting at the agent"):
            self.assertGreater(
                full_policy, self.payoff("burst", reduced_policy), reduced_policy
            )

    def test_with_half_of_the_targets_stopped_the_queue_order_raises_the_payoff(self):
        full_policy = self.payoff("half of the targets gone")
        reduced_policy = self.payoff("half of the targets gone", "order of arrival")
        self.assertGreater(full_policy, reduced_policy)

    def test_with_a_slow_target_offers_raise_the_payoff(self):
        full_policy = self.payoff("a slow target")
        for reduced_policy in ("no offers", "hashing only"):
            self.assertGreater(
                full_policy,
                self.payoff("a slow target", reduced_policy),
                reduced_policy,
            )

    def test_payoff_after_a_short_power_loss_meets_the_requirement(self):
        pattern = Pattern(duration_s=34.0, power_loss_at=28.0, outage_s=1.0)
        outcome = simulate_pattern(pattern, POLICIES["product"], (1,))
        self.assertGreater(outcome.payoff, MIN_PAYOFF_WITH_FAULTS)

    def test_every_request_is_accounted_for(self):
        for name, pattern in PATTERNS.items():
            outcome = simulate_pattern(pattern, POLICIES["product"], (7,))
            total = outcome.in_time + outcome.late + outcome.failed
            self.assertEqual(total, outcome.asked, name)
