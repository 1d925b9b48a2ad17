"""The configuration grows by 1,260 routes, and then changes every 0.15 s."""

import unittest

from bench.configuration import (
    BOUND_S,
    Differences,
    Storm,
    WholeTables,
    run_storm,
)

SEEDS = range(3)
# Half of the shortest latency objective that these links have served (226 ms).
MAX_DELAY_S = 0.113


class ConfigurationStormTest(unittest.TestCase):
    def test_differences_take_effect_in_time_and_leave_the_links_to_callers(self):
        for seed in SEEDS:
            outcome = run_storm(Differences(), Storm(), seed)
            self.assertLess(outcome.worst_age_s, BOUND_S)
            self.assertLess(outcome.worst_delay_s, MAX_DELAY_S)

    def test_whole_tables_fill_the_links(self):
        """Guards the model: without the decision it shows the fault."""
        for seed in SEEDS:
            outcome = run_storm(WholeTables(), Storm(), seed)
            self.assertGreater(outcome.worst_age_s, BOUND_S)
            self.assertGreater(outcome.worst_delay_s, MAX_DELAY_S)

    def test_a_source_that_dies_halfway_delays_nobody_beyond_the_bound(self):
        for seed in SEEDS:
            outcome = run_storm(Differences(), Storm(failing_at=2.0), seed)
            self.assertLess(outcome.worst_age_s, BOUND_S)


if __name__ == "__main__":
    unittest.main()
