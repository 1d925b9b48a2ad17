import asyncio
import hashlib
import signal

from tests.support.caller import FlowRefusedError, StreamAbortedError
from tests.support.process_case import ProcessCase
from tests.support.target import pack

PACK = 4 * 1_048_576


class FlowProcessTest(ProcessCase):
    async def download(self, caller, size=PACK):
        reply = await caller.request("GET", f"/pack?bytes={size}", timeout_s=120)
        self.assertEqual(reply.status, 200)
        return hashlib.sha256(reply.body).digest()

    async def test_a_download_stays_whole_when_a_balancer_is_killed(self):
        async with self.deployment.open_flow("case-desk") as caller:
            task = await self.start_task(self.download(caller))
            self.deployment.kill("balancer-0")
            self.assertEqual(await task, hashlib.sha256(pack(PACK)).digest())

    async def test_a_planned_stop_cuts_no_request_in_progress(self):
        async with self.deployment.open_flow("case-desk") as caller:
            slow = asyncio.ensure_future(caller.request("GET", "/slow/3"))
            agent = await self.agent_with_running_request()
            self.deployment.signal(agent, signal.SIGTERM)
            reply = await slow
        self.assertEqual((reply.status, reply.outcome), (200, "ran"))
        self.assertEqual(self.deployment.processes.pop(agent).wait(30), 0)

    async def test_a_stopped_balancer_exits_with_code_0(self):
        self.deployment.signal("balancer-0", signal.SIGTERM)
        process = self.deployment.processes.pop("balancer-0")
        self.assertEqual(await asyncio.to_thread(process.wait, 30), 0)

    async def test_a_flow_of_a_killed_agent_is_refused_not_left_hanging(self):
        async with self.deployment.open_flow("case-desk") as caller:
            slow = asyncio.ensure_future(caller.request("GET", "/slow/25"))
            agent = await self.agent_with_running_request()
            self.deployment.kill(agent)
            with self.assertRaises(FlowRefusedError) as caught:
                while not slow.done():
                    caller._quic.send_ping(1)
                    caller.transmit()
                    await asyncio.sleep(0.2)
                await slow
        self.assertEqual(str(caught.exception), "stateless reset")

    async def test_a_cut_answer_is_an_error_and_the_flow_stays_usable(self):
        async with self.deployment.open_flow("case-desk") as caller:
            with self.assertRaises(StreamAbortedError):
                await caller.request("GET", "/cut", [("x-request-id", "cut")])
            reply = await caller.request("GET", "/status/2")
            self.assertEqual(reply.status, 200)
        trace = await self.deployment.trace("cut")
        self.assertEqual([e.outcome for e in trace.entries], ["unknown"])

    async def test_a_cancelled_request_does_not_cross_the_next_answer(self):
        async with self.deployment.open_flow("case-desk") as caller:
            for number in range(5):
                caller.cancel(caller.send("GET", "/slow/0.2"))
                reply = await caller.request("GET", f"/status/{number}")
                self.assertIn(f'"case": "{number}"'.encode(), reply.body)

    async def test_a_body_that_is_too_large_is_refused_and_not_run(self):
        async with self.deployment.open_flow("case-desk") as caller:
            headers = [("x-request-id", "large")]
            reply = await caller.request("POST", "/reply", headers, bytes(3 * 2**20))
            self.assertEqual((reply.status, reply.outcome), (413, "not-run"))
            reply = await caller.request("GET", "/status/3")
            self.assertEqual(reply.status, 200)
        executed = {item["request_id"] for item in await self.deployment.executed()}
        self.assertNotIn("large", executed)

    async def test_a_request_past_its_deadline_is_answered_as_unknown(self):
        async with self.deployment.open_flow("case-desk") as caller:
            headers = [("x-request-timeout", "0.5"), ("x-request-id", "late")]
            reply = await caller.request("GET", "/slow/20", headers)
        self.assertEqual((reply.status, reply.outcome), (504, "unknown"))


class DrainProcessTest(ProcessCase):
    async def test_a_drained_target_gets_no_new_work_and_finishes_its_own(self):
        async with self.deployment.open_flow("case-desk") as caller:
            slow = asyncio.ensure_future(caller.request("GET", "/slow/3"))
            agent = await self.agent_with_running_request()
            target = agent.removeprefix("agent-")
            self.deployment.write_file(
                "90-drain.json", {"kind": "drain", "target": target}
            )
            await self.deployment.apply()

            async def is_draining():
                return (await self.deployment.status())[agent]["draining"]

            await self.deployment.wait_until(is_draining, "the drain in force")
            for _ in range(12):
                reply = await self.status_check()
                self.assertEqual(reply.status, 200)
                self.assertNotIn(f'"{target}"'.encode(), reply.body)
            for number in range(3):
                reply = await caller.request("GET", f"/status/{number}")
                self.assertEqual((reply.status, reply.outcome), (200, "ran"))
                self.assertNotIn(f'"{target}"'.encode(), reply.body)
            reply = await caller.request(
                "POST", "/reply?seconds=3", [("x-request-timeout", "0.5")], b"late"
            )
            self.assertEqual((reply.status, reply.outcome), (504, "unknown"))
            headers = [("idempotency-key", '"relayed"')]
            for _ in range(2):
                reply = await caller.request("POST", "/reply", headers, b"hardship")
                self.assertEqual((reply.status, reply.outcome), (201, "ran"))
            self.assertEqual(await self.executions("relayed"), 1)
            self.assertEqual((await slow).status, 200)
