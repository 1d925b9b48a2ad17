"""Which entries of the store a balancer deletes, and which agents it forgets."""

import asyncio
import random
from unittest import mock

import msgspec

from ryesaddle.daemons.passthrough.entry import EntryReconciler, list_entries
from ryesaddle.daemons.passthrough.entry_cleaner import EntryCleaner
from ryesaddle.daemons.passthrough.peers import BalancerEntry
from ryesaddle.daemons.passthrough.process import BALANCER_KIND, TARGET_KIND
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.stale_entries import STALE_AFTER_S
from ryesaddle.internal.store.era import ERA_SETTLE_S
from tests.platform.test_objects import StoreTestCase, entry

AGENTS = ("side-1", "side-2", "side-3")
ADDRESS = Address("10.0.0.1", 7000)


class EntryCleanerTest(StoreTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for name in AGENTS:
            spec = msgspec.to_builtins(entry(name))
            await self.client.write(TARGET_KIND, name, spec, "")
        # The store is settled by then.
        self.now = asyncio.get_running_loop().time() + 10 * ERA_SETTLE_S
        self.peers, self.monitor = mock.Mock(), mock.Mock()
        self.peers.live_names.return_value = []
        self.peers.names_heard_by_others = mock.AsyncMock(return_value=set())
        self.monitor.live_names.return_value = set(AGENTS[1:])
        self.cleaner = EntryCleaner("edge-1", self.client, self.peers, self.monitor)
        self.cleaner._now = lambda: self.now

    async def clean_up(self):
        """Clean up twice, far enough apart for stale entries; return what is left."""
        for _ in range(2):
            await self.cleaner.clean_up()
            self.now += STALE_AFTER_S
        return set(await list_entries(self.client, TARGET_KIND, TargetEntry))

    async def test_an_entry_is_deleted_only_if_no_balancer_hears_its_process(self):
        """Guards against the deletion of the entry of an agent that others hear."""
        self.peers.names_heard_by_others.return_value = {"side-1"}
        self.assertEqual(await self.clean_up(), set(AGENTS))
        self.peers.names_heard_by_others.return_value = set()
        self.assertEqual(await self.clean_up(), set(AGENTS[1:]))

    async def test_nothing_is_deleted_while_a_live_balancer_does_not_answer(self):
        self.peers.names_heard_by_others.return_value = None
        self.assertEqual(await self.clean_up(), set(AGENTS))

    async def test_an_agent_is_forgotten_only_if_the_store_lacks_it(self):
        """Guards against a list that lacks an agent out of reach of one balancer."""
        self.peers.names_heard_by_others.return_value = {"side-1"}
        for live, responsible in (([], True), (["edge-2"], False)):
            self.peers.live_names.return_value = live
            with mock.patch.object(
                self.cleaner._detectors[TARGET_KIND],
                "is_responsible",
                return_value=responsible,
            ):
                await self.clean_up()
            (registered,) = self.monitor.remove_expired.call_args.args
            self.assertEqual(set(registered), set(AGENTS))

    async def test_a_balancer_whose_entry_is_missing_is_asked_to_write_it(self):
        """Guards against agents that join and do not find a balancer."""
        own = BalancerEntry(
            node="edge-2", data_centre="dc", address=ADDRESS, control=ADDRESS
        )
        reconciler = EntryReconciler(
            self.client, BALANCER_KIND, "edge-2", random.Random(1)
        )
        reconciler.set_desired(own)
        reconciler._changed.clear()
        await reconciler._reconcile_with_retries()
        stored = await self.client.get(BALANCER_KIND, "edge-2")
        version = stored.metadata.resource_version
        await self.client.delete(BALANCER_KIND, "edge-2", version)
        self.peers.live_names.return_value = ["edge-2"]
        with mock.patch.object(
            self.cleaner._detectors[TARGET_KIND], "is_responsible", return_value=True
        ):
            await self.cleaner.clean_up()
        self.peers.request_registration.assert_called_with({"edge-2"})
        reconciler.verify()
        reconciler._changed.clear()
        await reconciler._reconcile_with_retries()
        found = await list_entries(self.client, BALANCER_KIND, BalancerEntry)
        self.assertEqual(found, {"edge-2": own})
