import asyncio
import random
import unittest

import aiohttp

from ryesaddle.errors import ConflictError, StoreUnavailableError, UncertainWriteError
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.store.informer import Informer
from ryesaddle.internal.store.kubernetes import KubernetesApi
from ryesaddle.internal.store.pacing import Backoff
from tests.support.deployment import free_port
from tests.support.object_api import serve

QUICK = Backoff(0.01, 0.05)
KIND = "configurations"
WAIT_S = 60.0


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        port = free_port()
        self.runner, self.api = await serve("127.0.0.1", port)
        self.session = aiohttp.ClientSession()
        self.client = self.make_client(port)
        self.port = port

    def make_client(self, port):
        url = f"http://127.0.0.1:{port}"
        return StoreClient(KubernetesApi(url, self.session), random.Random(1), QUICK)

    async def asyncTearDown(self):
        await self.session.close()
        await self.runner.cleanup()

    async def inject_faults(self, **faults):
        url = f"http://127.0.0.1:{self.port}/faults"
        async with self.session.put(url, json=faults):
            pass

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_a_write_over_another_version_conflicts(self):
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        version = first.metadata.resource_version
        await self.client.write(KIND, "a", {"n": 2}, version)
        with self.assertRaises(ConflictError):
            await self.client.write(KIND, "a", {"n": 3}, version)
        with self.assertRaises(ConflictError):
            await self.client.write(KIND, "a", {"n": 3}, "")

    async def test_a_lost_response_is_resolved_by_reading_back(self):
        await self.inject_faults(lose_answers=1)
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        self.assertEqual(first.spec, {"n": 1})
        await self.inject_faults(lose_answers=1)
        version = first.metadata.resource_version
        second = await self.client.write(KIND, "a", {"n": 2}, version)
        self.assertEqual(second.spec, {"n": 2})
        self.assertEqual(self.api.version, 2)

    async def test_this_store_has_no_eras(self):
        # Its versions have no era, so a version must never count as outdated.
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        self.assertEqual(first.metadata.resource_version, "1")
        await self.client.list(KIND)
        self.assertEqual(self.client.era, 0)
        self.assertEqual(self.client.eras.settle_delay_s(0.0), 0.0)

    async def test_a_write_during_an_outage_is_not_reported_as_done(self):
        await self.inject_faults(down=True)
        with self.assertRaises((UncertainWriteError, StoreUnavailableError)):
            await self.client.write(KIND, "a", {"n": 1}, "")
        await self.inject_faults()
        self.assertIsNone(await self.client.get(KIND, "a"))

    async def test_reads_are_retried_while_the_store_throttles(self):
        await self.client.write(KIND, "a", {"n": 1}, "")
        await self.inject_faults(throttle=True)
        read = asyncio.ensure_future(self.client.get(KIND, "a"))
        await self.wait_until(lambda: self.api.calls["read"] >= 1)
        await self.inject_faults()
        self.assertEqual((await read).spec, {"n": 1})

    async def test_watching_survives_compaction_and_outage(self):
        seen = {}
        informer = Informer(
            self.client,
            KIND,
            lambda o: seen.update({o.metadata.name: o.spec["n"]}),
            random.Random(1),
            QUICK,
        )
        task = asyncio.ensure_future(informer.run())
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        await self.wait_until(lambda: seen == {"a": 1})
        await self.inject_faults(down=True)
        await asyncio.sleep(0.2)
        await self.inject_faults()
        version = first.metadata.resource_version
        await self.client.write(KIND, "a", {"n": 2}, version)
        async with self.session.post(f"http://127.0.0.1:{self.port}/compact"):
            pass
        await self.wait_until(lambda: seen == {"a": 2})
        await self.client.write(KIND, "b", {"n": 3}, "")
        await self.wait_until(lambda: seen == {"a": 2, "b": 3})
        task.cancel()
