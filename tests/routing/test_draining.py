"""A target gets no new flow once its agent has acknowledged that it drains."""

import unittest

import msgspec

from ryesaddle.daemons.passthrough.heartbeat_handler import RECORD_TIMEOUT_S
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.readiness_gate import ACK_TIMEOUT_S
from ryesaddle.internal.target.report import TargetReport
from tests.support.passthrough import (
    OTHER_SERVICE,
    SERVICE,
    SYN,
    PacketSimulation,
    Target,
)


class IgnoredHeartbeatTest(unittest.TestCase):
    """Guards against a heartbeat that is acknowledged although it closes nothing."""

    def setUp(self):
        self.world = PacketSimulation()
        self.world.start_balancer(1)
        self.world.start_agent(1, SERVICE, Target("i-1", SERVICE))
        self.heartbeats = self.world.heartbeats[1]
        self.status(self.report(10))

    def report(self, sequence, target="i-1", **changes):
        fields = {"started_at": 2_000, "slots": 2, **changes}
        return TargetReport(target, fields.pop("service", SERVICE), sequence, **fields)

    def status(self, report):
        return self.heartbeats.handle_heartbeat(report).status

    def test_draining_is_not_acknowledged_while_the_target_stays_open(self):
        ignored = {
            "late": self.report(9),
            "earlier start": self.report(11, started_at=1_000),
            "earlier start of another target": self.report(11, "i-0", started_at=1_000),
            "other service": self.report(11, service=OTHER_SERVICE),
        }
        for name, report in ignored.items():
            draining = msgspec.structs.replace(report, draining=True)
            self.assertEqual(self.status(draining), 409, name)
            self.assertEqual(self.status(report), 200, name)
        self.assertTrue(self.world.agents[1][0]._target_state.is_open())

    def test_draining_of_an_ended_target_is_not_acknowledged(self):
        self.heartbeats.handle_goodbye("i-1")
        self.assertEqual(self.status(self.report(11, draining=True)), 409)


class RecordCase(unittest.TestCase):
    balancers = (1, 2)

    def setUp(self):
        self.world = PacketSimulation()
        for number in self.balancers:
            self.world.start_balancer(number)
        for number in (1, 2):
            self.world.start_agent(number, SERVICE, Target(f"i-{number}", SERVICE))
            self.world.heartbeat(number)
        self.world.pass_time(1.0)
        self.target = self.world.agents[1][1]

    def cut(self, *balancers):
        """Lose all messages between the agents and these balancers."""
        hosts = {f"10.0.1.{number}" for number in balancers}
        self.world.is_lost = lambda source, to: (
            not hosts.isdisjoint((source.host, to.host))
        )

    def drain(self):
        """Send a heartbeat that says draining; return the status, None if it waits."""
        self.target.draining = True
        answer = self.world.heartbeat(1)
        return answer.result() if answer.done() else None

    def restart_agent(self):
        self.world.start_agent(1, SERVICE, self.target)

    def open_flows(self):
        """Open flows through all balancers; return how many reached the target."""
        before = len(self.target.flows)
        for port in range(10_000, 10_030):
            for number in self.balancers:
                self.world.send(number, Address("100.64.0.7", port), SYN)
        return len(self.target.flows) - before


