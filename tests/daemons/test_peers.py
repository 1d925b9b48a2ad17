"""What a balancer sends of its state, and what it makes of another one's."""

import asyncio
import unittest
from unittest.mock import patch

import msgspec

from ryesaddle.daemons.passthrough import peers as peers_module
from ryesaddle.daemons.passthrough.agent_monitor import AgentMonitor
from ryesaddle.daemons.passthrough.evacuation import EvacuationMonitor
from ryesaddle.daemons.passthrough.http import HttpError, HttpReply, inflated
from ryesaddle.daemons.passthrough.peers import (
    MERGE_TIMEOUT_S,
    BalancerEntry,
    Peers,
    SharedState,
)
from ryesaddle.daemons.passthrough.route_updater import RouteUpdater
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import AgentDirectory, TargetEntry
from ryesaddle.internal.membership.fetch_schedule import FetchResult
from ryesaddle.internal.membership.transfer_slots import MAX_TRANSFERS
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.wire.passthrough import Gossip
from tests.support.passthrough import routes

CONTROL = Address("10.0.0.1", 9000)
SOURCE, AGENT = Address("10.0.0.1", 7000), Address("10.0.0.2", 7000)


class FakeMessages:
    def on(self, kind, handler):
        pass

    def send(self, address, msg):
        pass

    def send_all(self, addresses, msg):
        pass


def build_peers(node):
    messages, directory, eras = FakeMessages(), AgentDirectory(), EraTracker()
    placement = Placement("bkk-a", directory)
    evacuations = EvacuationMonitor(messages, directory, placement, eras)
    updater = RouteUpdater(node, None, 3.0, evacuations)
    entry = BalancerEntry(
        node=node, data_centre="bkk-a", address=CONTROL, control=CONTROL
    )
    monitor = AgentMonitor(
        entry, messages, directory, placement.liveness, evacuations, updater, eras
    )
    return updater, Peers(entry, 1, messages, updater, monitor, evacuations, eras, 3.0)


class StateTransferTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.source_updater, self.source = build_peers("edge-1")
        self.updater, self.peers = build_peers("edge-2")
        self.bodies, self.replies = [], []

    async def fetch(self):
        async def send(control, method, path, body, *timeouts, keeps_open):
            self.bodies.append(body)
            reply = self.source.state_reply(body)
            self.replies.append(reply)
            if reply.on_closed is not None:
                reply.on_closed()
            if reply.headers:
                return HttpReply(200, inflated(reply.body))
            return reply

        with patch.object(peers_module, "send_request", send):
            return await self.peers.fetch_state(CONTROL, wants_entries=False)

    async def test_a_later_version_is_fetched_as_a_difference(self):
        self.source_updater.install(routes(1), "test")
        self.assertIs(await self.fetch(), FetchResult.ARRIVED)
        self.source_updater.install(routes(4, ()), "test")
        self.assertIs(await self.fetch(), FetchResult.ARRIVED)
        self.assertEqual(self.updater.routes.by_address, routes(4, ()).by_address)
        state = msgspec.json.decode(inflated(self.replies[-1].body), type=SharedState)
        self.assertIsNone(state.routes)
        self.assertEqual((len(state.change.put), len(state.change.removed)), (0, 1))

    async def test_all_is_fetched_if_the_difference_does_not_apply(self):
        """The store has lost a version and has given its number again."""
        self.updater.install(routes(2, ()), "test")
        self.source_updater.install(routes(2), "test")
        self.source_updater.install(routes(3), "test")
        self.assertIs(await self.fetch(), FetchResult.ARRIVED)
        self.assertEqual(len(self.bodies), 2)
        self.assertEqual(self.updater.routes, routes(3))

    async def test_a_configuration_never_goes_back(self):
        self.updater.install(routes(5), "test")
        self.source_updater.install(routes(4, ()), "test")
        self.assertIs(await self.fetch(), FetchResult.ARRIVED)
        self.assertEqual(self.updater.routes, routes(5))

    async def test_a_balancer_of_an_older_version_gets_all_uncompressed(self):
        self.source_updater.install(routes(2), "test")
        reply = self.source.state_reply(b"")
        self.assertEqual(reply.headers, {})
        state = msgspec.json.decode(reply.body, type=SharedState)
        self.assertEqual(state.routes, routes(2))
        self.assertEqual(state.balancers, (self.source.entry,))

    async def test_a_source_serves_few_transfers_at_a_time(self):
        self.source_updater.install(routes(2), "test")
        replies = [self.source.state_reply(b"{}") for _ in range(25)]
        statuses = [reply.status for reply in replies]
        self.assertEqual(statuses.count(200), MAX_TRANSFERS)
        self.assertIs(await self.fetch(), FetchResult.BUSY)
        replies[0].on_closed()
        self.assertIs(await self.fetch(), FetchResult.ARRIVED)


