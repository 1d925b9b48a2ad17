import unittest

from ryesaddle.internal.address import Address
from ryesaddle.internal.admission.health import FAILING_LOAD
from ryesaddle.internal.membership.directory import (
    JOINING_S,
    MEDIANS_MAX_AGE_S,
    AgentDirectory,
)
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.routing.placement import LONG_FLOW_CANDIDATES, Placement
from ryesaddle.internal.target.work_estimate import MIN_SAMPLES
from ryesaddle.internal.wire.passthrough import AgentReport
from tests.support.packets import packet
from tests.support.passthrough import (
    ACK,
    FRONT,
    SERVICE,
    SYN,
    PacketSimulation,
    Target,
)

OPENED_AT = 2 * JOINING_S


class PlacementCase(unittest.TestCase):
    def setUp(self):
        self.directory = AgentDirectory()
        self.placement = Placement("dc-1", self.directory)
        self.sequence = 0

    def report(self, number, now=OPENED_AT, **changes):
        self.sequence += 1
        fields = {
            "node": f"side-{number}",
            "incarnation": 1,
            "service": SERVICE,
            "data_centre": "dc-1",
            "address": Address("10.0.0.1", number),
            "open": True,
            "load": 0.0,
            "slots": 1,
            "target": f"i-{number}",
            "draining": False,
            "sequence": self.sequence,
            **changes,
        }
        self.directory.apply_report(AgentReport(**fields), now)

    def start(self, numbers=range(1, 4), changes=None, now=OPENED_AT, **common):
        """Let agents report twice, so that they do not count as new ones."""
        for at in (now - OPENED_AT, now):
            for number in numbers:
                own = (changes or {}).get(number, {})
                self.report(number, at, **{**common, **own})

    def count_choices(self, now=OPENED_AT, flows=60):
        counts = {}
        for port in range(flows):
            flow = Flow(Address("100.64.0.7", port), Address("198.18.0.1", 443))
            chosen = self.placement.choose_agent(SERVICE, flow, 0, now)
            self.assertLessEqual(len(chosen.others), 2)
            node = chosen.member.node
            counts[node] = counts.get(node, 0) + 1
        return counts


class CostTest(PlacementCase):
    def test_a_slow_idle_target_gets_no_flow_that_a_fast_one_serves_sooner(self):
        slow = {"work_s": 0.06}
        self.start(changes={1: slow}, work_s=0.03, load=0.5)
        self.assertNotIn("side-1", self.count_choices())

    def test_a_fast_target_with_a_queue_gets_no_flow_that_a_slow_one_serves_sooner(
        self,
    ):
        slow = {"work_s": 0.06, "load": 0.0}
        self.start(changes={1: slow}, work_s=0.03, load=3.0)
        self.assertEqual(set(self.count_choices()), {"side-1"})

    def test_open_flows_count_although_their_target_is_idle_at_the_moment(self):
        self.start(changes={1: {"forecast": 1.5}}, work_s=0.03, forecast=0.4, load=0.5)
        self.report(1, work_s=0.03, forecast=1.5, load=0.0)
        self.assertNotIn("side-1", self.count_choices())

    def test_equal_targets_with_one_request_for_each_flow_are_placed_by_load(self):
        """Estimates that vary, as they do by chance, must not change the order."""
        works = {1: {"work_s": 0.028}, 2: {"work_s": 0.035}, 3: {"work_s": 0.033}}
        self.start(changes=works)
        by_estimates = self.count_choices()
        self.setUp()
        self.start()
        self.assertEqual(by_estimates, self.count_choices())

    def test_a_target_in_another_data_centre_costs_half_a_request_more(self):
        remote = {1: {"data_centre": "dc-2", "load": 0.1}}
        self.start(changes=remote, work_s=0.03, load=0.5)
        self.assertNotIn("side-1", self.count_choices())
        self.report(1, data_centre="dc-2", work_s=0.03, load=0.0)
        for number in (2, 3):
            self.report(number, work_s=0.03, load=0.6)
        self.assertEqual(set(self.count_choices()), {"side-1"})