class RecordTest(RecordCase):
    """An acknowledgement waits until the draining is recorded outside the agent."""

    def test_the_entry_in_the_store_or_two_balancers_suffice(self):
        self.cut(1, 2)
        self.assertEqual(self.drain(), 200)
        self.setUp()
        self.world.store_is_down = True
        self.assertEqual(self.drain(), 200)

    def test_one_of_two_balancers_does_not_suffice(self):
        self.world.store_is_down = True
        self.cut(2)
        self.target.draining = True
        answer = self.world.heartbeat(1)
        self.world.pass_time(RECORD_TIMEOUT_S - 0.1)
        self.assertFalse(answer.done())
        self.world.pass_time(0.1)
        self.assertEqual(answer.result(0), 503)
        self.cut()
        answer = self.world.heartbeat(1)
        self.world.pass_time(0.2)
        self.assertEqual(answer.result(0), 200)

    def test_a_lost_report_is_sent_again_within_the_time_for_the_answer(self):
        self.world.store_is_down = True
        self.cut(1, 2)
        self.target.draining = True
        answer = self.world.heartbeat(1)
        self.cut()
        self.world.pass_time(0.3)
        self.assertEqual(answer.result(0), 200)

    def test_an_unacknowledged_target_gets_no_new_flow_either(self):
        self.world.store_is_down = True
        self.cut(2)
        self.assertIsNone(self.drain())
        self.cut()
        self.assertEqual(self.open_flows(), 0)

    def test_an_earlier_drain_of_the_same_target_is_no_record(self):
        self.drain()
        self.target.draining = False
        self.world.heartbeat(1)
        self.world.store_is_down = True
        self.cut(2)
        self.assertIsNone(self.drain())


class OneBalancerTest(RecordCase):
    balancers = (1,)

    def test_the_only_balancer_suffices(self):
        self.world.store_is_down = True
        self.assertEqual(self.drain(), 200)

    def test_an_agent_without_balancers_waits_for_the_store(self):
        self.world.store_is_down = True
        self.world.reporters[1]._schedule.remove_expired(self.world.now + 60.0)
        self.assertIsNone(self.drain())


class KilledAgentTest(RecordCase):
    """An agent is killed right after its acknowledgement; its target stays silent."""

    def acknowledge_without_store(self):
        self.world.store_is_down = True
        self.assertEqual(self.drain(), 200)
        self.world.store_is_down = False

    def test_the_next_agent_takes_no_flow_although_the_store_says_ready(self):
        for unreachable in (1, 2):
            self.setUp()
            self.acknowledge_without_store()
            self.cut(unreachable)
            self.restart_agent()
            self.assertEqual(self.open_flows(), 0)
            self.world.pass_time(ACK_TIMEOUT_S)
            self.cut()
            self.assertEqual(self.open_flows(), 0)

    def test_an_agent_without_the_store_takes_no_flow_before_it_hears_its_target(self):
        self.acknowledge_without_store()
        self.world.store_is_down = True
        self.cut(1, 2)
        self.restart_agent()
        self.world.pass_time(ACK_TIMEOUT_S)
        self.cut()
        self.assertEqual(self.open_flows(), 0)

    def test_a_lost_acknowledgement_does_not_lose_the_record(self):
        # The first report of the next agent does not name the target. It must not
        # replace what the balancers know.
        self.acknowledge_without_store()
        self.world.is_lost = lambda source, to: source.host.startswith("10.0.1.")
        self.restart_agent()
        self.cut()
        self.world.report(1)
        self.assertEqual(self.open_flows(), 0)

    def test_the_next_agent_writes_the_entry_that_the_store_lacks(self):
        self.acknowledge_without_store()
        self.restart_agent()
        self.assertTrue(self.world.entries["side-1"].draining)


class RestartedAgentTest(RecordCase):
    """A restarted agent is closed no longer than necessary."""

    def is_open(self):
        return self.world.agents[1][0]._router.is_open(self.world.now)

    def test_it_opens_once_all_balancers_have_answered(self):
        self.restart_agent()
        self.assertTrue(self.is_open())

    def test_it_waits_for_a_balancer_that_is_gone_for_a_limited_time(self):
        self.cut(2)
        self.restart_agent()
        self.world.pass_time(ACK_TIMEOUT_S - 0.1)
        self.world.report(1)
        self.assertFalse(self.is_open())
        self.world.pass_time(0.1)
        self.world.report(1)
        self.assertTrue(self.is_open())

    def test_it_opens_at_once_when_it_hears_its_target(self):
        # After a power loss of all hosts, balancers may answer late.
        self.cut(1, 2)
        self.restart_agent()
        self.assertFalse(self.is_open())
        self.world.heartbeat(1)
        self.assertTrue(self.is_open())
