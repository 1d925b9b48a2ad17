import asyncio
import random
import unittest
from unittest import mock

import msgspec

from ryesaddle.daemons.passthrough.entry import EntryReconciler, list_entries
from ryesaddle.errors import (
    ConflictError,
    GoneError,
    StoreError,
    StoreUnavailableError,
)
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.store.pacing import Backoff
from ryesaddle.platform import objects
from ryesaddle.platform.objects import PlatformObjects
from tests.support.deployment import free_port
from tests.support.platform_store import PAGE_SIZE, serve

FAST_BACKOFF = Backoff(0.01, 0.05)
KIND = "ryesaddle-targets"
WAIT_S = 60.0


def entry(node="side-1", **changes):
    fields = {
        "node": node,
        "service": "case-desk",
        "data_centre": "bkk-a",
        "address": Address("10.0.0.1", 7000),
        **changes,
    }
    return TargetEntry(**fields)


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        port = free_port()
        self.runner, self.store = await serve("127.0.0.1", port)
        api = PlatformObjects(lambda: Address("127.0.0.1", port))
        self.client = StoreClient(api, random.Random(1), FAST_BACKOFF)

    async def asyncTearDown(self):
        await self.runner.cleanup()

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)


class CallTest(StoreTestCase):
    async def test_object_is_written_read_and_deleted(self):
        created = await self.client.write(KIND, "a/b c", {"n": 1}, "")
        stored = await self.client.get(KIND, "a/b c")
        self.assertEqual((stored.spec, stored.metadata), ({"n": 1}, created.metadata))
        await self.client.delete(KIND, "a/b c", created.metadata.resource_version)
        self.assertIsNone(await self.client.get(KIND, "a/b c"))

    async def test_write_over_another_version_conflicts(self):
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        version = first.metadata.resource_version
        await self.client.write(KIND, "a", {"n": 2}, version)
        for wrong_version in (version, ""):
            with self.assertRaises(ConflictError):
                await self.client.write(KIND, "a", {"n": 3}, wrong_version)
        with self.assertRaises(ConflictError):
            await self.client.delete(KIND, "a", version)

    async def test_lost_and_late_writes_take_effect_once(self):
        for fault in ("lose_answers", "late", "not_done"):
            before = await self.client.get(KIND, "a")
            version = before.metadata.resource_version if before else ""
            self.store.faults = {fault: 1}
            done = await self.client.write(KIND, "a", {"by": fault}, version)
            self.assertEqual(done.spec, {"by": fault})
            revision = self.store.revision
            await asyncio.sleep(0.1)
            self.assertEqual(self.store.revision, revision, fault)

    async def test_late_write_does_not_overwrite_a_newer_one(self):
        first = await self.client.write(KIND, "a", {"n": 1}, "")
        self.store.faults = {"late": 1}
        version = first.metadata.resource_version
        write = asyncio.ensure_future(self.client.write(KIND, "a", {"n": 2}, version))
        while self.store.faults["late"]:
            await asyncio.sleep(0)
        self.store.put(KIND, "a", {"annotations": {}, "content": {"n": 3}})
        with self.assertRaises(ConflictError):
            await write
        await asyncio.sleep(0.1)
        self.assertEqual((await self.client.get(KIND, "a")).spec, {"n": 3})

    async def test_refused_calls_raise_store_errors(self):
        for fault in ("down", "throttle", "reset"):
            self.store.faults = {fault: True}
            with self.assertRaises(StoreUnavailableError):
                await self.client.get(KIND, "a", attempts=1)
            with self.assertRaises(StoreError):
                await self.client.write(KIND, "a", {}, "")
        self.store.faults = {}
        self.assertIsNone(await self.client.get(KIND, "a"))

    async def test_call_to_a_silent_store_times_out(self):
        self.store.faults = {"silent": True}
        limit = mock.patch.object(objects, "CALL_TIMEOUT_S", 0.05)
        with limit, self.assertRaises(StoreUnavailableError):
            await self.client.list(KIND, attempts=1)

    async def test_list_of_several_pages_is_complete(self):
        for number in range(2 * PAGE_SIZE + 1):
            self.store.put(KIND, f"n{number:05}", {"n": number})
        items, _ = await self.client.list(KIND)
        self.assertEqual([i.spec["n"] for i in items], list(range(2 * PAGE_SIZE + 1)))

    async def test_stale_list_is_requested_as_stale(self):
        await self.client.list(KIND, stale=True)
        self.assertEqual(dict(self.store.calls), {"stale": 1})

    async def test_watch_yields_changes_and_the_next_version(self):
        _, version = await self.client.list(KIND)
        created = await self.client.write(KIND, "a", {"n": 1}, "")
        await self.client.delete(KIND, "a", created.metadata.resource_version)
        events = [event async for event in self.client.watch(KIND, version)]
        self.assertEqual(
            [event.type for event in events], ["MODIFIED", "DELETED", "BOOKMARK"]
        )
        self.store.history, self.store.compacted_revision = [], self.store.revision
        with self.assertRaises(GoneError):
            async for _ in self.client.watch(KIND, version):
                pass


