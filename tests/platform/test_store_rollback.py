import asyncio
import json
import random
import unittest
from collections import Counter
from unittest import mock

from ryesaddle.daemons.passthrough import entry as entry_module, entry_cleaner
from ryesaddle.daemons.passthrough.entry import EntryReconciler, list_entries
from ryesaddle.daemons.passthrough.entry_cleaner import EntryCleaner
from ryesaddle.daemons.passthrough.http import HttpReply, HttpServer
from ryesaddle.daemons.passthrough.process import bind_tcp
from ryesaddle.errors import (
    ConflictError,
    StoreUnavailableError,
    UncertainWriteError,
)
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.store.informer import Informer
from ryesaddle.internal.store.object import new_object
from ryesaddle.platform import objects
from ryesaddle.platform.objects import PlatformObjects
from tests.platform.test_objects import FAST_BACKOFF, KIND, StoreTestCase, entry

WAIT_S = 60.0
PROCESSES = 40


class VersionTest(StoreTestCase):
    async def test_a_revision_of_a_former_era_is_not_sent(self):
        # The store issues revisions again. Without the check, this one would match
        # by accident and another writer's content would be lost.
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        await asyncio.sleep(0.02)
        lost = await self.client.write(
            KIND, "a", {"n": 2}, first.metadata.resource_version
        )
        self.store.go_back(0.01)
        other = self.store.put(KIND, "a", {"annotations": {}, "content": {"n": 3}})
        version = lost.metadata.resource_version
        self.assertTrue(version.endswith(f".{other['meta']['revision']}"))
        found = await self.client.get(KIND, "a")
        writes = self.store.calls["write"]
        with self.assertRaises(ConflictError):
            await self.client.write(KIND, "a", {"n": 4}, version)
        with self.assertRaises(ConflictError):
            await self.client.delete(KIND, "a", version)
        self.assertEqual(self.store.calls["write"], writes)
        current = found.metadata.resource_version
        await self.client.write(KIND, "a", {"n": 5}, current)
        self.assertEqual((await self.client.get(KIND, "a")).spec, {"n": 5})

    async def test_a_write_that_was_lost_with_its_answer_is_not_repeated(self):
        # Repeated against the object that no longer exists, it would be uncertain for
        # all attempts to resolve it.
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        self.store.faults = {"lose_answers": 1}
        before = self.store.calls["write"]
        version = first.metadata.resource_version

        async def go_back(*args):
            self.store.go_back(WAIT_S)

        # The store goes back between the lost answer and the first read.
        delay = mock.patch.object(self.client, "_back_off", go_back)
        with delay, self.assertRaises(ConflictError):
            await self.client.write(KIND, "a", {"n": 2}, version)
        self.assertEqual(self.store.calls["write"], before + 1)

    async def test_a_watch_of_a_former_era_lists_again(self):
        # Without it, a change whose revision was issued before is never seen.
        seen = {}
        informer = Informer(
            self.client,
            KIND,
            lambda obj: seen.update({obj.metadata.name: obj.spec}),
            random.Random(1),
            FAST_BACKOFF,
        )
        self.store.put(KIND, "a", {"n": 1})
        with mock.patch.object(objects, "WATCH_WAIT_S", 0.2):
            task = asyncio.ensure_future(informer.run())
            await self.wait_until(lambda: seen == {"a": {"n": 1}})
            self.store.go_back(WAIT_S)
            self.store.put(KIND, "a", {"n": 2})
            await self.wait_until(lambda: seen == {"a": {"n": 2}})
        task.cancel()


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers with given eras, as a store and the network may deliver them."""

    async def asyncSetUp(self):
        sock = bind_tcp(("127.0.0.1", 0))
        address = Address(*sock.getsockname())
        self.answers = []
        self.server = HttpServer(lambda req: self.answers.pop(0))
        await self.server.open(sock)
        self.api = PlatformObjects(lambda: address)
        self.client = StoreClient(self.api, random.Random(1), FAST_BACKOFF)

    async def asyncTearDown(self):
        self.server.close()

    def answer(self, era, body=None, status=200):
        data = json.dumps(body or {"meta": {"name": "a", "revision": 7}}).encode()
        headers = {} if era is None else {"Store-Era": str(era)}
        self.answers.append(HttpReply(status, data, headers=headers))

    async def test_a_late_answer_of_a_former_era_counts_as_none(self):
        self.answer(2)
        await self.client.get(KIND, "a")
        for era in (1, None, "odd"):
            self.answer(era)
            with self.assertRaises(StoreUnavailableError):
                await self.client.get(KIND, "a", attempts=1)
            for status in (200, 404, 409):
                # Whether the write took effect in the new era is unknown.
                self.answer(era, status=status)
                with self.assertRaises(UncertainWriteError):
                    await self.api.write(new_object(KIND, "a", {}, "2.7"))
        self.answer(1)
        self.answer(2)
        self.assertEqual((await self.client.get(KIND, "a")).metadata.name, "a")
        self.assertEqual(self.client.era, 2)

    async def test_a_list_holds_objects_of_one_era_only(self):
        def page(name, more):
            items = [{"meta": {"name": name, "revision": 7}}]
            return {"items": items, "more": more, "currentRev": 9}

        self.answer(1, page("lost", True))
        self.answer(2, page("b", False))
        self.answer(2, page("a", True))
        self.answer(2, page("b", False))
        items, version = await self.client.list(KIND)
        self.assertEqual([item.metadata.name for item in items], ["a", "b"])
        self.assertEqual(version, "9")

    async def test_a_store_without_eras_is_in_era_0(self):
        self.answer(None)
        await self.client.get(KIND, "a")
        self.assertEqual(self.client.era, 0)


class EntryRenewalTest(StoreTestCase):
    def start_reconciler(self, number=1, wanted=None):
        reconciler = EntryReconciler(
            self.client, KIND, f"side-{number}", random.Random(number)
        )
        self.client.eras.subscribe(lambda former, era: reconciler.renew())
        task = asyncio.ensure_future(reconciler.run())
        self.addCleanup(task.cancel)
        if wanted is not None:
            reconciler.set_desired(wanted)
        return reconciler

    async def in_sync(self, reconciler):
        await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)

    def learn_new_era(self):
        """Learn the era from a message, as agents do."""
        now = asyncio.get_running_loop().time()
        self.client.eras.learn(self.store.era, now)

    async def stored_entry(self):
        found = await list_entries(self.client, KIND, TargetEntry)
        return found.get("side-1")

    async def test_an_own_entry_that_was_lost_is_written_again(self):
        reconciler = self.start_reconciler(wanted=entry())
        await self.in_sync(reconciler)
        self.store.go_back(WAIT_S)
        self.assertEqual(self.store.objects, {})
        self.learn_new_era()
        self.assertFalse(reconciler.in_sync.is_set())
        await self.in_sync(reconciler)
        self.assertEqual(await self.stored_entry(), entry())

    async def test_an_entry_that_was_kept_is_read_and_not_written(self):
        reconciler = self.start_reconciler(wanted=entry())
        await self.in_sync(reconciler)
        calls = Counter(self.store.calls)
        self.store.go_back(0.0)
        self.learn_new_era()
        await self.in_sync(reconciler)
        self.assertEqual(self.store.calls - calls, {"read": 1})

    async def test_a_change_that_was_undone_is_made_again(self):
        reconciler, before = self.start_reconciler(wanted=entry()), entry()
        for wanted in (entry(draining=True), None):
            await self.in_sync(reconciler)
            await asyncio.sleep(0.05)
            reconciler.set_desired(wanted)
            await self.in_sync(reconciler)
            self.assertEqual(await self.stored_entry(), wanted)
            self.store.go_back(0.04)
            # The list also tells the reconciler of the new era.
            self.assertEqual(await self.stored_entry(), before)
            await self.in_sync(reconciler)
            self.assertEqual(await self.stored_entry(), wanted)
            before = wanted

    async def test_a_change_does_not_wait_for_its_turn(self):
        # The acknowledgement of a draining target waits for the written entry.
        reconciler = self.start_reconciler(wanted=entry())
        await self.in_sync(reconciler)
        self.store.go_back(WAIT_S)
        with mock.patch.object(entry_module, "RENEWAL_SPREAD_S", 10 * WAIT_S):
            self.learn_new_era()
        reconciler.set_desired(entry(draining=True))
        await self.in_sync(reconciler)
        self.assertEqual(await self.stored_entry(), entry(draining=True))

    async def test_a_process_without_an_entry_deletes_none(self):
        self.store.put(KIND, "side-1", {"node": "former"})
        self.start_reconciler()
        self.store.go_back(0.0)
        with mock.patch.object(entry_module, "RENEWAL_SPREAD_S", 0.0):
            self.learn_new_era()
        await asyncio.sleep(0.1)
        self.assertIn((KIND, "side-1"), self.store.objects)

    async def test_entries_are_not_written_in_a_herd(self):
        spread = await self.largest_share(entry_module.RENEWAL_SPREAD_S)
        herd = await self.largest_share(0.0)
        self.assertLess(spread, 0.5)
        self.assertGreater(herd, 0.5)

    async def largest_share(self, spread_s):
        """Return the largest share of the writes that arrive within 0.2 s."""
        clients = []
        for number in range(PROCESSES):
            # Each process has its own client, with its own rate limit.
            self.client = StoreClient(
                PlatformObjects(self.client._api._address),
                random.Random(number),
                FAST_BACKOFF,
            )
            clients.append((self.client, self.start_reconciler(number, entry())))
        for _, reconciler in clients:
            await self.in_sync(reconciler)
        self.store.go_back(WAIT_S)
        loop, times = asyncio.get_running_loop(), []
        with (
            mock.patch.object(entry_module, "RENEWAL_SPREAD_S", spread_s),
            mock.patch.object(self.store, "put", wraps=self.store.put) as put,
        ):
            put.side_effect = lambda *args: times.append(loop.time()) or mock.DEFAULT
            for client, _ in clients:
                client.eras.learn(self.store.era, loop.time())
            for _, reconciler in clients:
                await self.in_sync(reconciler)
        self.assertEqual(len(times), PROCESSES)
        return max(sum(t <= u < t + 0.2 for u in times) for t in times) / PROCESSES


class EntryCleanerTest(StoreTestCase):
    async def test_no_entry_counts_as_missing_until_the_store_is_settled(self):
        # All agents would be asked at once to write entries that they write anyway.
        peers, agents = mock.Mock(), mock.Mock()
        peers.live_names.return_value = []
        agents.live_names.return_value = {"side-1"}
        cleaner = EntryCleaner("edge-1", self.client, peers, agents)
        await self.client.list(KIND)
        with mock.patch.object(entry_cleaner, "CLEANUP_INTERVAL_S", 0.01):
            task = asyncio.ensure_future(cleaner.run())
            self.addCleanup(task.cancel)
            await asyncio.sleep(0.2)
            agents.request_registration.assert_not_called()
            self.client.eras.mark_settled(self.store.era)
            await self.wait_until(lambda: agents.request_registration.called)
        agents.request_registration.assert_called_with({"side-1"})
