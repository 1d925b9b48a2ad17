"""Evacuation of a data centre on real processes, while some of them are restarted."""

import asyncio
import unittest

from tests.support.packets import SYN
from tests.support.platform_deployment import (
    SERVICE_ADDRESSES,
    PlatformDeployment,
    configuration,
)

EVACUATE_S = 5.0  # time within which an evacuation must be in force
OBJECT = "/put/evacuations/dc"
WARM_UP_PER_S = 3
# What the platform tolerates in one second: half more, and five opening packets.
MAX_IN_ONE_SECOND = 1.5 * WARM_UP_PER_S + 5


class EvacuationProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Two targets in "dc", where the balancers are too, and one in "dc-2".
        self.deployment = PlatformDeployment(
            2, ("case-desk",) * 3, {"127.0.11.3": "dc-2"}
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def all_know(self, evacuated):
        """Wait until all balancers and the agents in ``dc`` know the evacuation."""
        deployment = self.deployment
        for host in deployment.balancer_hosts:
            await deployment.wait_until(lambda host=host: self.knows(host, evacuated))
        for host in deployment.agent_hosts[:2]:
            await deployment.wait_until(lambda host=host: self.is_open(host, evacuated))

    async def knows(self, host, evacuated):
        found = await self.deployment.status(host)
        return found is not None and found["evacuated"] == ["dc"] * evacuated

    async def is_open(self, host, evacuated):
        found = await self.deployment.status(host)
        return found is not None and found["open"] is not evacuated

    def opened(self):
        return [len(target.opened) for target in self.deployment.targets]

    async def open_flows(self):
        """Open flows through both balancers; return how many each target got."""
        before = self.opened()
        for _ in range(8):
            for host in self.deployment.balancer_hosts:
                await self.deployment.open_flow(host)
        return [after - count for after, count in zip(self.opened(), before)]

    async def restart(self, *hosts):
        for host in hosts:
            self.deployment.kill(host)
            self.deployment.start_process(host)

    async def test_evacuation_and_its_removal_while_processes_are_restarted(self):
        deployment = self.deployment
        balancer, agent = deployment.balancer_hosts[0], deployment.agent_hosts[0]
        kept = [await deployment.open_flow(balancer) for _ in range(4)]
        first = [await deployment.request(balancer, p, b"one") for p in kept]
        await deployment.store_call("PUT", OBJECT, {})
        await self.restart(balancer, agent)
        async with asyncio.timeout(EVACUATE_S):
            await self.all_know(True)
        counts = await self.open_flows()
        self.assertEqual(counts[:2], [0, 0])
        self.assertGreaterEqual(counts[2], 16)
        # Open flows stay with their targets, also through the restarted processes.
        for port, answer in zip(kept, first):
            second = await deployment.request(balancer, port, b"two")
            self.assertEqual(second.partition(b":")[0], answer.partition(b":")[0])
            self.assertFalse(deployment.caller.is_reset(port))
        # While the store is away, restarted processes learn of it from the others.
        await deployment.store_call("PUT", "/faults", {"silent": True})
        await self.restart(balancer, agent)
        await self.all_know(True)
        self.assertEqual((await self.open_flows())[:2], [0, 0])
        await deployment.store_call("PUT", "/faults", {})
        await self.restart(balancer, agent)
        await deployment.store_call("DELETE", OBJECT, {})
        async with asyncio.timeout(EVACUATE_S):
            await self.all_know(False)
        counts = await self.open_flows()
        self.assertGreater(counts[0] + counts[1], 0)

    async def test_a_new_flow_is_refused_if_no_other_data_centre_is_left(self):
        deployment = self.deployment
        await deployment.store_call("PUT", "/put/evacuations/dc-2", {})
        await deployment.store_call("PUT", OBJECT, {})
        for host in deployment.balancer_hosts:
            await deployment.wait_until(lambda host=host: self.knows_both(host))
        before, port = self.opened(), deployment.caller.new_port()
        to = deployment.at(deployment.balancer_hosts[1], "callers")
        deployment.caller.send(to, port, SYN, SERVICE_ADDRESSES["case-desk"])
        async with asyncio.timeout(1.0):
            await deployment.wait_until(lambda: deployment.caller.is_reset(port))
        self.assertEqual(self.opened(), before)

    async def knows_both(self, host):
        return (await self.deployment.status(host))["evacuated"] == ["dc", "dc-2"]


class WarmUpProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = PlatformDeployment(2, ("case-desk",) * 3)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def open_many(self):
        hosts = self.deployment.balancer_hosts
        await asyncio.gather(*(self.deployment.open_flow(h) for h in hosts * 30))

    async def test_a_cold_target_is_limited_also_over_a_restart_of_its_agent(self):
        deployment, target = self.deployment, self.deployment.targets[0]
        services = [{"name": "case-desk", "warmupPerS": WARM_UP_PER_S}]
        limited = {**configuration(2), "services": services}
        await deployment.store_call("PUT", "/put/config/main", limited)
        for host in deployment.balancer_hosts:
            await deployment.wait_until(lambda host=host: self.has_limit(host))
        # The agents learn the limit from an acknowledgement, once a second.
        await asyncio.sleep(1.5)
        target.warm_up_left_ms = 60_000
        seen = target.acknowledged
        await deployment.wait_until(lambda: target.acknowledged > seen + 1)
        await self.open_many()
        deployment.kill(deployment.agent_hosts[0])
        deployment.start_process(deployment.agent_hosts[0])
        await self.open_many()
        await asyncio.sleep(2.0)
        await self.open_many()
        self.assertGreater(len(target.opened_at), 0)
        for start in target.opened_at:
            count = sum(start <= at < start + 1.0 for at in target.opened_at)
            self.assertLessEqual(count, MAX_IN_ONE_SECOND)

    async def has_limit(self, host):
        return (await self.deployment.status(host))["configuration"] == 2
