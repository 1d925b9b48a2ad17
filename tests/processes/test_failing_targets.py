import aiohttp

from tests.support.process_case import ProcessCase

MAX_ERRORS = 10  # until the target is ejected and the others know it


class FailingTargetTest(ProcessCase):
    async def test_a_target_that_answers_with_errors_gets_few_requests(self):
        """Error answers would count as answers, and keep the target in service."""
        name, address = next(iter(self.deployment.targets.items()))
        async with aiohttp.ClientSession() as session:
            await session.post("http://{}:{}/fail".format(*address))
        statuses = []

        async def is_ejected():
            statuses.append((await self.status_check()).status)
            status = await self.deployment.status()
            return status[f"agent-{name}"]["health"] != "serving"

        await self.deployment.wait_until(is_ejected, "an ejected target")
        for _ in range(30):
            statuses.append((await self.status_check()).status)
        self.assertLessEqual(statuses.count(500), MAX_ERRORS)
