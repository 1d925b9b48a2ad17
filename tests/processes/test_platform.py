import asyncio
import random
import signal
import unittest

from ryesaddle.cli.passthrough_operator import PassthroughOperator
from ryesaddle.cli.report import flow_lines
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.platform.objects import PlatformObjects
from tests.support.packets import ACK, SYN
from tests.support.platform_deployment import (
    SERVICE_ADDRESSES,
    PlatformDeployment,
    configuration,
)


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    balancers = 2
    services = ("case-desk", "case-desk")

    async def asyncSetUp(self):
        self.deployment = PlatformDeployment(self.balancers, self.services)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()


class PathTest(PlatformCase):
    services = ("case-desk", "case-desk", "pack-archive")

    async def test_requests_reach_their_service_and_get_its_answer(self):
        deployment = self.deployment
        for service in SERVICE_ADDRESSES:
            port = await deployment.open_flow(deployment.balancer_hosts[0], service)
            answer = await deployment.request(
                deployment.balancer_hosts[0], port, b"hello", service
            )
            name = answer.partition(b":")[0].decode()
            target = next(t for t in deployment.targets if t.name == name)
            self.assertEqual(target.service, service)

    async def test_a_flow_goes_on_through_another_balancer_when_one_is_killed(self):
        deployment = self.deployment
        port = await deployment.open_flow(deployment.balancer_hosts[0])
        first = await deployment.request(deployment.balancer_hosts[0], port, b"one")
        deployment.kill(deployment.balancer_hosts[0])
        second = await deployment.request(deployment.balancer_hosts[1], port, b"two")
        self.assertEqual(first.partition(b":")[0], second.partition(b":")[0])
        self.assertFalse(deployment.caller.is_reset(port))

    async def test_a_flow_outlives_the_restart_of_every_process(self):
        deployment = self.deployment
        port = await deployment.open_flow(deployment.balancer_hosts[0])
        first = await deployment.request(deployment.balancer_hosts[0], port, b"one")
        for host in (*deployment.balancer_hosts, *deployment.agent_hosts):
            deployment.kill(host)
        for host in (*deployment.balancer_hosts, *deployment.agent_hosts):
            deployment.start_process(host)
        second = await deployment.request(deployment.balancer_hosts[1], port, b"two")
        self.assertEqual(first.partition(b":")[0], second.partition(b":")[0])
        self.assertFalse(deployment.caller.is_reset(port))

    async def test_a_flow_that_its_target_has_lost_is_reset(self):
        deployment = self.deployment
        port = await deployment.open_flow(deployment.balancer_hosts[0])
        await deployment.request(deployment.balancer_hosts[0], port, b"one")
        for target in deployment.targets:
            target.flows.clear()

        def is_reset():
            to = deployment.at(deployment.balancer_hosts[1], "callers")
            deployment.caller.send(
                to, port, ACK, SERVICE_ADDRESSES["case-desk"], b"x", 9, 901
            )
            return deployment.caller.is_reset(port)

        await deployment.wait_until(is_reset)

    async def test_lost_flows_are_reset_after_one_packet_of_each(self):
        """Guards against a search that needs further packets of the caller.

        The agents have restarted and cannot tell which flows their targets hold.
        """
        deployment = self.deployment
        for host in deployment.agent_hosts:
            deployment.kill(host)
            deployment.start_process(host)
        await deployment.open_flow(deployment.balancer_hosts[0])
        to = deployment.at(deployment.balancer_hosts[0], "callers")
        ports = [deployment.caller.new_port() for _ in range(20)]
        for port in ports:
            deployment.caller.send(
                to, port, ACK, SERVICE_ADDRESSES["case-desk"], b"x", 9, 901
            )
        await deployment.wait_until(
            lambda: all(deployment.caller.is_reset(port) for port in ports)
        )

    async def test_status_and_metrics_are_served(self):
        deployment = self.deployment
        port = await deployment.open_flow(deployment.balancer_hosts[0])
        await deployment.request(deployment.balancer_hosts[0], port, b"hello")
        found = await deployment.status(deployment.balancer_hosts[0])
        self.assertEqual((found["role"], found["agents"]), ("balancer", 3))
        self.assertGreater(found["counts"]["balancer.opened"], 0)
        self.assertGreater(found["counts"]["balancer.forwarded"], 0)
        for host in (deployment.balancer_hosts[0], deployment.agent_hosts[0]):
            reply = await deployment.get(host, "/metrics", "metrics")
            self.assertIn(b"ryesaddle_", reply.body)
            self.assertIn(b"_seconds_bucket", reply.body)


class OperatorTest(PlatformCase):
    async def test_status_and_trace_ask_every_process(self):
        deployment = self.deployment
        host, port = (
            deployment.balancer_hosts[0],
            await deployment.open_flow(deployment.balancer_hosts[0]),
        )
        await deployment.request(host, port, b"hello")
        api = PlatformObjects(lambda: deployment.store)
        operator = PassthroughOperator(StoreClient(api, random.Random(1)))
        await deployment.wait_until(lambda: self.all_registered(operator))
        found = await operator.status()
        self.assertEqual(
            set(found), {*deployment.balancer_hosts, *deployment.agent_hosts}
        )
        caller = f"{deployment.caller.address.host}:{port}"
        traced = await operator.trace(caller)
        holder = traced[host][0]["sent_to"]
        self.assertEqual(traced[holder][0]["answers_begun"], 1)
        lines = "\n".join(flow_lines(caller, traced))
        self.assertIn(f"{holder}: flow={caller}>", lines)
        self.assertIn("no process remembers", "\n".join(flow_lines("1.1.1.1:1", {})))

    async def all_registered(self, operator):
        found = await operator.status()
        return len(found) == 4 and None not in found.values()


