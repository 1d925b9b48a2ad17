import asyncio
import signal

from tests.support.process_case import ProcessCase


class StoreProcessTest(ProcessCase):
    async def test_requests_go_on_and_balancers_start_while_the_store_is_away(self):
        await self.deployment.store_call("PUT", "/faults", {"down": True})
        self.assertEqual((await self.status_check()).status, 200)
        self.assertEqual((await self.submit("away", "away")).status, 201)
        for name in ("balancer-0", "balancer-1"):
            self.deployment.kill(name)
            self.deployment.start_member("balancer", name)
        await asyncio.sleep(2.0)
        self.assertEqual((await self.status_check()).status, 200)
        await self.deployment.store_call("PUT", "/faults", {})
        await self.deployment.wait_until(self.deployment.all_ready, "all back")

    async def test_an_accepted_configuration_reaches_every_node(self):
        self.deployment.write_file(
            "50-limits.json",
            {"kind": "limits", "service": "case-desk", "limits": {"slots": 3}},
        )
        await self.deployment.store_call("PUT", "/faults", {"lose_answers": 1})
        applied = await self.deployment.apply()

        async def in_force():
            found = await self.deployment.status()
            return all(s and s["config"] == applied.generation for s in found.values())

        await self.deployment.wait_until(in_force, "the configuration in force")

    async def test_a_cell_that_is_lost_as_a_whole_is_dropped_by_its_neighbour(self):
        lost = [
            n
            for n, s in self.deployment.settings_by_member.items()
            if s["cell"] == "cell-1"
        ]
        for name in lost:
            self.deployment.kill(name)

        async def dropped():
            found = await self.deployment.status()
            return not set(found) & set(lost)

        await self.deployment.wait_until(dropped, "the lost cell dropped")
        self.assertEqual((await self.status_check()).status, 200)

    async def test_a_paused_leader_is_replaced_and_does_no_harm_afterwards(self):
        found = await self.deployment.status()
        leader = next(n for n, s in found.items() if s["leads"])
        self.deployment.signal(leader, signal.SIGSTOP)
        self.deployment.write_file("60.json", {"kind": "drain", "target": "nobody"})
        applied = await self.deployment.apply()

        async def others_know():
            found = await self.deployment.status()
            others = [s for n, s in found.items() if n != leader]
            return all(s and s["config"] == applied.generation for s in others)

        await self.deployment.wait_until(others_know, "a new leader at work")
        self.deployment.signal(leader, signal.SIGCONT)
        await self.deployment.wait_until(self.deployment.all_ready, "the old one back")
        self.assertEqual((await self.status_check()).status, 200)
