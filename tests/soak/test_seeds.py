import tempfile
import unittest
from pathlib import Path

from soak.plan import FIRST_FAULT_S, Injection, load_plan, make_plan
from soak.report import report_lines
from soak.run import SoakRun

PLANS = Path(__file__).parent / "plans"
# Regression plans and the fault that each one found. A unit test covers each fault too.
FORMER_FAILURES = {
    "paused-balancers": "no answer of a previously known agent counted as a refusal",
    "stopped-agents": "the same fault, at the planned stop of an agent",
    "stop-during-start": "a stop during the imports ended a process with -15",
}
SEED = 4
FAULTS_S = 8.0
BALANCER_HOSTS, AGENT_HOSTS = ("e-1", "e-2"), ("s-1", "s-2", "s-3")


class PlanTest(unittest.TestCase):
    def test_a_seed_always_gives_the_same_plan(self):
        plans = [make_plan(7, BALANCER_HOSTS, AGENT_HOSTS, 10.0) for _ in range(2)]
        self.assertEqual(*plans)
        self.assertNotEqual(plans[0], make_plan(8, BALANCER_HOSTS, AGENT_HOSTS, 10.0))

    def test_all_faults_begin_and_end_within_the_fault_period(self):
        for seed in range(200):
            for item in make_plan(seed, BALANCER_HOSTS, AGENT_HOSTS, 10.0):
                self.assertGreaterEqual(item.at_s, FIRST_FAULT_S)
                self.assertLessEqual(item.at_s + item.for_s, FIRST_FAULT_S + 10.001)


class SeedTest(unittest.IsolatedAsyncioTestCase):
    async def test_invariants_hold_under_the_faults_of_a_seed(self):
        await self.run_soak(SEED)

    async def test_invariants_hold_while_balancers_are_paused(self):
        await self.run_plan("paused-balancers")

    async def test_invariants_hold_while_agents_are_stopped(self):
        await self.run_plan("stopped-agents")

    async def test_invariants_hold_when_processes_are_stopped_during_start(self):
        await self.run_plan("stop-during-start")

    async def test_draining_holds_when_agents_are_killed_after_acknowledging_it(self):
        # Two of three agents of a service drain while the store refuses calls, and one
        # of the balancers that know of it is away when they start again.
        host, other = "127.0.11.1", "127.0.11.2"
        plan = (
            Injection(2.0, 1.5, "down"),
            Injection(2.5, 0.5, "agent-killed-after-drain", (host,)),
            Injection(2.5, 2.0, "target-drains-silently", (other,)),
            Injection(3.0, 1.0, "kill", ("127.0.10.1",)),
        )
        await self.run_soak(SEED, plan)

    async def run_plan(self, name):
        plan = load_plan(PLANS / f"{name}.json")
        await self.run_soak(
            SEED, plan, f"fault found by this plan: {FORMER_FAILURES[name]}"
        )

    async def run_soak(self, seed, plan=None, cause=""):
        with tempfile.TemporaryDirectory() as folder:
            result = await SoakRun(seed, FAULTS_S, folder, plan).run()
        report = "\n".join((cause, *report_lines(result)))
        self.assertEqual(result.violations, (), report)
        self.assertGreater(result.answered, 0, report)
