"""Processes of an earlier version beside those of this one."""

import asyncio
import itertools
import signal
import tempfile
import unittest
from pathlib import Path

from ryesaddle.daemons.passthrough.entry_cleaner import CLEANUP_INTERVAL_S
from ryesaddle.internal.membership.stale_entries import STALE_AFTER_S
from ryesaddle.internal.routing.rendezvous import rank_names
from soak.deployment import ProxiedDeployment
from tests.support.earlier_version import extract_version
from tests.support.packets import RST, flags_of

EARLIER_VERSION = "2d0866d"
FLOWS = 12
REQUEST_INTERVAL_S = 0.1


class UpgradeCase(unittest.IsolatedAsyncioTestCase):
    """Guards against messages and entries that one version does not understand."""

    balancers, agents = 3, 3

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.earlier = extract_version(EARLIER_VERSION, Path(folder.name))
        services = ("case-desk",) * self.agents
        self.deployment = ProxiedDeployment(self.balancers, services)
        self.addAsyncCleanup(self.deployment.stop)

    async def is_complete(self, host):
        found = await self.deployment.status(host)
        return found is not None and found["complete"]

    async def is_serving(self, host):
        """Return whether a process is up, and knows and is known to the others."""
        found = await self.deployment.status(host)
        if found is None:
            return False
        if host in self.deployment.agent_hosts:
            return found["open"]
        known = found["agents"], found["open_agents"], found["balancers"]
        return found["complete"] and known == (self.agents, self.agents, self.balancers)

    async def replace(self, host, sources):
        """Stop a process as the platform does, and start another version of it."""
        deployment = self.deployment
        process = deployment.processes[host]
        deployment.kill(host, signal.SIGTERM)
        await deployment.wait_until(lambda: process.poll() is not None)
        if sources is None:
            deployment.sources.pop(host, None)
        else:
            deployment.sources[host] = sources
        deployment.start_process(host)
        await deployment.wait_until(lambda: self.is_serving(host))


class RollingUpgradeTest(UpgradeCase):
    async def replace_all_under_load(self, hosts, before, after):
        """Replace all processes in turn; check that no flow is reset or unanswered."""
        deployment = self.deployment
        deployment.sources = dict.fromkeys(hosts, before) if before else {}
        await deployment.start()
        self.serving = list(deployment.balancer_hosts)
        ports = [
            await deployment.open_flow(edge)
            for edge, _ in zip(itertools.cycle(self.serving), range(FLOWS))
        ]
        self.answered, self.opened = dict.fromkeys(ports, 0), 0
        load = [asyncio.ensure_future(self.send_requests(port)) for port in ports]
        load.append(asyncio.ensure_future(self.open_flows()))
        try:
            for host in hosts:
                is_edge = host in deployment.balancer_hosts
                if is_edge:
                    self.serving.remove(host)
                    await asyncio.sleep(2 * REQUEST_INTERVAL_S)
                await self.replace(host, after)
                if is_edge:
                    self.serving.append(host)
                await self.all_are_answered_again()
        finally:
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
        failed = [t.exception() for t in load if not t.cancelled()]
        self.assertEqual([exc for exc in failed if exc], [])
        resets = [
            port
            for port, packets in deployment.caller.received.items()
            if any(flags_of(data) & RST for data in packets)
        ]
        self.assertEqual(resets, [])
        self.assertGreater(self.opened, len(hosts))

    async def all_are_answered_again(self):
        """Wait until a further request on each open flow was answered."""
        before = dict(self.answered)
        await self.deployment.wait_until(
            lambda: all(self.answered[port] > count for port, count in before.items())
        )

    async def send_requests(self, port):
        """Send requests on an open flow, through a changing balancer."""
        for number in itertools.count():
            edge = self.serving[number % len(self.serving)]
            await self.deployment.request(edge, port, f"r{number}".encode())
            self.answered[port] += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def open_flows(self):
        for number in itertools.count():
            edge = self.serving[number % len(self.serving)]
            port = await self.deployment.open_flow(edge)
            await self.deployment.request(edge, port, b"once")
            self.opened += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def test_open_flows_outlive_an_upgrade_with_balancers_first(self):
        hosts = self.deployment.balancer_hosts + self.deployment.agent_hosts
        await self.replace_all_under_load(hosts, self.earlier, None)

    async def test_open_flows_outlive_an_upgrade_with_agents_first(self):
        hosts = self.deployment.agent_hosts + self.deployment.balancer_hosts
        await self.replace_all_under_load(hosts, self.earlier, None)

    async def test_open_flows_outlive_the_return_to_the_earlier_version(self):
        hosts = self.deployment.balancer_hosts + self.deployment.agent_hosts
        await self.replace_all_under_load(hosts, None, self.earlier)


class MixedVersionsTest(UpgradeCase):
    balancers, agents = 2, 2

    async def test_an_entry_is_kept_if_a_balancer_of_the_earlier_version_hears_it(self):
        """Guards against a consultation that an earlier version does not answer."""
        deployment = self.deployment
        first, other = rank_names(b"reaper", deployment.balancer_hosts)
        deployment.sources = {other: self.earlier}
        await deployment.start()
        for edge in deployment.balancer_hosts:
            await deployment.wait_until(lambda edge=edge: self.is_complete(edge))
        host = deployment.agent_hosts[0]
        deployment.cut_link(first, host, True)
        await asyncio.sleep(STALE_AFTER_S + 2 * CLEANUP_INTERVAL_S + 2.0)
        log = deployment.log(first)
        self.assertIn(f"event=entry-kept kind=ryesaddle-targets name={host}", log)
        self.assertNotIn("event=entry-removed", log)
        self.assertNotIn("event=state-not-fetched", log)
