"""Members of one cell, a lossy network and an unreliable store."""

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


class Stored:
    """One object of the fake store."""

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


class CellWorld:
    """Drives the members' actions; each may be delayed, lost or refused."""

    def __init__(self, nodes):
        self.now = 0.0
        self.lease = Stored()
        self.record = Stored()
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
        me = member(node, self.incarnations[node])
        rng = random.Random(f"{node}{self.incarnations[node]}")
        self.members[node] = CellMember("cell", me, rng)

    def tick(self, node):
        self.perform(node, self.members[node].tick(self.now))

    def perform(self, node, actions):
        me = self.members[node].me
        for action in actions:
            match action:
                case SendHeartbeat(address=address, full=full):
                    self.messages.append((address, "full" if full else "beat", me))
                case SendHeartbeatAck(address=address, term=term, announcement=held):
                    self.messages.append((address, "ack", (term, held)))
                case ReadLease() | WriteLease() | WriteRecord():
                    self.calls += 1
                    self.pending.append((node, me.incarnation, action))

    def deliver(self, index, keep=False):
        index %= len(self.messages)
        address, kind, body = self.messages[index] if keep else self.messages.pop(index)
        for node, cell in self.members.items():
            if cell.me.address != address or node in self.stopped:
                continue
            if kind == "full":
                self.perform(node, cell.heartbeat(body, self.now))
            elif kind == "beat":
                actions = cell.beat(
                    body.node, body.incarnation, body.address, body.digest(), self.now
                )
                self.perform(node, actions)
            else:
                cell.acknowledged(*body, self.now)

    def answer(self, index, lose=False):
        """Let the store answer one call, or take effect and lose the answer."""
        node, incarnation, action = self.pending.pop(index % len(self.pending))
        cell = self.members[node]
        if cell.me.incarnation != incarnation:
            return
        match action:
            case ReadLease():
                self.read_lease(node, cell, lose)
            case WriteLease():
                self.write_lease(cell, action, lose)
            case WriteRecord():
                self.write_record(cell, action, lose)

    def read_lease(self, node, cell, lose):
        if self.down or lose:
            cell.lease_read_failed(self.now)
        else:
            found = cell.lease_read(self.lease.value, self.lease.tag, self.now)
            self.perform(node, found)

    def write_lease(self, cell, action, lose):
        if self.down:
            cell.lease_write_failed(self.now)
        elif not self.lease.write(action.lease, action.version):
            cell.lease_conflicted(self.now)
        elif lose:
            cell.lease_write_failed(self.now)
        else:
            cell.lease_written(self.lease.tag, self.now)

    def write_record(self, cell, action, lose):
        taken = not self.down and self.record.write(action.record, action.version)
        if taken:
            self.records.append(action.record)
        cell.record_written(taken and not lose, self.now)

    def watch(self, node):
        """Show the current record to a member that follows the store."""
        cell = self.members[node]
        if self.down or not cell.leads:
            return
        if self.record.value is None:
            cell.record_absent()
        else:
            cell.record_read(self.record.value, self.record.tag, self.now)

    def settle(self, seconds=60.0, nodes=None):
        """Let everything, or only ``nodes``, work for a while."""
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
