"""Updates the replica of the shared state of one process."""

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
    """Updates the `Replica` from other members and from the object API.

    Parameters
    ----------
    cell : str
        Name of the cell of this process.
    incarnation : int
        Identifies this run of the process.
    store : StoreClient
        Client of the object API.
    control, server : ControlClient, ControlServer
        HTTP client and server for calls between members.
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
        self._fetched_versions = {}
        self._watch_tasks = []
        server.route("GET", "/snapshot", self._serve_snapshot)

    def add_listener(self, listener):
        """Call ``listener()`` after each change of the replica."""
        self._listeners.append(listener)

    def add_record_listener(self, listener):
        """Call ``listener(record, version)`` for stored records of the own cell.

        Both are None if the store was listed and contains no such record.
        """
        self._record_listeners.append(listener)

    async def fetch(self, address):
        """Fetch the changes of another member's replica since the last fetch."""
        if self._fetching:
            return
        self._fetching = True
        incarnation, version = self._fetched_versions.get(address, (0, 0))
        path = f"/snapshot?of={incarnation}&since={version}"
        try:
            data = await self._control.get(address, path)
            if data is not None:
                self._apply_delta(address, msgspec.json.decode(data, type=Delta))
        finally:
            self._fetching = False

    def set_watching(self, enabled):
        """Start or stop watching the object API."""
        self.close()
        if not enabled:
            return
        loop = asyncio.get_running_loop()
        cfg = Informer(self._store, CONFIGURATIONS, self._on_configuration, self._rng)
        cells = Informer(self._store, CELLS, self._on_cell, self._rng)
        for coro in (cfg.run(), cells.run(), self._report_missing_record(cells)):
            self._watch_tasks.append(loop.create_task(coro))

    def close(self):
        """Stop watching the object API."""
        for task in self._watch_tasks:
            task.cancel()
        self._watch_tasks = []

    def _apply_delta(self, address, delta):
        self._merge(delta.snapshot)
        fetched_version = (delta.incarnation, delta.version)
        if delta.snapshot.generation > self.replica.snapshot.generation:
            # The changes did not apply, so the next fetch asks for everything.
            fetched_version = (0, 0)
        self._fetched_versions[address] = fetched_version

    def _merge(self, snapshot):
        try:
            changed = self.replica.absorb(snapshot)
        except ConfigurationFolderError as exc:
            # The configuration was written without the checks of `ryesaddle apply`.
            # Member records in the snapshot are still valid.
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

    async def _serve_snapshot(self, req):
        same_run = int(req.query.get("of", 0)) == self._incarnation
        since = int(req.query.get("since", 0)) if same_run else 0
        snapshot = self.replica.since(since)
        return json_response(Delta(self._incarnation, self.replica.version, snapshot))

    async def _report_missing_record(self, informer):
        await informer.synced.wait()
        if self._cell not in self.replica.snapshot.cells:
            self._notify_record_listeners(None, None)

    def _on_configuration(self, obj):
        if obj.metadata.name == CONFIGURATION_NAME:
            self._merge(Snapshot(obj.spec["generation"], obj.spec["files"]))

    def _on_cell(self, obj):
        record = msgspec.convert(obj.spec, CellRecord)
        version = obj.metadata.resource_version
        self.record_versions[record.cell] = version
        if record.cell == self._cell:
            self._notify_record_listeners(record, version)
        self._merge(Snapshot(cells={record.cell: record}))

    def _notify_record_listeners(self, record, version):
        for listener in self._record_listeners:
            listener(record, version)
