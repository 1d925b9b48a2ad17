"""Removes entries of processes that are gone, and has missing ones written."""

import asyncio
import logging

from ryesaddle.daemons.passing.entry import list_entries
from ryesaddle.daemons.passing.peers import BalancerEntry
from ryesaddle.daemons.passing.process import BALANCERS, TARGETS
from ryesaddle.errors import StoreError
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.stale_entries import StaleEntryDetector

log = logging.getLogger(__name__)

CLEAN_S = 10.0  # half of the time after which a silent process is gone


class Cleaner:
    """Compares the entries of the store with who is heard.

    Parameters
    ----------
    node : str
        This balancer.
    store : StoreClient
        Client of the object API.
    peers, agents : Peers, Agents
        Who is heard.
    """

    def __init__(self, node, store, peers, agents):
        self._node = node
        self._store = store
        self._peers = peers
        self._agents = agents
        self._reapers = {
            BALANCERS: StaleEntryDetector(node),
            TARGETS: StaleEntryDetector(node),
        }

    async def run(self):
        """Clean up from time to time until cancelled."""
        while True:
            await asyncio.sleep(CLEAN_S)
            self._agents.forget()
            if not self._reapers[TARGETS].is_responsible(self._peers.live()):
                continue
            try:
                heard = {self._node, *self._peers.live()}
                await self._clean(BALANCERS, BalancerEntry, heard)
                heard = self._agents.live()
                listed = await self._clean(TARGETS, TargetEntry, heard)
                self._agents.ask_to_register(heard - listed.keys())
            except StoreError as exc:
                warn(log, "not-cleaned", reason=exc)

    async def _clean(self, kind, struct, heard):
        listed = await list_entries(self._store, kind, struct, stale=True)
        now = asyncio.get_running_loop().time()
        for name in self._reapers[kind].find_stale(listed, heard, now):
            held = await self._store.get(kind, name, attempts=1)
            if held is not None:
                version = held.metadata.resource_version
                await self._store.delete(kind, name, version)
                event(log, "entry-removed", kind=kind, name=name, reason="gone")
        return listed
