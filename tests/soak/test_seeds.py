import tempfile
import unittest
from pathlib import Path

from soak.plan import FAULTS_FROM_S, load_plan, make_plan
from soak.report import report_lines
from soak.run import SoakRun

PLANS = Path(__file__).parent / "plans"
# Plans that failed once, with their cause; each also has a test without processes.
FAILED_ONCE = {
    "paused-balancers": "silence of a remembered agent counted as a refusal",
    "stopped-agents": "the same, at the planned stop of an agent",
    "stop-during-start": "a stop during the imports ended a process with -15",
}
SEED = 4
SHORT_S = 8.0
EDGES, SIDES = ("e-1", "e-2"), ("s-1", "s-2", "s-3")


class PlanTest(unittest.TestCase):
    def test_a_seed_gives_the_same_plan_again(self):
        plans = [make_plan(7, EDGES, SIDES, 10.0) for _ in range(2)]
        self.assertEqual(*plans)
        self.assertNotEqual(plans[0], make_plan(8, EDGES, SIDES, 10.0))

    def test_all_faults_begin_and_end_in_their_time(self):
        for seed in range(200):
            for item in make_plan(seed, EDGES, SIDES, 10.0):
                self.assertGreaterEqual(item.at_s, FAULTS_FROM_S)
                self.assertLessEqual(item.at_s + item.for_s, FAULTS_FROM_S + 10.001)


class SeedTest(unittest.IsolatedAsyncioTestCase):
    async def test_promises_hold_under_the_faults_of_a_seed(self):
        await self.play(SEED)

    async def test_promises_hold_while_balancers_are_paused(self):
        await self.play_plan("paused-balancers")

    async def test_promises_hold_while_agents_are_stopped(self):
        await self.play_plan("stopped-agents")

    async def test_promises_hold_while_starts_are_stopped(self):
        await self.play_plan("stop-during-start")

    async def play_plan(self, name):
        plan = load_plan(PLANS / f"{name}.json")
        await self.play(SEED, plan, f"failed once: {FAILED_ONCE[name]}")

    async def play(self, seed, plan=None, cause=""):
        with tempfile.TemporaryDirectory() as folder:
            result = await SoakRun(seed, SHORT_S, folder, plan).run()
        report = "\n".join((cause, *report_lines(result)))
        self.assertEqual(result.violations, (), report)
        self.assertGreater(result.answered, 0, report)
