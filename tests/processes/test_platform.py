import asyncio
import random
import signal
import unittest

from ryesaddle.cli.passing_operator import PassingOperator
from ryesaddle.cli.report import flow_lines
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.platform.objects import PlatformObjects
from tests.support.packets import ACK, SYN
from tests.support.platform_deployment import (
    FRONTS,
    PlatformDeployment,
    configuration,
)


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    balancers = 2
    services = ("case-desk", "case-desk")

    async def asyncSetUp(self):
        self.world = PlatformDeployment(self.balancers, self.services)
        self.addAsyncCleanup(self.world.stop)
        await self.world.start()


class PathTest(PlatformCase):
    services = ("case-desk", "case-desk", "pack-archive")

    async def test_requests_reach_their_service_and_get_its_answer(self):
        world = self.world
        for service in FRONTS:
            port = await world.open_flow(world.edges[0], service)
            answer = await world.ask(world.edges[0], port, b"hello", service)
            name = answer.partition(b":")[0].decode()
            target = next(t for t in world.targets if t.name == name)
            self.assertEqual(target.service, service)

    async def test_a_flow_goes_on_through_another_balancer_when_one_is_killed(self):
        world = self.world
        port = await world.open_flow(world.edges[0])
        first = await world.ask(world.edges[0], port, b"one")
        world.kill(world.edges[0])
        second = await world.ask(world.edges[1], port, b"two")
        self.assertEqual(first.partition(b":")[0], second.partition(b":")[0])
        self.assertFalse(world.caller.is_reset(port))

    async def test_a_flow_outlives_the_restart_of_every_process(self):
        world = self.world
        port = await world.open_flow(world.edges[0])
        first = await world.ask(world.edges[0], port, b"one")
        for host in (*world.edges, *world.sides):
            world.kill(host)
        for host in (*world.edges, *world.sides):
            world.start_process(host)
        second = await world.ask(world.edges[1], port, b"two")
        self.assertEqual(first.partition(b":")[0], second.partition(b":")[0])
        self.assertFalse(world.caller.is_reset(port))

    async def test_a_flow_that_its_target_has_lost_is_reset(self):
        world = self.world
        port = await world.open_flow(world.edges[0])
        await world.ask(world.edges[0], port, b"one")
        for target in world.targets:
            target.flows.clear()

        def is_reset():
            to = world.at(world.edges[1], "callers")
            world.caller.send(to, port, ACK, FRONTS["case-desk"], b"x", 9, 901)
            return world.caller.is_reset(port)

        await world.until(is_reset)

    async def test_status_and_metrics_are_served(self):
        world = self.world
        port = await world.open_flow(world.edges[0])
        await world.ask(world.edges[0], port, b"hello")
        found = await world.status(world.edges[0])
        self.assertEqual((found["role"], found["agents"]), ("balancer", 3))
        self.assertGreater(found["counts"]["balancer.opened"], 0)
        self.assertGreater(found["counts"]["balancer.forwarded"], 0)
        for host in (world.edges[0], world.sides[0]):
            reply = await world.get(host, "/metrics", "metrics")
            self.assertIn(b"ryesaddle_", reply.body)
            self.assertIn(b"_seconds_bucket", reply.body)


class OperatorTest(PlatformCase):
    async def test_status_and_trace_ask_every_process(self):
        world = self.world
        host, port = world.edges[0], await world.open_flow(world.edges[0])
        await world.ask(host, port, b"hello")
        api = PlatformObjects(lambda: world.store)
        operator = PassingOperator(StoreClient(api, random.Random(1)))
        await world.until(lambda: self.all_registered(operator))
        found = await operator.status()
        self.assertEqual(set(found), {*world.edges, *world.sides})
        caller = f"{world.caller.address.host}:{port}"
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
        world = self.world
        leaving, staying = world.targets
        leaving.state = "draining"
        seen = leaving.acknowledged
        await world.until(lambda: leaving.acknowledged > seen + 1)
        await world.until(self.entry_drains)
        leaving.state = "silent"  # the agent must not need to hear of it again
        for host in (*world.edges, *world.sides):
            world.kill(host)
        before = len(leaving.opened)
        for host in (*world.edges, *world.sides):
            world.start_process(host)
        for _ in range(6):
            await world.open_flow(world.edges[0])
        self.assertEqual(len(leaving.opened), before)
        self.assertGreaterEqual(len(staying.opened), 6)

    async def entry_drains(self):
        found = await self.world.get(self.world.sides[0], "/status")
        log = self.world.log(self.world.sides[0])
        return found is not None and "'draining': True" in log


class StopTest(PlatformCase):
    async def test_a_stopping_balancer_is_not_ready_and_still_carries(self):
        world = self.world
        host = world.edges[0]
        port = await world.open_flow(host)
        self.assertEqual(
            (await world.get(host, "/ryesaddle/readyz", "ready")).status, 200
        )
        world.kill(host, signal.SIGTERM)

        async def is_not_ready():
            reply = await world.get(host, "/ryesaddle/readyz", "ready")
            return reply is not None and reply.status == 503

        await world.until(is_not_ready)
        await world.ask(host, port, b"while stopping")
        process = world.processes[host]
        await world.until(lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0)
        self.assertIn("event=stopped", world.log(host))

    async def test_a_stopping_agent_takes_no_new_flow_and_ends(self):
        world = self.world
        host = world.sides[0]
        world.kill(host, signal.SIGTERM)
        process = world.processes[host]
        await world.until(lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0)
        before = len(world.targets[0].opened)
        await world.open_flow(world.edges[0])
        self.assertEqual(len(world.targets[0].opened), before)

    async def test_a_hang_up_signal_ends_no_process(self):
        world = self.world
        for host in (world.edges[0], world.sides[0]):
            world.kill(host, signal.SIGHUP)
            await world.until(lambda host=host: "event=reloaded" in world.log(host))
            self.assertIsNone(world.processes[host].poll())


class StoreTest(PlatformCase):
    async def test_a_change_comes_into_force_and_never_goes_back(self):
        world = self.world
        port = await world.open_flow(world.edges[0])
        newer = configuration(5, ["pack-archive"])
        await world.store_call("PUT", "/put/config/main", newer)
        for host in world.edges:
            await world.until(lambda host=host: self.has(host, 5))
        await world.store_call("PUT", "/put/config/main", configuration(4))
        await asyncio.sleep(2.0)
        for host in world.edges:
            self.assertTrue(await self.has(host, 5))
        port = world.caller.new_port()
        to = world.at(world.edges[0], "callers")
        world.caller.send(to, port, SYN, FRONTS["case-desk"])
        await world.until(lambda: world.caller.is_reset(port))

    async def has(self, host, version):
        found = await self.world.status(host)
        return found is not None and found["configuration"] == version

    async def test_processes_that_start_during_an_outage_learn_from_others(self):
        world = self.world
        await world.store_call("PUT", "/faults", {"silent": True})
        for host in (world.edges[0], world.sides[0]):
            world.kill(host)
            world.start_process(host)
        await world.until(lambda: world.knows_all(world.edges[0]))
        for _ in range(4):
            await world.open_flow(world.edges[0])

    async def test_entries_are_back_after_an_outage_that_lost_them(self):
        world = self.world
        await world.store_call("PUT", "/faults", {"down": True})
        leaving = world.targets[0]
        leaving.state = "draining"
        seen = leaving.acknowledged
        await world.until(lambda: leaving.acknowledged > seen + 1)
        self.assertNotIn("'draining': True", world.log(world.sides[0]))
        await world.store_call("PUT", "/faults", {})
        await world.until(lambda: "'draining': True" in world.log(world.sides[0]))
