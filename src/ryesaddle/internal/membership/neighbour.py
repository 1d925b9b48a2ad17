"""Takes care of a cell that has lost all of its members at once."""

from ryesaddle.internal.membership.action import (
    ProbeMembers,
    ReadNeighbourLease,
    WriteNeighbourRecord,
)
from ryesaddle.internal.membership.snapshot import CellRecord

CHECK_S = 2.0
SILENT_LEASE_S = 6.0
PROBE_S = 2.5


class Neighbour:
    """Watches the next cell in the ring of cells while this process leads its own.

    A cell whose members all died has nobody to write its record. When the lease
    of the next cell stands still, its members are probed directly, and only those
    that do not answer are dropped: a cell that is merely cut off from the object
    API keeps its members. Every write is conditional on the record's version.

    Parameters
    ----------
    cell : str
        Own cell.
    """

    def __init__(self, cell):
        self._own = cell
        self._cell = None
        self._lease_version = None
        self._still_since = 0.0
        self._next_check = 0.0
        self._probe_until = None
        self._heard = set()

    def tick(self, records, now):
        """Return the actions that are due at ``now``.

        Parameters
        ----------
        records : dict of str to CellRecord
            Records of all cells.
        now : float
            Seconds on a monotonic clock.
        """
        cell = next_cell(self._own, records)
        if cell != self._cell:
            self._watch(cell, now)
        if cell is None:
            return []
        if self._probe_until is not None:
            return self._probe(records[cell], now)
        if now < self._next_check:
            return []
        self._next_check = now + CHECK_S
        return [ReadNeighbourLease(cell)]

    def lease_read(self, cell, version, records, now):
        """Take the version of a neighbour's lease object."""
        if cell != self._cell or self._probe_until is not None:
            return []
        if version != self._lease_version:
            self._lease_version, self._still_since = version, now
            return []
        if now - self._still_since < SILENT_LEASE_S:
            return []
        self._probe_until = now + PROBE_S
        self._heard = set()
        return [ProbeMembers(records[cell].members)]

    def heard(self, node):
        """Note that a probed member has answered."""
        self._heard.add(node)

    def _watch(self, cell, now):
        self._cell, self._lease_version = cell, None
        self._still_since, self._next_check = now, now
        self._probe_until = None

    def _probe(self, record, now):
        if now < self._probe_until:
            waiting = tuple(m for m in record.members if m.node not in self._heard)
            return [ProbeMembers(waiting)] if waiting else []
        self._probe_until = None
        self._still_since = now
        alive = tuple(m for m in record.members if m.node in self._heard)
        if alive == record.members:
            return []
        remaining = CellRecord(record.cell, record.term, record.generation + 1, alive)
        return [WriteNeighbourRecord(remaining)]


def next_cell(own, records):
    """Return the first cell after ``own`` in the ring that has members, or None."""
    names = sorted(name for name, record in records.items() if record.members)
    others = [name for name in names if name != own]
    if not others:
        return None
    return next((name for name in others if name > own), others[0])
