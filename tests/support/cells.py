"""Simulates the members of a cell with a lossy network and an unreliable store."""

import random

from ryesaddle.internal.membership.action import (
    ReadLease,
    SendHeartbeat,
    SendHeartbeatAck,
    WriteLease,
    WriteRecord,
)
from ryesaddle.internal.membership.cell import CellMember
from tests.support.flows import member


class VersionedObject:
    """An object of the simulated store, written by compare-and-swap on its tag."""

    def __init__(self):
        self.version = 0
        self.value = None

    @property
    def tag(self):
        return str(self.version) if self.version else ""

    def write(self, value, tag):
        if tag != self.tag:
            return False
        self.version += 1
        self.value = value
        return True


class CellSimulation:
    """Carries out the actions of the members, any of which may be delayed or fail.

    A test chooses which message arrives next (lost messages never do), and which
    store call completes next and whether its response is lost.
    """

    def __init__(self, nodes):
        self.now = 0.0
        self.lease = VersionedObject()
        self.record = VersionedObject()
        self.records = []
        self.down = False
        self.calls = 0
        self.pending = []
        self.messages = []
        self.stopped = set()
        self.members = {}
        self.incarnations = dict.fromkeys(nodes, 0)
        for node in nodes:
            self.restart(node)

    def restart(self, node):
        self.incarnations[node] += 1
        identity = member(node, self.incarnations[node])
        rng = random.Random(f"{node}{self.incarnations[node]}")
        self.members[node] = CellMember("cell", identity, rng)

    def tick(self, node):
        self.perform(node, self.members[node].tick(self.now))

    def perform(self, node, actions):
        identity = self.members[node].me
        for action in actions:
            match action:
                case SendHeartbeat(address=address, full=full):
                    self.messages.append(
                        (address, "full" if full else "beat", identity)
                    )
                case SendHeartbeatAck(
                    address=address, term=term, announcement=announcement
                ):
                    self.messages.append((address, "ack", (term, announcement)))
                case ReadLease() | WriteLease() | WriteRecord():
                    self.calls += 1
                    self.pending.append((node, identity.incarnation, action))

    def deliver(self, index, keep=False):
        index %= len(self.messages)
        address, kind, body = self.messages[index] if keep else self.messages.pop(index)
        for node, cell_member in self.members.items():
            if cell_member.me.address != address or node in self.stopped:
                continue
            if kind == "full":
                self.perform(node, cell_member.heartbeat(body, self.now))
            elif kind == "beat":
                actions = cell_member.beat(
                    body.node, body.incarnation, body.address, body.digest(), self.now
                )
                self.perform(node, actions)
            else:
                cell_member.acknowledged(*body, self.now)

    def answer(self, index, lose=False):
        """Complete one pending store call.

        With ``lose`` a write takes effect, but the member sees a failed call.
        """
        node, incarnation, action = self.pending.pop(index % len(self.pending))
        cell_member = self.members[node]
        if cell_member.me.incarnation != incarnation:
            return
        match action:
            case ReadLease():
                self.read_lease(node, cell_member, lose)
            case WriteLease():
                self.write_lease(cell_member, action, lose)
            case WriteRecord():
                self.write_record(cell_member, action, lose)

    def read_lease(self, node, cell_member, lose):
        if self.down or lose:
            cell_member.lease_read_failed(self.now)
        else:
            actions = cell_member.lease_read(self.lease.value, self.lease.tag, self.now)
            self.perform(node, actions)

    def write_lease(self, cell_member, action, lose):
        if self.down:
            cell_member.lease_write_failed(self.now)
        elif not self.lease.write(action.lease, action.version):
            cell_member.lease_conflicted(self.now)
        elif lose:
            cell_member.lease_write_failed(self.now)
        else:
            cell_member.lease_written(self.lease.tag, self.now)

    def write_record(self, cell_member, action, lose):
        written = not self.down and self.record.write(action.record, action.version)
        if written:
            self.records.append(action.record)
        cell_member.record_written(written and not lose, self.now)

    def watch(self, node):
        """Deliver the current record to a member if it is the leader."""
        cell_member = self.members[node]
        if self.down or not cell_member.leads:
            return
        if self.record.value is None:
            cell_member.record_absent()
        else:
            cell_member.record_read(self.record.value, self.record.tag, self.now)

    def settle(self, seconds=60.0, nodes=None):
        """Run all members, or only ``nodes``, for a while without any fault."""
        self.down = False
        self.stopped = set(self.members) - set(nodes or self.members)
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            for node in sorted(set(self.members) - self.stopped):
                self.tick(node)
                self.watch(node)
            while self.messages or self.pending:
                while self.messages:
                    self.deliver(0)
                while self.pending:
                    self.answer(0)
