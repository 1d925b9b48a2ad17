"""Benchmarks of single steps run to their end."""

import io
import json
import unittest
from contextlib import redirect_stdout
from unittest import mock

from bench import datapath, experiment, passthrough
from bench.request_order import POLICIES, simulate_order


class DatapathTest(unittest.TestCase):
    def test_each_step_of_the_data_path_is_measured(self):
        with mock.patch.object(datapath, "CALLS_PER_RUN", 20):
            rows = datapath.run_datapath()
        self.assertEqual(len(rows), 7)
        for row in rows:
            self.assertGreater(row["us"], 0, row)

    def test_memory_is_measured_for_each_number_of_flows(self):
        with mock.patch.object(datapath, "FLOW_COUNTS", (10, 20)):
            rows = datapath.run_flow_memory()
        self.assertEqual([row["flows"] for row in rows], [10, 20])


class PassthroughTest(unittest.TestCase):
    def test_each_cost_is_measured_at_every_size(self):
        small = {
            "FLOW_COUNTS": (50, 100),
            "AGENT_FLOW_COUNTS": (50, 100),
            "AGENT_COUNTS": (4, 8),
            "CALLS_PER_RUN": 20,
        }
        with mock.patch.multiple(passthrough, **small):
            rows = passthrough.run_passthrough()
        self.assertTrue(all(len(row["points"]) == 2 for row in rows[:-1]))
        self.assertGreater(rows[-1]["report, bytes"], 0)


class ExperimentTest(unittest.TestCase):
    def test_a_pattern_is_simulated_at_the_size_of_the_arguments(self):
        size = ["--targets", "20", "--slots", "1", "--balancers", "9", "--seeds", "1"]
        output = io.StringIO()
        with redirect_stdout(output):
            experiment.app(
                ["calm", *size, "--load", "0.3"], result_action="return_none"
            )
        row = json.loads(output.getvalue())
        # 12 s of 0.3 x 20 requests of 31.5 ms at a time
        self.assertAlmostEqual(row["asked"] / (12 * 0.3 * 20 / 0.0315), 1, delta=0.1)
        self.assertGreater(row["in_time"], 0.99)


class RequestOrderTest(unittest.TestCase):
    def test_held_requests_lower_the_payoff_of_an_overloaded_target(self):
        # docs/design/request-order.md rests on this: if it fails, decide anew.
        payoffs = {
            name: simulate_order(policy, 1.3, 1.0, range(4))[0]
            for name, policy in POLICIES.items()
        }
        self.assertEqual(max(payoffs, key=payoffs.get), "not held")
