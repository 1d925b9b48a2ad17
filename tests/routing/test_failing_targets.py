import unittest

from ryesaddle.internal.address import Address
from tests.support.passthrough import ACK, SERVICE, SYN, PacketSimulation, Target

BALANCERS = (1, 2)


class FailingTargetTest(unittest.TestCase):
    """Balancers must learn of a failing target, and of its return."""

    def setUp(self):
        self.world = PacketSimulation()
        for number in BALANCERS:
            self.world.start_balancer(number)
        for number in range(1, 6):
            target = Target(f"i-{number}", SERVICE)
            target.answers_requests = True
            self.world.start_agent(number, target=target)
            self.world.heartbeat(number)
        self.failing = self.world.agents[1][1]
        self.callers = 0

    def count_requests(self, seconds):
        """Let callers send requests; return how many the failing target has got."""
        before = self.failing.requests
        for _ in range(round(seconds / 0.1)):
            for balancer in BALANCERS:
                self.callers += 1
                caller = Address("100.64.0.7", 1_000 + self.callers)
                self.world.send(balancer, caller, SYN)
                self.world.send(balancer, caller, ACK, data=b"request")
            self.world.pass_time(0.1)
            for number in self.world.agents:
                self.world.heartbeat(number)
        return self.failing.requests - before

    def test_a_failing_target_gets_probes_only_and_returns_when_it_is_well(self):
        usual = self.count_requests(3.0)
        self.failing.fails = True
        self.count_requests(3.0)
        self.assertLess(self.count_requests(3.0), 0.2 * usual)
        self.failing.fails = False
        self.count_requests(12.0)
        self.assertGreater(self.count_requests(3.0), 0.5 * usual)