class MergeTest(unittest.IsolatedAsyncioTestCase):
    """What a balancer learns of agents and of live processes from its peers."""

    async def asyncSetUp(self):
        _, self.source = build_peers("edge-1")
        _, self.peers = build_peers("edge-2")
        target = TargetEntry(
            node="side-1", service="s", data_centre="bkk-a", address=AGENT
        )
        self.source._agent_monitor.add_entries([target])
        self.peers.add_entries([self.source_entry()])
        self.answers = True

    def source_entry(self):
        return msgspec.structs.replace(self.source.entry, address=SOURCE)

    def hear_source(self):
        self.peers._on_gossip(
            Gossip(
                "edge-1",
                "bkk-a",
                1,
                SOURCE,
                CONTROL,
                version=0,
                read_age_ms=0,
                agents_digest=self.source._agent_monitor.digest(),
            ),
            SOURCE,
        )

    async def send(self, control, method, path, body, *timeouts, keeps_open):
        if not self.answers:
            raise HttpError("no answer", True)
        reply = self.source.state_reply(body)
        return HttpReply(200, inflated(reply.body))

    async def test_agents_that_the_store_lacks_are_learned_from_a_peer(self):
        """Guards against a list of the store that counts as complete by itself."""
        with patch.object(peers_module, "send_request", self.send):
            self.hear_source()
            self.assertTrue(await self.peers.merge_agents())
        self.assertEqual(self.peers._agent_monitor.count(), 1)

    async def test_gossip_from_before_a_cut_does_not_count(self):
        with patch.object(peers_module, "send_request", self.send):
            self.hear_source()
            self.peers.forget_digests()
            merging = asyncio.ensure_future(self.peers.merge_agents())
            await asyncio.sleep(MERGE_TIMEOUT_S / 3)
            self.assertFalse(merging.done())
            self.hear_source()
            self.assertTrue(await merging)
        self.assertEqual(self.peers._agent_monitor.count(), 1)

    async def test_a_peer_that_does_not_answer_leaves_the_list_incomplete(self):
        self.answers = False
        with patch.object(peers_module, "send_request", self.send):
            self.hear_source()
            self.assertFalse(await self.peers.merge_agents())

    async def test_a_peer_that_is_not_heard_is_not_waited_for(self):
        with patch.object(peers_module, "send_request", self.send):
            async with asyncio.timeout(10 * MERGE_TIMEOUT_S):
                self.assertTrue(await self.peers.merge_agents())

    async def test_the_names_of_live_processes_are_asked_for(self):
        """Guards against the deletion of entries of processes that others hear."""
        with patch.object(peers_module, "send_request", self.send):
            heard = await self.peers.names_heard_by_others()
            # The entry of an agent that has not reported is no sign of life.
            self.assertEqual(heard, {"edge-1"})
            self.answers = False
            self.assertIsNone(await self.peers.names_heard_by_others())

    async def test_the_entries_of_a_peer_of_an_older_version_count_as_heard(self):
        async def send(*args, **options):
            state = SharedState(None, (self.source_entry(),))
            targets = self.source._agent_monitor.entries()
            old = {"balancers": state.balancers, "targets": targets, "routes": None}
            return HttpReply(200, msgspec.json.encode(old))

        with patch.object(peers_module, "send_request", send):
            heard = await self.peers.names_heard_by_others()
        self.assertEqual(heard, {"edge-1", "side-1"})


if __name__ == "__main__":
    unittest.main()
