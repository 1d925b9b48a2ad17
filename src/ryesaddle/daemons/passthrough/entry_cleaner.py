"""Deletes store entries of stopped processes, and requests missing entries."""

import asyncio
import logging

from ryesaddle.daemons.passthrough.entry import list_entries
from ryesaddle.daemons.passthrough.peers import BalancerEntry
from ryesaddle.daemons.passthrough.process import BALANCER_KIND, TARGET_KIND
from ryesaddle.errors import StoreError
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.stale_entries import StaleEntryDetector

log = logging.getLogger(__name__)

# Half of the time after which a silent process counts as stopped.
CLEANUP_INTERVAL_S = 10.0


class EntryCleaner:
    """Compares the entries in the store with the processes that are alive.

    Parameters
    ----------
    node : str
        Name of this balancer.
    store : StoreClient
        Client of the object API.
    peers, agent_monitor : Peers, AgentMonitor
        Track the processes that are alive.
    """

    def __init__(self, node, store, peers, agent_monitor):
        self._node = node
        self._store = store
        self._peers = peers
        self._agent_monitor = agent_monitor
        self._detectors = {
            BALANCER_KIND: StaleEntryDetector(node),
            TARGET_KIND: StaleEntryDetector(node),
        }

    async def run(self):
        """Clean up at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            try:
                await self.clean_up()
            except StoreError as exc:
                warn(log, "not-cleaned", reason=exc)

    async def clean_up(self):
        """Clean up once.

        Raises
        ------
        StoreError
            If the store does not answer, or an entry was changed meanwhile.
        """
        is_responsible = self._detectors[TARGET_KIND].is_responsible(
            self._peers.live_names()
        )
        if not is_responsible and not self._agent_monitor.has_expired():
            return
        # A list of a store that has just gone back lacks entries that are being
        # written again, and holds others that were deleted.
        if self._store.eras.settle_delay_s(self._now()):
            return
        if is_responsible:
            live = {self._node, *self._peers.live_names()}
            listed = await self._delete_stale(BALANCER_KIND, BalancerEntry, live)
            self._peers.request_registration(live - listed.keys() - {self._node})
            live = self._agent_monitor.live_names()
            listed = await self._delete_stale(TARGET_KIND, TargetEntry, live)
            self._agent_monitor.request_registration(live - listed.keys())
        else:
            listed = await self._list(TARGET_KIND, TargetEntry)
        self._agent_monitor.remove_expired(listed)

    async def _list(self, kind, struct):
        return await list_entries(self._store, kind, struct, stale=True)

    async def _delete_stale(self, kind, struct, live):
        """Delete the entries of stopped processes; return all that were listed."""
        listed = await self._list(kind, struct)
        stale = self._detectors[kind].find_stale(listed, live, self._now())
        if not stale:
            return listed
        heard = await self._peers.names_heard_by_others()
        if heard is None:
            event(log, "cleanup-postponed", kind=kind, entries=len(stale))
            return listed
        for name in stale:
            if name in heard:
                event(log, "entry-kept", kind=kind, name=name, reason="heard-elsewhere")
                continue
            stored = await self._store.get(kind, name, attempts=1)
            if stored is not None:
                version = stored.metadata.resource_version
                await self._store.delete(kind, name, version)
                event(log, "entry-removed", kind=kind, name=name, reason="gone")
        return listed

    @staticmethod
    def _now():
        return asyncio.get_running_loop().time()
