"""Processes that find each other again after a cut."""

import asyncio
import random
import unittest

from ryesaddle.daemons.passthrough.entry_cleaner import CLEANUP_INTERVAL_S
from ryesaddle.daemons.passthrough.peers import PEER_EXPIRY_S
from ryesaddle.daemons.passthrough.process import TARGET_KIND
from ryesaddle.internal.membership.report_schedule import BALANCER_EXPIRY_S
from ryesaddle.internal.membership.stale_entries import STALE_AFTER_S
from ryesaddle.internal.routing.rendezvous import rank_names
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.platform.objects import PlatformObjects
from soak.deployment import ProxiedDeployment

LATE_AGENT, LATE_BALANCER = "127.0.11.4", "127.0.10.2"
SETTLE_S = 3.0  # less than the time after which a machine counts as undisturbed


class MembershipCase(unittest.IsolatedAsyncioTestCase):
    balancers, agents = 2, 2
    late_hosts = ()

    async def asyncSetUp(self):
        services = ("case-desk",) * self.agents
        self.deployment = ProxiedDeployment(
            self.balancers, services, late_hosts=self.late_hosts
        )
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

    async def all_are_complete(self):
        """Wait until all balancers take their lists of agents for complete."""
        for host in self.deployment.balancer_hosts:
            await self.deployment.wait_until(lambda host=host: self.is_complete(host))


class LostRequestTest(MembershipCase):
    late_hosts = (LATE_BALANCER,)

    async def test_an_agent_reports_to_a_balancer_that_joined_during_its_cut(self):
        """Guards against a balancer that never hears an agent, and forgets it."""
        deployment = self.deployment
        host = deployment.agent_hosts[0]
        # The agent has listed the balancers for the last time.
        await deployment.wait_until(
            lambda: self.is_complete(deployment.balancer_hosts[0])
        )
        deployment.isolate(host, True)
        await deployment.start_late(LATE_BALANCER)
        await deployment.wait_until(lambda: deployment.status(LATE_BALANCER))
        await asyncio.sleep(1.5)
        deployment.isolate(host, False)
        await asyncio.sleep(SETTLE_S)
        line = f"event=balancer-known balancer={LATE_BALANCER} "
        self.assertIn(line, deployment.log(host))


class PartialCutTest(MembershipCase):
    async def test_the_entry_of_an_agent_that_others_hear_is_kept(self):
        """Guards against the deletion of the entry of a live agent, and its flows."""
        deployment = self.deployment
        first, *others = rank_names(b"reaper", deployment.balancer_hosts)
        await self.all_are_complete()
        host = deployment.agent_hosts[0]
        deployment.cut_link(first, host, True)
        await asyncio.sleep(STALE_AFTER_S + 2 * CLEANUP_INTERVAL_S + 2.0)
        api = PlatformObjects(lambda: deployment.store)
        client = StoreClient(api, random.Random(1))
        self.assertIsNotNone(await client.get(TARGET_KIND, host))
        target = deployment.target_of(host)
        port = await self.open_at(others[0], target)
        deployment.cut_link(first, host, False)
        answer = await deployment.request(first, port, b"second")
        self.assertEqual(answer, f"{target.name}:second".encode())


class CutOffBalancerTest(MembershipCase):
    balancers, agents = 3, 4
    late_hosts = (LATE_AGENT,)

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
