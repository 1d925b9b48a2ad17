import asyncio
import json
import random
import re
import signal
import unittest

from ryesaddle.cli.passthrough_operator import PassthroughOperator
from ryesaddle.cli.report import flow_lines
from ryesaddle.daemons.passthrough.entry import list_entries
from ryesaddle.daemons.passthrough.heartbeat_handler import RECORD_TIMEOUT_S
from ryesaddle.daemons.passthrough.peers import BalancerEntry
from ryesaddle.daemons.passthrough.process import BALANCER_KIND, TARGET_KIND
from ryesaddle.internal.membership.readiness_gate import ACK_TIMEOUT_S
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.store.era import ERA_SETTLE_S
from ryesaddle.platform.objects import PlatformObjects
from tests.support.packets import ACK, SYN
from tests.support.platform_deployment import (
    SERVICE_ADDRESSES,
    WAIT_TIMEOUT_S,
    PlatformDeployment,
    Target,
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

    async def test_a_reused_port_opens_no_flow_at_a_draining_target(self):
        deployment = self.deployment
        host, port = deployment.balancer_hosts[0], None
        draining_target, _ = deployment.targets
        while not draining_target.opened:
            port = await deployment.open_flow(host)
            await deployment.request(host, port, b"hello")
        draining_target.state = "draining"
        seen = draining_target.acknowledged
        await deployment.wait_until(lambda: draining_target.acknowledged > seen + 1)
        draining_target.flows.clear()
        before = len(draining_target.opened)
        deployment.caller.received.pop(port)
        deployment.caller.send(
            deployment.at(host, "callers"),
            port,
            SYN,
            SERVICE_ADDRESSES["case-desk"],
            seq=90_000,
        )
        await deployment.wait_until(lambda: deployment.caller.is_open(port))
        self.assertEqual(len(draining_target.opened), before)

    async def test_draining_holds_if_the_agent_is_killed_once_it_has_acknowledged(self):
        # The store refuses calls and later has an entry that says ready. Only the
        # balancers know of the draining.
        deployment = self.deployment
        draining_target, ready_target = deployment.targets
        host = deployment.agent_hosts[0]
        await deployment.wait_until(
            lambda: "event=entry-written" in deployment.log(host)
        )
        await deployment.store_call("PUT", "/faults", {"down": True})
        # A heartbeat that was sent earlier may still be acknowledged.
        await asyncio.sleep(0.3)
        draining_target.state = "draining"
        await deployment.wait_until(lambda: draining_target.drain_acknowledged)
        deployment.kill(host)
        draining_target.state = "silent"
        await deployment.store_call("PUT", "/faults", {})
        before = len(draining_target.opened)
        deployment.start_process(host)
        await deployment.wait_until(lambda: self.is_restored(host))
        await asyncio.sleep(ACK_TIMEOUT_S)
        for number in range(12):
            await deployment.open_flow(deployment.balancer_hosts[number % 2])
        self.assertEqual(len(draining_target.opened), before)
        self.assertGreaterEqual(len(ready_target.opened), 12)

    async def test_draining_is_acknowledged_only_once_it_is_recorded(self):
        deployment = self.deployment
        draining_target, host = deployment.targets[0], deployment.agent_hosts[0]
        await deployment.wait_until(
            lambda: "event=entry-written" in deployment.log(host)
        )
        await deployment.store_call("PUT", "/faults", {"down": True})
        for balancer in deployment.balancer_hosts:
            deployment.kill(balancer)
        draining_target.state = "draining"
        await asyncio.sleep(2 * RECORD_TIMEOUT_S)
        self.assertFalse(draining_target.drain_acknowledged)
        await deployment.store_call("PUT", "/faults", {})
        await deployment.wait_until(lambda: draining_target.drain_acknowledged)
        api = PlatformObjects(lambda: deployment.store)
        stored = await StoreClient(api, random.Random(1)).get(TARGET_KIND, host)
        self.assertTrue(stored.spec["draining"])

    async def test_a_report_of_another_writer_reopens_no_draining_target(self):
        """Guards against new flows at a target whose draining was acknowledged."""
        deployment = self.deployment
        draining_target, host = deployment.targets[0], deployment.agent_hosts[0]
        draining_target.state = "draining"
        await deployment.wait_until(lambda: draining_target.drain_acknowledged)
        foreign = {**draining_target.report(), "state": "ready", "seq": 10**6}
        other = Target("i-other", "case-desk", *draining_target.addresses)
        for name in foreign:
            incomplete = {key: foreign[key] for key in foreign if key != name}
            mistyped = {**foreign, name: None}
            for body in (incomplete, mistyped):
                for writer in (draining_target, other):
                    is_accepted = await writer.post_heartbeat(json.dumps(body).encode())
                    self.assertFalse(is_accepted, body)
        found = await deployment.status(host)
        self.assertEqual(found["target"], draining_target.name)
        self.assertTrue(found["draining"])
        self.assertFalse(found["open"])

    async def is_restored(self, host):
        found = await self.deployment.status(host)
        return found is not None and found["target"] != ""

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

    async def test_requests_on_flows_accepted_just_before_a_stop_are_answered(self):
        """An agent and a balancer stop; callers send their requests after that."""
        deployment = self.deployment
        balancer, agent = deployment.balancer_hosts[0], deployment.agent_hosts[0]
        for target in deployment.targets:
            target.answer_delay_s = 0.5
        ports = [deployment.caller.new_port() for _ in range(12)]
        to = deployment.at(balancer, "callers")
        for port in ports:
            deployment.caller.send(to, port, SYN, SERVICE_ADDRESSES["case-desk"])
        await deployment.wait_until(
            lambda: all(deployment.caller.is_open(port) for port in ports)
        )
        for host in (agent, balancer):
            deployment.kill(host, signal.SIGTERM)
        await asyncio.sleep(0.2)
        await asyncio.gather(
            *(deployment.request(balancer, port, b"%d;" % port) for port in ports)
        )
        self.assertTrue(deployment.targets[0].answered)
        self.assertFalse(any(deployment.caller.is_reset(port) for port in ports))
        for host in (agent, balancer):
            process = deployment.processes[host]
            await deployment.wait_until(lambda process=process: process.poll() == 0)

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

    async def test_processes_register_again_when_the_store_goes_back(self):
        deployment = self.deployment
        newer = configuration(5)
        await deployment.store_call("PUT", "/put/config/main", newer)
        for host in deployment.balancer_hosts:
            await deployment.wait_until(
                lambda host=host: self.has_configuration(host, 5)
            )
        client = StoreClient(
            PlatformObjects(lambda: deployment.store), random.Random(1)
        )
        await deployment.set_back_store(WAIT_TIMEOUT_S)
        for kind in (BALANCER_KIND, TARGET_KIND):
            await deployment.wait_until(lambda kind=kind: self.holds_two(client, kind))
        for host in deployment.balancer_hosts:
            await deployment.wait_until(lambda host=host: self.is_complete(host, 2))
            self.assertTrue(await self.has_configuration(host, 5))
            delay_s = await self.completion_s(host, "store-era")
            # Clock readings of the log are rounded to milliseconds.
            self.assertGreaterEqual(delay_s, ERA_SETTLE_S - 0.01)
        # The store tells a restarted balancer that others have seen the era for long.
        await deployment.wait_until(lambda: self.is_settled(client, 2))
        for host in deployment.balancer_hosts:
            deployment.kill(host)
        for host in deployment.balancer_hosts:
            logged = len(deployment.log(host))
            deployment.start_process(host)
            delay_s = await self.completion_s(host, "started", logged)
            self.assertLess(delay_s, ERA_SETTLE_S)

    async def test_a_balancer_that_starts_after_the_store_went_back_resets_no_flow(
        self,
    ):
        # Its first list lacks the agent that holds the flow, since the store has lost
        # the entry and the agent does not run for a second.
        deployment = self.deployment
        host, port = deployment.balancer_hosts[0], None
        while port is None or deployment.targets[0].flows == set():
            port = await deployment.open_flow(host)
        for balancer_host in deployment.balancer_hosts:
            deployment.kill(balancer_host)
        deployment.kill(deployment.agent_hosts[0], signal.SIGSTOP)
        await deployment.set_back_store(WAIT_TIMEOUT_S)
        await deployment.store_call("PUT", "/put/config/main", configuration())
        deployment.start_process(host)
        await deployment.wait_until(lambda: self.has_configuration(host, 1))
        to = deployment.at(host, "callers")
        for _ in range(10):
            deployment.caller.send(
                to, port, ACK, SERVICE_ADDRESSES["case-desk"], b"x", 9, 901
            )
            await asyncio.sleep(0.1)
        self.assertFalse(deployment.caller.is_reset(port))
        self.assertFalse(await self.is_complete(host, 2))
        deployment.kill(deployment.agent_hosts[0], signal.SIGCONT)
        await deployment.request(host, port, b"later")
        self.assertFalse(deployment.caller.is_reset(port))

    async def holds_two(self, client, kind):
        items, _ = await client.list(kind)
        return len(items) == 2

    async def is_settled(self, client, era):
        found = await list_entries(client, BALANCER_KIND, BalancerEntry)
        return all(entry.settled_era == era for entry in found.values())

    async def completion_s(self, host, cause, logged=0):
        """Return the time from an event until the balancer knew all agents.

        The first ``logged`` characters of the log are skipped.
        """
        pattern = re.compile(rf"at=(\S+) .*event=({cause}|agents-complete)")

        def logged_events():
            found = pattern.findall(self.deployment.log(host)[logged:])[-2:]
            return found if [n for _, n in found] == [cause, "agents-complete"] else ()

        await self.deployment.wait_until(logged_events)
        (started, _), (completed, _) = logged_events()
        return float(completed) - float(started)

    async def is_complete(self, host, era):
        found = await self.deployment.status(host)
        return found is not None and found["complete"] and found["store_era"] == era

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
