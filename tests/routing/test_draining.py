"""A target gets no new flow once its agent has acknowledged that it drains."""

import unittest

import msgspec

from ryesaddle.internal.target.report import TargetReport
from tests.support.passthrough import OTHER_SERVICE, SERVICE, PacketSimulation, Target


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
