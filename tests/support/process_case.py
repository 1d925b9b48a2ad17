"""Base class of the tests that run balancers and agents as processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests.support.caller import FlowRefusedError, StreamAbortedError
from tests.support.deployment import Deployment


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """Starts a `Deployment` before each test and stops it afterwards."""

    services = {"case-desk": 3}
    balancers = 2
    cells = 2
    work_s = 0.01

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="ryesaddle-test-")
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(
            Path(folder.name), self.services, self.balancers, self.cells, self.work_s
        )
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()

    async def status_check(self, request_id="", service="case-desk"):
        """Request the status of a case on a new flow and return the `Response`."""
        headers = [("x-request-id", request_id)] if request_id else []
        async with self.deployment.open_flow(service) as caller:
            return await caller.request("GET", "/status/1", headers)

    async def submit(self, key, request_id, timeout_s=20.0, seconds=0):
        """Submit once on a new flow.

        Returns the `Response`, or None if the flow or the stream failed or no
        response came in time.
        """
        headers = [("idempotency-key", f'"{key}"'), ("x-request-id", request_id)]
        try:
            async with self.deployment.open_flow("case-desk") as caller:
                return await caller.request(
                    "POST",
                    f"/reply?seconds={seconds}",
                    headers,
                    b"hardship",
                    timeout_s,
                )
        except (FlowRefusedError, StreamAbortedError, ConnectionError, TimeoutError):
            return None

    async def executions(self, key):
        """Return how often the targets executed requests with an idempotency key."""
        return sum(item["key"] == key for item in await self.deployment.executed())

    async def agent_with_running_request(self):
        """Wait until a request is in progress and return the name of its agent."""
        busy = []

        async def is_running():
            status = await self.deployment.status()
            busy[:] = [n for n, s in status.items() if s and s.get("running")]
            return bool(busy)

        await self.deployment.wait_until(is_running, "a request in progress")
        return busy[0]

    async def start_task(self, coro):
        """Start a coroutine as a task, give it 0.3 s to run, and return the task."""
        task = asyncio.ensure_future(coro)
        await asyncio.sleep(0.3)
        return task