class EntryTest(StoreTestCase):
    async def test_malformed_entries_are_skipped(self):
        good = msgspec.to_builtins(entry())
        for name, spec in (
            ("bad-1", None),
            ("bad-2", "text"),
            ("bad-3", {"annotations": {}, "content": {"node": 5}}),
            ("bad-4", {"annotations": 5, "content": []}),
            ("good", {"annotations": {}, "content": good}),
        ):
            self.store.put(KIND, name, spec)
        self.store.objects[KIND, "bad-0"] = {"meta": "odd"}
        found = await list_entries(self.client, KIND, TargetEntry)
        self.assertEqual(found, {"good": entry()})

    async def test_entries_that_no_message_can_reach_are_skipped(self):
        """Guards against an address at which every round of reports ends."""
        for number, changes in enumerate(
            (
                {"address": ["localhost", 7720]},
                {"address": ["10.0.0.1", 0]},
                {"address": ["10.0.0.1", 2**16]},
                {"address": ["10.0.0", 80]},
                {"address": ["10.0.0.1\0", 80]},
                {"control": ["localhost", 7721]},
            )
        ):
            name = f"side-{number}"
            content = {**msgspec.to_builtins(entry(name)), **changes}
            self.store.put(KIND, name, {"annotations": {}, "content": content})
        self.assertEqual(await list_entries(self.client, KIND, TargetEntry), {})

    async def test_entry_is_written_only_when_it_changes(self):
        reconciler = EntryReconciler(self.client, KIND, "side-1", random.Random(1))
        task = asyncio.ensure_future(reconciler.run())
        for wanted in (entry(), entry(), entry(draining=True)):
            reconciler.set_desired(wanted)
            await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
        self.assertEqual(self.store.calls["write"], 2)
        reconciler.set_desired(None)
        await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
        self.assertIsNone(await self.client.get(KIND, "side-1"))
        task.cancel()

    async def test_a_change_during_a_write_is_not_in_sync_before_it_is_written(self):
        # Guards against an acknowledgement of draining while the store says ready.
        reconciler = EntryReconciler(self.client, KIND, "side-1", random.Random(1))
        write, in_sync_before = self.client.write, []

        async def write_and_change(kind, name, spec, version):
            in_sync_before.append(reconciler.in_sync.is_set())
            written = await write(kind, name, spec, version)
            if not spec["draining"]:
                reconciler.set_desired(entry(draining=True))
            return written

        self.client.write = write_and_change
        task = asyncio.ensure_future(reconciler.run())
        reconciler.set_desired(entry())
        await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
        stored = await self.client.get(KIND, "side-1")
        self.assertTrue(stored.spec["draining"])
        self.assertEqual(in_sync_before, [False, False])
        task.cancel()

    async def test_an_object_may_have_any_name(self):
        for name in ("side-1", "a b", "a/b?c=1", "ü"):
            await self.client.write(KIND, name, {"node": name}, "")
            self.assertEqual((await self.client.get(KIND, name)).spec, {"node": name})

    async def test_a_known_entry_is_replaced_without_reading_it(self):
        for stored in (None, await self.client.write(KIND, "side-2", {}, "")):
            name = "side-1" if stored is None else "side-2"
            reconciler = EntryReconciler(self.client, KIND, name, random.Random(1))
            reconciler.assume_stored(stored)
            task = asyncio.ensure_future(reconciler.run())
            reads = self.store.calls["read"]
            for wanted in (entry(), entry(draining=True)):
                reconciler.set_desired(wanted)
                await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
            self.assertEqual(self.store.calls["read"], reads)
            found = await self.client.get(KIND, name)
            expected = entry(draining=True)
            self.assertEqual(msgspec.convert(found.spec, TargetEntry), expected)
            task.cancel()

    async def test_an_entry_that_another_process_deleted_is_written_again(self):
        reconciler = EntryReconciler(self.client, KIND, "side-1", random.Random(1))
        task = asyncio.ensure_future(reconciler.run())
        reconciler.set_desired(entry())
        await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
        held = await self.client.get(KIND, "side-1")
        await self.client.delete(KIND, "side-1", held.metadata.resource_version)
        for wanted in (entry(draining=True), entry()):
            reconciler.forget_stored()
            reconciler.set_desired(wanted)
            await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
            self.assertIsNotNone(await self.client.get(KIND, "side-1"))
        task.cancel()

    async def test_a_wrong_assumption_about_the_stored_entry_is_corrected(self):
        held = await self.client.write(KIND, "side-1", {"odd": True}, "")
        await self.client.write(
            KIND, "side-1", {"odd": 2}, held.metadata.resource_version
        )
        for assumed in (None, held):
            reconciler = EntryReconciler(self.client, KIND, "side-1", random.Random(1))
            reconciler.assume_stored(assumed)
            task = asyncio.ensure_future(reconciler.run())
            reconciler.set_desired(entry(draining=assumed is None))
            await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
            found = await list_entries(self.client, KIND, TargetEntry)
            self.assertEqual(found, {"side-1": entry(draining=assumed is None)})
            task.cancel()

    async def test_entry_is_written_when_the_store_recovers(self):
        self.store.faults = {"down": True}
        reconciler = EntryReconciler(self.client, KIND, "side-1", random.Random(1))
        task = asyncio.ensure_future(reconciler.run())
        reconciler.set_desired(entry())
        await self.wait_until(lambda: self.store.calls["read"] >= 2)
        self.assertFalse(reconciler.in_sync.is_set())
        self.store.faults = {}
        await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
        stored = await self.client.get(KIND, "side-1")
        self.assertEqual(msgspec.convert(stored.spec, TargetEntry), entry())
        task.cancel()

    async def test_entry_from_another_writer_is_replaced(self):
        await self.client.write(KIND, "side-1", {"odd": True}, "")
        reconciler = EntryReconciler(self.client, KIND, "side-1", random.Random(1))
        task = asyncio.ensure_future(reconciler.run())
        reconciler.set_desired(entry())
        await asyncio.wait_for(reconciler.in_sync.wait(), WAIT_S)
        found = await list_entries(self.client, KIND, TargetEntry)
        self.assertEqual(found, {"side-1": entry()})
        task.cancel()
