"""Runs the cell membership of one process."""

import asyncio
import contextlib
import logging

import msgspec

from ryesaddle.daemons.control import json_answer
from ryesaddle.errors import ConflictError, FolderError, StoreError
from ryesaddle.internal.address import Address
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.action import (
    FetchFromAnyone,
    FetchSnapshot,
    FollowStore,
    ProbeMembers,
    ReadLease,
    ReadNeighbourLease,
    SendHeartbeat,
    SendHeartbeatAck,
    WriteLease,
    WriteNeighbourRecord,
    WriteRecord,
)
from ryesaddle.internal.membership.lease import Lease
from ryesaddle.internal.membership.neighbour import Neighbour
from ryesaddle.internal.membership.snapshot import (
    CellRecord,
    Delta,
    Replica,
    Snapshot,
)
from ryesaddle.internal.store.mirror import Mirror
from ryesaddle.internal.wire.control import (
    Beat,
    Changed,
    Heartbeat,
    HeartbeatAck,
    Leave,
    Ping,
    Pong,
    Resigned,
)

log = logging.getLogger(__name__)

TICK_S = 0.1
LEASES = "leases"
CELLS = "cells"
CONFIGURATIONS = "configurations"
CONFIGURATION_NAME = "current"


class Membership:
    """Owns the `CellMember` and `Replica` of a process and performs their actions.

    Parameters
    ----------
    cell : CellMember
        Decides.
    peer : PeerSocket
        Carries heartbeats.
    store : StoreClient
        Client of the object API.
    control : ControlClient
        Fetches what other members have learned.
    server : ControlServer
        Serves what this one has learned.
    seeds : sequence of Address
        Control addresses to ask first, for a start while the store is away.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, cell, peer, store, control, server, seeds, rng):
        self.cell = cell
        self.replica = Replica()
        self._peer = peer
        self._store = store
        self._control = control
        self._seeds = seeds
        self._rng = rng
        self._tasks = set()
        self._mirrors = []
        self._neighbour = Neighbour(cell.cell)
        self._record_versions = {}
        self._fetching = False
        self._fetched = {}
        self._listeners = []
        peer.on(Heartbeat, self._on_heartbeat)
        peer.on(HeartbeatAck, self._on_ack)
        peer.on(Changed, self._on_changed)
        peer.on(Beat, self._on_beat)
        peer.on(Leave, self._on_leave)
        peer.on(Resigned, self._on_resigned)
        peer.on(Pong, self._on_pong)
        server.route("GET", "/snapshot", self._serve_snapshot)

    def listen(self, listener):
        """Call ``listener()`` after each change of the replica."""
        self._listeners.append(listener)

    async def run(self):
        """Tick until cancelled."""
        for seed in self._seeds:
            self._spawn(self._fetch(seed))
        try:
            while True:
                self._perform(self.cell.tick(self._now()))
                if self.cell.leads:
                    cells = self.replica.snapshot.cells
                    self._perform(self._neighbour.tick(cells, self._now()))
                await asyncio.sleep(TICK_S)
        finally:
            for task in [*self._tasks, *self._mirrors]:
                task.cancel()

    def announce(self, me):
        """Publish a changed announcement of this process."""
        self.cell.announce(me)

    async def resign(self):
        """Give up the lease of the cell, if this process holds it."""
        followers = self.cell.followers()
        for action in self.cell.resign():
            spec = msgspec.to_builtins(action.lease)
            try:
                name = self.cell.cell
                await self._store.write(LEASES, name, spec, action.version)
            except StoreError as exc:
                warn(log, "lease-not-given-up", reason=exc)
                return
            for member in followers:
                self._peer.send_control(member.address, Resigned(self.cell.term))

    def leave(self):
        """Tell the leader that this process stops now."""
        if self.cell.leader is not None:
            me = self.cell.me
            self._peer.send_control(
                self.cell.leader.address, Leave(me.node, me.incarnation)
            )

    def absorb(self, snapshot):
        """Join a snapshot and tell the listeners and the cell."""
        try:
            changed = self.replica.absorb(snapshot)
        except FolderError as exc:
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
        if self.cell.leads:
            self._notify()

    def _now(self):
        return asyncio.get_running_loop().time()

    def _perform(self, actions):
        for action in actions:
            match action:
                case SendHeartbeat(address=address, full=full):
                    me = self.cell.me
                    msg = Heartbeat(me) if full else Beat(me.digest())
                    self._peer.send_control(address, msg)
                case SendHeartbeatAck(address=address, term=term, announcement=held):
                    digest = self.replica.snapshot.digest()
                    self._peer.send_control(address, HeartbeatAck(term, digest, held))
                case FetchSnapshot(address=address):
                    self._spawn(self._fetch(address))
                case FetchFromAnyone():
                    self._fetch_from_anyone()
                case ReadLease():
                    self._spawn(self._read_lease())
                case WriteLease(lease=lease, version=version):
                    self._spawn(self._write_lease(lease, version))
                case WriteRecord(record=record, version=version):
                    self._spawn(self._write_record(record, version))
                case ReadNeighbourLease(cell=name):
                    self._spawn(self._read_neighbour_lease(name))
                case ProbeMembers(members=members):
                    for member in members:
                        self._peer.send_control(member.address, Ping())
                case WriteNeighbourRecord(record=record):
                    self._spawn(self._write_neighbour_record(record))
                case FollowStore(wanted=wanted):
                    self._follow(wanted)

    def _spawn(self, coro):
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _notify(self):
        changed = Changed(self.cell.term, self.replica.snapshot.digest())
        for member in self.cell.followers():
            self._peer.send_control(member.address, changed)

    def _on_heartbeat(self, datagram, body, addr):
        self._perform(self.cell.heartbeat(body.member, self._now()))

    def _on_beat(self, datagram, body, addr):
        address = Address(*addr[:2])
        self._perform(
            self.cell.beat(
                datagram.sender,
                datagram.incarnation,
                address,
                body.announcement,
                self._now(),
            )
        )

    def _on_ack(self, datagram, body, addr):
        self.cell.acknowledged(body.term, body.announcement, self._now())
        self._on_changed(datagram, body, addr)

    def _on_changed(self, datagram, body, addr):
        mine = self.replica.snapshot.digest()
        self._perform(self.cell.compared(body.term, body.digest, mine))

    def _on_resigned(self, datagram, body, addr):
        self.cell.resigned(body.term, self._now())

    def _on_leave(self, datagram, body, addr):
        self.cell.leave(body.node, body.incarnation)

    def _fetch_from_anyone(self):
        cells = self.replica.snapshot.cells
        others = [
            member.control
            for name, record in cells.items()
            if name != self.cell.cell
            for member in record.members
        ]
        choices = others or list(self._seeds)
        if choices:
            self._spawn(self._fetch(self._rng.choice(choices)))

    async def _fetch(self, address):
        if self._fetching:
            return
        self._fetching = True
        incarnation, version = self._fetched.get(address, (0, 0))
        path = f"/snapshot?of={incarnation}&since={version}"
        try:
            data = await self._control.get(address, path)
            if data is not None:
                delta = msgspec.json.decode(data, type=Delta)
                self.absorb(delta.snapshot)
                seen = (delta.incarnation, delta.version)
                if delta.snapshot.generation > self.replica.snapshot.generation:
                    seen = (0, 0)  # The changes did not apply: fetch all next time.
                self._fetched[address] = seen
        finally:
            self._fetching = False

    async def _serve_snapshot(self, req):
        incarnation = self.cell.me.incarnation
        same_run = int(req.query.get("of", 0)) == incarnation
        since = int(req.query.get("since", 0)) if same_run else 0
        snapshot = self.replica.since(since)
        return json_answer(Delta(incarnation, self.replica.version, snapshot))

    async def _read_lease(self):
        try:
            obj = await self._store.get(LEASES, self.cell.cell)
        except StoreError:
            self.cell.lease_read_failed(self._now())
            return
        lease = msgspec.convert(obj.spec, Lease) if obj else None
        version = obj.metadata.resource_version if obj else ""
        self._perform(self.cell.lease_read(lease, version, self._now()))

    async def _write_lease(self, lease, version):
        spec = msgspec.to_builtins(lease)
        try:
            obj = await self._store.write(LEASES, self.cell.cell, spec, version)
        except ConflictError:
            self.cell.lease_conflicted(self._now())
            return
        except StoreError:
            self.cell.lease_write_failed(self._now())
            return
        led = self.cell.leads
        self.cell.lease_written(obj.metadata.resource_version, self._now())
        if not led and self.cell.leads:
            event(log, "leading", cell=self.cell.cell, term=lease.term)

    async def _write_record(self, record, version):
        spec = msgspec.to_builtins(record)
        ok = True
        try:
            await self._store.write(CELLS, self.cell.cell, spec, version)
        except StoreError as exc:
            ok = False
            warn(log, "record-not-written", cell=self.cell.cell, reason=exc)
        self.cell.record_written(ok, self._now())

    async def _read_neighbour_lease(self, name):
        try:
            obj = await self._store.get(LEASES, name)
        except StoreError:
            return
        version = obj.metadata.resource_version if obj else ""
        cells = self.replica.snapshot.cells
        self._perform(self._neighbour.lease_read(name, version, cells, self._now()))

    async def _write_neighbour_record(self, record):
        version = self._record_versions.get(record.cell)
        if version is None:
            return
        spec = msgspec.to_builtins(record)
        try:
            await self._store.write(CELLS, record.cell, spec, version)
        except StoreError as exc:
            warn(log, "neighbour-not-written", cell=record.cell, reason=exc)
            return
        event(log, "neighbour-lost", cell=record.cell, left=len(record.members))

    def _on_pong(self, datagram, body, addr):
        self._neighbour.heard(datagram.sender)

    def _follow(self, wanted):
        for task in self._mirrors:
            task.cancel()
        self._mirrors = []
        if not wanted:
            return
        loop = asyncio.get_running_loop()
        for kind, handler in ((CONFIGURATIONS, self._on_cfg), (CELLS, self._on_cell)):
            mirror = Mirror(self._store, kind, handler, self._rng)
            self._mirrors.append(loop.create_task(mirror.run()))
            if kind == CELLS:
                self._mirrors.append(loop.create_task(self._note_absence(mirror)))

    async def _note_absence(self, mirror):
        await mirror.synced.wait()
        if self.cell.cell not in self.replica.snapshot.cells:
            self.cell.record_absent()

    def _on_cfg(self, obj):
        if obj.metadata.name == CONFIGURATION_NAME:
            spec = obj.spec
            self.absorb(Snapshot(spec["generation"], spec["files"]))

    def _on_cell(self, obj):
        record = msgspec.convert(obj.spec, CellRecord)
        self._record_versions[record.cell] = obj.metadata.resource_version
        if record.cell == self.cell.cell:
            version = obj.metadata.resource_version
            self.cell.record_read(record, version, self._now())
        self.absorb(Snapshot(cells={record.cell: record}))


@contextlib.asynccontextmanager
async def running(*coros):
    """Run coroutines as tasks inside the block and cancel them after it."""
    tasks = [asyncio.ensure_future(coro) for coro in coros]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
