import unittest

from ryesaddle.internal.target.first_heartbeat import shows_no_earlier_flow
from ryesaddle.internal.target.report import TargetReport

HEARTBEAT_S = 0.77


class FirstHeartbeatTest(unittest.TestCase):
    """Guards against resets of flows that an earlier run of the agent has opened."""

    def shows(self, sequence=3, age_s=0.3, stored_target="i-before", target="i-now"):
        report = TargetReport(target, "case-desk", sequence)
        return shows_no_earlier_flow(report, age_s, HEARTBEAT_S, stored_target)

    def test_a_target_that_has_just_started_has_no_earlier_flow(self):
        self.assertTrue(self.shows())
        self.assertTrue(self.shows(stored_target=""))
        self.assertTrue(self.shows(sequence=1, age_s=None, stored_target=None))

    def test_a_first_heartbeat_of_a_target_that_runs_for_long_shows_nothing(self):
        self.assertFalse(self.shows(sequence=1, age_s=10.0))

    def test_a_target_that_an_earlier_run_may_have_heard_may_have_flows(self):
        # The second heartbeat after an acknowledged one comes after an interval.
        self.assertFalse(self.shows(age_s=HEARTBEAT_S))
        self.assertFalse(self.shows(stored_target="i-now"))

    def test_nothing_follows_without_the_store_or_the_start_of_the_target(self):
        self.assertFalse(self.shows(stored_target=None))
        self.assertFalse(self.shows(age_s=None))
        # The host's clock was set back after the target had started.
        self.assertFalse(self.shows(age_s=-1.0))
