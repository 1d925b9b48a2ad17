"""Performs the actions of the membership state machine of one process."""

import asyncio
import contextlib
import logging

import msgspec

from ryesaddle.daemons.quic.replication import CELLS
from ryesaddle.errors import ConflictError, StoreError
from ryesaddle.internal.address import Address
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.action import (
    FetchFromOtherCell,
    FetchSnapshot,
    ProbeMembers,
    ReadLease,
    ReadNeighbourLease,
    SendHeartbeat,
    SendHeartbeatAck,
    WatchStore,
    WriteLease,
    WriteNeighbourRecord,
    WriteRecord,
)
from ryesaddle.internal.membership.lease import Lease
from ryesaddle.internal.membership.neighbour import NeighbourMonitor
from ryesaddle.internal.wire.control import (
    Heartbeat,
    HeartbeatAck,
    LeaderResigned,
    Leave,
    Ping,
    Pong,
    ShortHeartbeat,
    SnapshotChanged,
)

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
LEASES = "leases"


class Membership:
    """Feeds events to the `CellMember` of a process and performs its actions.

    Parameters
    ----------
    cell : CellMember
        Membership state machine, which performs no I/O itself.
    replication : Replication
        Replicates the shared state.
    peer : PeerSocket
        Sends and receives heartbeats and other control messages.
    store : StoreClient
        Client of the object API.
    seeds : sequence of Address
        Control addresses from which to fetch the state at start, in case the store
        is unavailable.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, cell, replication, peer, store, seeds, rng):
        self.cell = cell
        self._replication = replication
        self._neighbour_monitor = NeighbourMonitor(cell.cell)
        self._peer = peer
        self._store = store
        self._seeds = seeds
        self._rng = rng
        self._tasks = set()
        replication.add_listener(self._on_replica_change)
        replication.add_record_listener(self._on_record)
        peer.add_handler(Heartbeat, self._on_heartbeat)
        peer.add_handler(ShortHeartbeat, self._on_short_heartbeat)
        peer.add_handler(HeartbeatAck, self._on_heartbeat_ack)
        peer.add_handler(SnapshotChanged, self._on_snapshot_changed)
        peer.add_handler(Leave, self._on_leave)
        peer.add_handler(LeaderResigned, self._on_leader_resigned)
        peer.add_handler(Pong, self._on_pong)

    @property
    def replica(self):
        """The `Replica` of this process."""
        return self._replication.replica

    def add_listener(self, listener):
        """Call ``listener()`` after each change of the replica."""
        self._replication.add_listener(listener)

    async def run(self):
        """Run the state machine until cancelled."""
        for seed in self._seeds:
            self._spawn(self._replication.fetch(seed))
        try:
            while True:
                self._perform_actions(self.cell.tick(self._now()))
                if self.cell.leads:
                    cells = self.replica.snapshot.cells
                    self._perform_actions(
                        self._neighbour_monitor.tick(cells, self._now())
                    )
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            self._replication.close()
            for task in self._tasks:
                task.cancel()

    def announce(self, me):
        """Publish a new announcement of this process."""
        self.cell.announce(me)

    async def resign(self):
        """Release the leader lease of the cell, if this process holds it."""
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
                self._peer.send_control(member.address, LeaderResigned(self.cell.term))

    def send_leave(self):
        """Notify the leader that this process is stopping."""
        if self.cell.leader is not None:
            me = self.cell.me
            self._peer.send_control(
                self.cell.leader.address, Leave(me.node, me.incarnation)
            )

    def _now(self):
        return asyncio.get_running_loop().time()

    def _perform_actions(self, actions):
        for action in actions:
            match action:
                case SendHeartbeat(address=address, full=full):
                    me = self.cell.me
                    msg = Heartbeat(me) if full else ShortHeartbeat(me.digest())
                    self._peer.send_control(address, msg)
                case SendHeartbeatAck(
                    address=address, term=term, announcement=announcement
                ):
                    digest = self.replica.snapshot.digest()
                    self._peer.send_control(
                        address, HeartbeatAck(term, digest, announcement)
                    )
                case FetchSnapshot(address=address):
                    self._spawn(self._replication.fetch(address))
                case FetchFromOtherCell():
                    self._fetch_from_other_cell()
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
                case WatchStore(enabled=enabled):
                    self._replication.set_watching(enabled)

    def _spawn(self, coro):
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_replica_change(self):
        if not self.cell.leads:
            return
        msg = SnapshotChanged(self.cell.term, self.replica.snapshot.digest())
        for member in self.cell.followers():
            self._peer.send_control(member.address, msg)

    def _on_record(self, record, version):
        if record is None:
            self.cell.record_absent()
        else:
            self.cell.record_read(record, version, self._now())

    def _on_heartbeat(self, datagram, body, addr):
        self._perform_actions(self.cell.heartbeat(body.member, self._now()))

    def _on_short_heartbeat(self, datagram, body, addr):
        address = Address(*addr[:2])
        self._perform_actions(
            self.cell.beat(
                datagram.sender,
                datagram.incarnation,
                address,
                body.announcement,
                self._now(),
            )
        )

    def _on_heartbeat_ack(self, datagram, body, addr):
        self.cell.acknowledged(body.term, body.announcement, self._now())
        self._on_snapshot_changed(datagram, body, addr)

    def _on_snapshot_changed(self, datagram, body, addr):
        own_digest = self.replica.snapshot.digest()
        self._perform_actions(self.cell.compared(body.term, body.digest, own_digest))

    def _on_leader_resigned(self, datagram, body, addr):
        self.cell.resigned(body.term, self._now())

    def _on_leave(self, datagram, body, addr):
        self.cell.leave(body.node, body.incarnation)

    def _on_pong(self, datagram, body, addr):
        self._neighbour_monitor.probe_answered(datagram.sender)

    def _fetch_from_other_cell(self):
        addresses = [
            member.control
            for name, record in self.replica.snapshot.cells.items()
            if name != self.cell.cell
            for member in record.members
        ]
        candidates = addresses or list(self._seeds)
        if candidates:
            self._spawn(self._replication.fetch(self._rng.choice(candidates)))

    async def _read_lease(self):
        try:
            obj = await self._store.get(LEASES, self.cell.cell)
        except StoreError:
            self.cell.lease_read_failed(self._now())
            return
        lease = msgspec.convert(obj.spec, Lease) if obj else None
        version = obj.metadata.resource_version if obj else ""
        self._perform_actions(self.cell.lease_read(lease, version, self._now()))

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
        was_leading = self.cell.leads
        self.cell.lease_written(obj.metadata.resource_version, self._now())
        if not was_leading and self.cell.leads:
            event(log, "leading", cell=self.cell.cell, term=lease.term)

    async def _write_record(self, record, version):
        spec = msgspec.to_builtins(record)
        is_written = True
        try:
            await self._store.write(CELLS, self.cell.cell, spec, version)
        except StoreError as exc:
            is_written = False
            warn(log, "record-not-written", cell=self.cell.cell, reason=exc)
        self.cell.record_written(is_written, self._now())

    async def _read_neighbour_lease(self, name):
        try:
            obj = await self._store.get(LEASES, name)
        except StoreError:
            return
        version = obj.metadata.resource_version if obj else ""
        cells = self.replica.snapshot.cells
        self._perform_actions(
            self._neighbour_monitor.lease_read(name, version, cells, self._now())
        )

    async def _write_neighbour_record(self, record):
        version = self._replication.record_versions.get(record.cell)
        if version is None:
            return
        spec = msgspec.to_builtins(record)
        try:
            await self._store.write(CELLS, record.cell, spec, version)
        except StoreError as exc:
            warn(log, "neighbour-not-written", cell=record.cell, reason=exc)
            return
        event(log, "neighbour-lost", cell=record.cell, left=len(record.members))


@contextlib.asynccontextmanager
async def background_tasks(*coros):
    """Run coroutines as tasks inside the block and cancel them on exit."""
    tasks = [asyncio.ensure_future(coro) for coro in coros]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
