"""Replays each load pattern that a decision answers, with the decision taken out."""

import unittest

from bench.surge import PATTERNS, POLICIES, Pattern, play

# The mean `worth` that the users ask of their grown deployments on days with trouble.
TROUBLE_PAYOFF = 0.84


class SurgeTest(unittest.TestCase):
    def payoff(self, pattern, policy="product", seeds=(1, 2)):
        return play(PATTERNS[pattern], POLICIES[policy], seeds).payoff

    def test_a_calm_service_answers_in_time(self):
        found = play(PATTERNS["calm"], POLICIES["product"], (1,))
        self.assertEqual(found.failed, 0)
        self.assertGreater(found.in_time / found.asked, 0.99)

    def test_after_a_power_loss_flows_wait_at_the_agent_and_the_fresh_go_first(self):
        product = self.payoff("power loss")
        for without in ("order of arrival", "no waiting at the agent"):
            self.assertGreater(product, self.payoff("power loss", without), without)

    def test_in_a_burst_the_fresh_go_first(self):
        product = self.payoff("burst")
        for without in ("order of arrival", "no waiting at the agent"):
            self.assertGreater(product, self.payoff("burst", without), without)

    def test_with_half_of_the_targets_gone_the_fresh_go_first(self):
        product = self.payoff("half of the targets gone")
        without = self.payoff("half of the targets gone", "order of arrival")
        self.assertGreater(product, without)

    def test_flows_are_offered_away_from_a_slow_target(self):
        product = self.payoff("a slow target")
        for without in ("no offers", "hashing only"):
            self.assertGreater(product, self.payoff("a slow target", without), without)

    def test_a_short_power_loss_leaves_what_the_users_ask(self):
        pattern = Pattern(length_s=34.0, dark_at=28.0, dark_s=1.0)
        found = play(pattern, POLICIES["product"], (1,))
        self.assertGreater(found.payoff, TROUBLE_PAYOFF)

    def test_every_request_is_accounted_for(self):
        for name, pattern in PATTERNS.items():
            found = play(pattern, POLICIES["product"], (7,))
            total = found.in_time + found.late + found.failed
            self.assertEqual(total, found.asked, name)