class DrainTest(PlatformCase):
    async def test_draining_holds_through_a_kill_of_the_agent_and_of_all_others(self):
        deployment = self.deployment
        draining_target, ready_target = deployment.targets
        draining_target.state = "draining"
        seen = draining_target.acknowledged
        await deployment.wait_until(lambda: draining_target.acknowledged > seen + 1)
        await deployment.wait_until(self.draining_is_stored)
        # No heartbeat reports the draining any more: the restarted agent has to restore
        # it from the store.
        draining_target.state = "silent"
        for host in (*deployment.balancer_hosts, *deployment.agent_hosts):
            deployment.kill(host)
        before = len(draining_target.opened)
        for host in (*deployment.balancer_hosts, *deployment.agent_hosts):
            deployment.start_process(host)
        for _ in range(6):
            await deployment.open_flow(deployment.balancer_hosts[0])
        self.assertEqual(len(draining_target.opened), before)
        self.assertGreaterEqual(len(ready_target.opened), 6)

    async def draining_is_stored(self):
        found = await self.deployment.get(self.deployment.agent_hosts[0], "/status")
        log = self.deployment.log(self.deployment.agent_hosts[0])
        return found is not None and "'draining': True" in log


class StopTest(PlatformCase):
    async def test_a_stopping_balancer_is_not_ready_and_still_forwards(self):
        deployment = self.deployment
        host = deployment.balancer_hosts[0]
        port = await deployment.open_flow(host)
        self.assertEqual(
            (await deployment.get(host, "/ryesaddle/readyz", "ready")).status, 200
        )
        deployment.kill(host, signal.SIGTERM)

        async def is_not_ready():
            reply = await deployment.get(host, "/ryesaddle/readyz", "ready")
            return reply is not None and reply.status == 503

        await deployment.wait_until(is_not_ready)
        await deployment.request(host, port, b"while stopping")
        process = deployment.processes[host]
        await deployment.wait_until(lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0)
        self.assertIn("event=stopped", deployment.log(host))

    async def test_a_stopping_agent_takes_no_new_flow_and_ends(self):
        deployment = self.deployment
        host = deployment.agent_hosts[0]
        deployment.kill(host, signal.SIGTERM)
        process = deployment.processes[host]
        await deployment.wait_until(lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0)
        before = len(deployment.targets[0].opened)
        await deployment.open_flow(deployment.balancer_hosts[0])
        self.assertEqual(len(deployment.targets[0].opened), before)

    async def test_a_hang_up_signal_ends_no_process(self):
        deployment = self.deployment
        for host in (deployment.balancer_hosts[0], deployment.agent_hosts[0]):
            deployment.kill(host, signal.SIGHUP)
            await deployment.wait_until(
                lambda host=host: "event=reloaded" in deployment.log(host)
            )
            self.assertIsNone(deployment.processes[host].poll())


class StoreTest(PlatformCase):
    async def test_a_change_comes_into_force_and_never_goes_back(self):
        deployment = self.deployment
        port = await deployment.open_flow(deployment.balancer_hosts[0])
        newer = configuration(5, ["pack-archive"])
        await deployment.store_call("PUT", "/put/config/main", newer)
        for host in deployment.balancer_hosts:
            await deployment.wait_until(
                lambda host=host: self.has_configuration(host, 5)
            )
        await deployment.store_call("PUT", "/put/config/main", configuration(4))
        await asyncio.sleep(2.0)
        for host in deployment.balancer_hosts:
            self.assertTrue(await self.has_configuration(host, 5))
        port = deployment.caller.new_port()
        to = deployment.at(deployment.balancer_hosts[0], "callers")
        deployment.caller.send(to, port, SYN, SERVICE_ADDRESSES["case-desk"])
        await deployment.wait_until(lambda: deployment.caller.is_reset(port))

    async def has_configuration(self, host, version):
        found = await self.deployment.status(host)
        return found is not None and found["configuration"] == version

    async def test_processes_that_start_during_an_outage_learn_from_others(self):
        deployment = self.deployment
        await deployment.store_call("PUT", "/faults", {"silent": True})
        for host in (deployment.balancer_hosts[0], deployment.agent_hosts[0]):
            deployment.kill(host)
            deployment.start_process(host)
        await deployment.wait_until(
            lambda: deployment.is_ready(deployment.balancer_hosts[0])
        )
        for _ in range(4):
            await deployment.open_flow(deployment.balancer_hosts[0])

    async def test_entries_are_back_after_an_outage_that_lost_them(self):
        deployment = self.deployment
        await deployment.store_call("PUT", "/faults", {"down": True})
        draining_target = deployment.targets[0]
        draining_target.state = "draining"
        seen = draining_target.acknowledged
        await deployment.wait_until(lambda: draining_target.acknowledged > seen + 1)
        self.assertNotIn("'draining': True", deployment.log(deployment.agent_hosts[0]))
        await deployment.store_call("PUT", "/faults", {})
        await deployment.wait_until(
            lambda: "'draining': True" in deployment.log(deployment.agent_hosts[0])
        )