class JoiningTest(PlacementCase):
    """A new target without a forecast must not attract all new flows."""

    def test_a_new_agent_counts_with_the_median_forecast(self):
        self.start(work_s=0.03, forecast=0.8, load=0.5)
        self.report(4, work_s=0.03, load=0.5)
        member = self.directory.find("side-4")
        self.assertEqual(self.directory.forecast(member, OPENED_AT), 0.8)
        self.report(4, OPENED_AT + 2.0, work_s=0.03, load=0.5, incarnation=2)
        later = OPENED_AT + JOINING_S + 0.1
        self.start((1, 2, 3), now=later, work_s=0.03, forecast=0.8, load=0.5)
        self.assertEqual(self.directory.forecast(member, later), 0.8)
        self.assertEqual(self.directory.forecast(member, later + 2.0), 0.0)

    def test_an_agent_of_an_older_version_counts_with_the_medians(self):
        self.start(
            changes={1: {"work_s": 0.0, "forecast": 0.0}}, work_s=0.03, forecast=0.8
        )
        member = self.directory.find("side-1")
        self.assertEqual(self.directory.forecast(member, OPENED_AT), 0.8)
        self.assertEqual(self.directory.relative_work(member, OPENED_AT), 1.0)

    def test_a_balancer_that_starts_takes_the_forecasts_as_reported(self):
        for number, forecast in ((1, 0.2), (2, 0.8), (3, 1.5)):
            self.report(number, work_s=0.03, forecast=forecast)
        found = [self.directory.forecast(m, OPENED_AT) for m in self.members()]
        self.assertEqual(found, [0.2, 0.8, 1.5])

    def test_a_group_that_replaces_others_is_not_kept_from_new_flows(self):
        self.start(work_s=0.03, forecast=0.8)
        self.report(4, work_s=0.03)
        self.report(5, work_s=0.03)
        member = self.directory.find("side-4")
        self.assertEqual(self.directory.forecast(member, OPENED_AT), 0.0)

    def members(self):
        return [self.directory.find(f"side-{number}") for number in (1, 2, 3)]


class CandidatesTest(PlacementCase):
    def test_more_candidates_only_for_long_flows(self):
        """More candidates for single requests would send them to the same agents."""
        for forecast, most in ((0.0, 3), (0.8, LONG_FLOW_CANDIDATES)):
            self.setUp()
            # One agent is better than the others: flows with it among their candidates
            # choose it.
            best = {1: {"load": 0.1}}
            self.start(range(1, 13), best, work_s=0.03, load=0.9, forecast=forecast)
            share = self.count_choices(flows=600)["side-1"] / 600
            self.assertAlmostEqual(share, most / 12, delta=0.06)


class ReportTest(unittest.TestCase):
    """Estimates that do not reach the balancer would change no choice."""

    def test_a_balancer_learns_how_long_requests_take_at_a_target(self):
        world = PacketSimulation()
        world.start_balancer(1)
        for number, work_s in ((1, 0.03), (2, 0.03), (3, 0.09)):
            target = Target(f"i-{number}", SERVICE)
            world.start_agent(number, SERVICE, target)
            world.heartbeat(number)
            world.now += 2.0
            world.report(number)
            agent = world.agents[number][0]
            for port in range(100 * number, 100 * number + 40):
                caller = Address("100.64.0.7", port)
                world.send(1, caller, SYN)
                if Flow(caller, FRONT) in target.flows:
                    world.send(1, caller, ACK, data=b"request")
                    world.now += work_s
                    answer = packet(FRONT, caller, ACK, 9, 0, b"answer")
                    agent.on_target_packet(answer, None)
            self.assertGreaterEqual(len(target.flows), MIN_SAMPLES)
        for number in (1, 2, 3):
            world.report(number)
        world.now += MEDIANS_MAX_AGE_S
        directory = world.balancers[1]._directory
        works = [directory.relative_work(m, world.now) for m in directory.members()]
        self.assertEqual([round(work, 1) for work in works], [1.0, 1.0, 3.0])


class FailingTargetTest(PlacementCase):
    """An idle target that fails its requests must not attract new flows."""

    def choose(self, port, repeatable):
        flow = Flow(Address("100.64.0.7", port), FRONT)
        return self.placement.choose_agent(SERVICE, flow, 0, OPENED_AT, repeatable)

    def nodes(self, repeatable):
        decisions = [self.choose(port, repeatable) for port in range(60)]
        return {m.node for d in decisions for m in (d.member, *d.others)}

    def test_an_ejected_target_is_no_candidate(self):
        self.start(range(1, 7), changes={1: {"failing": True}}, load=2.0)
        for repeatable in (False, True):
            self.assertNotIn("side-1", self.nodes(repeatable))

    def test_a_target_on_probation_is_one_for_repeatable_requests(self):
        changes = {1: {"failing": True, "on_probation": True, "load": 0.0}}
        self.start(range(1, 7), changes=changes, load=2.0)
        self.assertNotIn("side-1", self.nodes(False))
        self.assertIn("side-1", self.nodes(True))

    def test_a_failing_target_is_offered_what_the_others_cannot_carry(self):
        self.start(range(1, 7), changes={1: {"failing": True}}, load=FAILING_LOAD)
        self.assertIn("side-1", self.nodes(False))

    def test_when_most_targets_fail_none_is_left_out(self):
        changes = {number: {"failing": True} for number in range(1, 5)}
        self.start(range(1, 7), changes=changes)
        self.assertEqual(len(self.nodes(False)), 6)
