import asyncio
import signal

from tests.support.process_case import ProcessCase


class SubmissionProcessTest(ProcessCase):
    work_s = 0.2

    async def test_repeats_on_several_flows_run_once_and_get_the_same_response(self):
        replies = await asyncio.gather(
            *(self.submit("case-7", f"seven-{n}") for n in range(6))
        )
        self.assertEqual(await self.executions("case-7"), 1)
        reasons = [r.headers.get("proxy-status") for r in replies]
        self.assertEqual(set(reasons), {None})
        bodies = {bytes(reply.body) for reply in replies}
        self.assertEqual({reply.status for reply in replies}, {201})
        self.assertEqual(len(bodies), 1)
        later = await self.submit("case-7", "seven-later")
        self.assertEqual(bytes(later.body), bodies.pop())
        other = await self.submit("case-7", "seven-other", seconds=0.1)
        self.assertEqual((other.status, other.outcome), (422, "not-run"))
        self.assertEqual(await self.executions("case-7"), 1)

    async def test_a_submission_runs_to_its_end_after_its_caller_left(self):
        headers = [("idempotency-key", '"case-6"'), ("x-request-id", "six-0")]
        async with self.deployment.open_flow("case-desk") as caller:
            caller.send("POST", "/reply?seconds=2", headers, b"hardship")
            await self.agent_with_running_request()
        reply = await self.submit("case-6", "six-1", seconds=2)
        self.assertEqual((reply.status, reply.outcome), (201, "ran"))
        self.assertEqual(await self.executions("case-6"), 1)
        trace = await self.deployment.trace("six-0")
        self.assertEqual([e.outcome for e in trace.entries], ["ran"])

    async def test_a_killed_agent_causes_no_second_run_and_no_false_outcome(self):
        first = await self.start_task(self.submit("case-8", "eight-0", 6.0, seconds=4))
        agent = await self.agent_with_running_request()
        self.deployment.kill(agent)
        await first
        outcomes = []
        for number in range(1, 6):
            reply = await self.submit("case-8", f"eight-{number}")
            outcomes.append(reply.outcome if reply else "broken")
        count = await self.executions("case-8")
        self.assertLessEqual(count, 1)
        if count:
            self.assertNotIn("not-run", outcomes)

    async def test_submissions_run_with_one_agent_paused(self):
        self.deployment.signal("agent-case-desk-0", signal.SIGSTOP)
        replies = [await self.submit(f"p-{n}", f"p-{n}") for n in range(6)]
        self.deployment.signal("agent-case-desk-0", signal.SIGCONT)
        ran = [r for r in replies if r is not None and r.outcome == "ran"]
        self.assertGreaterEqual(len(ran), 4)
        for number in range(6):
            self.assertLessEqual(await self.executions(f"p-{number}"), 1)
        await asyncio.sleep(3.0)
        again = [await self.submit(f"p-{n}", f"p-{n}-again") for n in range(6)]
        for number, reply in enumerate(again):
            count = await self.executions(f"p-{number}")
            self.assertLessEqual(count, 1)
            if reply.outcome == "not-run":
                self.assertEqual(count, 0)

    async def test_claims_survive_the_planned_replacement_of_every_agent(self):
        await self.submit("case-9", "nine-0")
        for number in range(3):
            name = f"agent-case-desk-{number}"
            self.deployment.signal(name, signal.SIGTERM)
            self.deployment.processes.pop(name).wait(40)
            self.deployment.start_member("agent", name)
            await self.deployment.wait_until(
                self.deployment.all_ready, f"{name} back again"
            )
        reply = await self.submit("case-9", "nine-1")
        self.assertEqual(await self.executions("case-9"), 1)
        self.assertNotEqual(reply.outcome, "not-run")
