"""Keeps the replica of the shared state of one process up to date."""

import asyncio
import logging

import msgspec

from ryesaddle.daemons.quic.control import json_response
from ryesaddle.errors import ConfigurationFolderError
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.snapshot import (
    CellRecord,
    Delta,
    Replica,
    Snapshot,
)
from ryesaddle.internal.store.informer import Informer

log = logging.getLogger(__name__)

CELLS = "cells"
CONFIGURATIONS = "configurations"
CONFIGURATION_NAME = "current"


class Replication:
    """Owns the `Replica`; fetches from members and follows the object API.

    Parameters
    ----------
    cell : str
        Own cell.
    incarnation : int
        This run of this process.
    store : StoreClient
        Client of the object API.
    control, server : ControlClient, ControlServer
        HTTP between members.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, cell, incarnation, store, control, server, rng):
        self.replica = Replica()
        self.record_versions = {}
        self._cell = cell
        self._incarnation = incarnation
        self._store = store
        self._control = control
        self._rng = rng
        self._listeners = []
        self._record_listeners = []
        self._fetching = False
        self._fetched = {}
        self._mirrors = []
        server.route("GET", "/snapshot", self._serve)

    def add_listener(self, listener):
        """Call ``listener()`` after each change of the replica."""
        self._listeners.append(listener)

    def add_record_listener(self, listener):
        """Call ``listener(record, version)`` for own cell records in the store.

        Both are None when the store was listed and has none.
        """
        self._record_listeners.append(listener)

    async def fetch(self, address):
        """Fetch what another member has learned since the last time."""
        if self._fetching:
            return
        self._fetching = True
        incarnation, version = self._fetched.get(address, (0, 0))
        path = f"/snapshot?of={incarnation}&since={version}"
        try:
            data = await self._control.get(address, path)
            if data is not None:
                self._take(address, msgspec.json.decode(data, type=Delta))
        finally:
            self._fetching = False

    def set_watching(self, enabled):
        """Begin (or cease) to follow the object API."""
        self.close()
        if not enabled:
            return
        loop = asyncio.get_running_loop()
        cfg = Informer(self._store, CONFIGURATIONS, self._on_cfg, self._rng)
        cells = Informer(self._store, CELLS, self._on_cell, self._rng)
        for coro in (cfg.run(), cells.run(), self._note_absence(cells)):
            self._mirrors.append(loop.create_task(coro))

    def close(self):
        """Cease to follow the object API."""
        for task in self._mirrors:
            task.cancel()
        self._mirrors = []

    def _take(self, address, delta):
        self._absorb(delta.snapshot)
        seen = (delta.incarnation, delta.version)
        if delta.snapshot.generation > self.replica.snapshot.generation:
            seen = (0, 0)  # The changes did not apply: fetch all next time.
        self._fetched[address] = seen

    def _absorb(self, snapshot):
        try:
            changed = self.replica.absorb(snapshot)
        except ConfigurationFolderError as exc:
            # Somebody wrote past the checks of apply; members still count.
            warn(log, "configuration-refused", reason=exc)
            changed = self.replica.absorb(Snapshot(cells=snapshot.cells))
        if not changed:
            return
        event(
            log,
            "snapshot",
            version=self.replica.version,
            config=self.replica.snapshot.generation,
            members=sum(1 for _ in self.replica.snapshot.members()),
        )
        for listener in self._listeners:
            listener()

    async def _serve(self, req):
        same_run = int(req.query.get("of", 0)) == self._incarnation
        since = int(req.query.get("since", 0)) if same_run else 0
        snapshot = self.replica.since(since)
        return json_response(Delta(self._incarnation, self.replica.version, snapshot))

    async def _note_absence(self, mirror):
        await mirror.synced.wait()
        if self._cell not in self.replica.snapshot.cells:
            self._tell_record(None, None)

    def _on_cfg(self, obj):
        if obj.metadata.name == CONFIGURATION_NAME:
            self._absorb(Snapshot(obj.spec["generation"], obj.spec["files"]))

    def _on_cell(self, obj):
        record = msgspec.convert(obj.spec, CellRecord)
        version = obj.metadata.resource_version
        self.record_versions[record.cell] = version
        if record.cell == self._cell:
            self._tell_record(record, version)
        self._absorb(Snapshot(cells={record.cell: record}))

    def _tell_record(self, record, version):
        for listener in self._record_listeners:
            listener(record, version)
