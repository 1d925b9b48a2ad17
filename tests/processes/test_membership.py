"""Processes that find each other again after a cut."""

import asyncio
import unittest

from ryesaddle.daemons.passthrough.peers import PEER_EXPIRY_S
from ryesaddle.internal.membership.report_schedule import BALANCER_EXPIRY_S
from soak.deployment import ProxiedDeployment

LATE_AGENT = "127.0.11.4"
SETTLE_S = 3.0  # less than the time after which a machine counts as undisturbed


class CutOffBalancerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        services = ("case-desk",) * 4
        self.deployment = ProxiedDeployment(3, services, late_hosts=(LATE_AGENT,))
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def open_at(self, balancer, target):
        """Open flows through a balancer until one is at a target; return its port."""
        deployment = self.deployment
        while True:
            port = await deployment.open_flow(balancer)
            await deployment.request(balancer, port, b"first")
            if any(caller[1] == port for caller, _ in target.opened):
                return port

    async def is_complete(self, host):
        found = await self.deployment.status(host)
        return found is not None and found["complete"]

    async def test_a_balancer_resets_no_flow_of_an_agent_that_joined_during_a_cut(self):
        """Guards against a list of agents that counts as complete after a cut."""
        deployment = self.deployment
        edge, _, cut_edge = deployment.balancer_hosts
        await deployment.wait_until(lambda: self.is_complete(cut_edge))
        deployment.isolate(cut_edge, True)
        await asyncio.sleep(0.5)
        await deployment.start_late(LATE_AGENT)
        # By then all others have given the balancer up.
        await asyncio.sleep(max(PEER_EXPIRY_S, BALANCER_EXPIRY_S) + 1.5)
        target = deployment.target_of(LATE_AGENT)
        ports = [await self.open_at(edge, target) for _ in range(3)]
        deployment.isolate(cut_edge, False)
        # At once, and after the cut.
        for port, data in zip(ports, (b"second", b"third", b"fourth")):
            answer = await deployment.request(cut_edge, port, data)
            self.assertEqual(answer, f"{target.name}:".encode() + data)
            self.assertFalse(deployment.caller.is_reset(port))
            await asyncio.sleep(SETTLE_S / 2)
        for host in deployment.balancer_hosts:
            found = await deployment.status(host)
            self.assertEqual((found["agents"], found["balancers"]), (4, 3), host)
            self.assertTrue(found["complete"], host)
