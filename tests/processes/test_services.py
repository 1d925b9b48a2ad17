import asyncio

from tests.support.caller import FlowRefusedError
from tests.support.process_case import ProcessCase


class ReusedPortTest(ProcessCase):
    services = {"case-desk": 1, "pack-archive": 1}

    async def test_a_flow_of_the_old_service_never_reaches_the_new_one(self):
        deployment = self.deployment
        async with deployment.open_flow("case-desk") as caller:
            await caller.request("GET", "/status/1", [("x-request-id", "before")])
            (deployment.config_folder / "10-case-desk.json").unlink()
            (deployment.config_folder / "20-case-desk-targets.json").unlink()
            moved = {"kind": "service", "name": "pack-archive"}
            moved["port"] = deployment.ports["case-desk"]
            deployment.write_file("10-pack-archive.json", moved)
            applied = await deployment.apply()

            async def in_force():
                found = await deployment.status()
                return all(
                    s and s["config"] == applied.generation for s in found.values()
                )

            await deployment.wait_until(in_force, "the port moved")
            asked = asyncio.ensure_future(
                caller.request("GET", "/status/2", [("x-request-id", "after")])
            )
            with self.assertRaises(FlowRefusedError):
                await asked
        # The port now leads to the other service, for new flows.
        reply = await self.status_check("new", service="case-desk")
        self.assertIn(b"pack-archive-0", reply.body)
        executed = {item["request_id"] for item in await deployment.executed()}
        self.assertNotIn("after", executed)
