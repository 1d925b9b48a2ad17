"""Detects and cleans up a cell whose members have all failed."""

from ryesaddle.internal.membership.action import (
    ProbeMembers,
    ReadNeighbourLease,
    WriteNeighbourRecord,
)
from ryesaddle.internal.membership.snapshot import CellRecord

LEASE_CHECK_INTERVAL_S = 2.0
LEASE_STALE_S = 6.0
PROBE_DURATION_S = 2.5


class NeighbourMonitor:
    """Monitors the next cell in ring order while this process leads its own cell.

    A cell whose members have all failed cannot update its own record. When the
    lease of the next cell is no longer renewed, its members are probed directly,
    and only those that do not answer are removed from the record: a cell that is
    only partitioned from the object API keeps its members. Every write is
    conditional on the version of the record.

    Parameters
    ----------
    cell : str
        Name of the own cell.
    """

    def __init__(self, cell):
        self._own_cell = cell
        self._cell = None
        self._lease_version = None
        self._lease_unchanged_since = 0.0
        self._next_check_at = 0.0
        self._probe_ends_at = None
        self._answered = set()

    def tick(self, records, now):
        """Return the actions to perform at ``now``.

        Parameters
        ----------
        records : dict of str to CellRecord
            Records of all cells.
        now : float
            Seconds on a monotonic clock.
        """
        cell = next_cell(self._own_cell, records)
        if cell != self._cell:
            self._monitor(cell, now)
        if cell is None:
            return []
        if self._probe_ends_at is not None:
            return self._probe(records[cell], now)
        if now < self._next_check_at:
            return []
        self._next_check_at = now + LEASE_CHECK_INTERVAL_S
        return [ReadNeighbourLease(cell)]

    def lease_read(self, cell, version, records, now):
        """Process the version of a cell's lease object.

        Returns
        -------
        list
            `ProbeMembers` if the lease is stale, otherwise nothing.
        """
        if cell != self._cell or self._probe_ends_at is not None:
            return []
        if version != self._lease_version:
            self._lease_version, self._lease_unchanged_since = version, now
            return []
        if now - self._lease_unchanged_since < LEASE_STALE_S:
            return []
        self._probe_ends_at = now + PROBE_DURATION_S
        self._answered = set()
        return [ProbeMembers(records[cell].members)]

    def probe_answered(self, node):
        """Record that a probed member has answered."""
        self._answered.add(node)

    def _monitor(self, cell, now):
        self._cell, self._lease_version = cell, None
        self._lease_unchanged_since, self._next_check_at = now, now
        self._probe_ends_at = None

    def _probe(self, record, now):
        if now < self._probe_ends_at:
            unanswered = tuple(
                m for m in record.members if m.node not in self._answered
            )
            return [ProbeMembers(unanswered)] if unanswered else []
        self._probe_ends_at = None
        self._lease_unchanged_since = now
        alive = tuple(m for m in record.members if m.node in self._answered)
        if alive == record.members:
            return []
        remaining = CellRecord(record.cell, record.term, record.generation + 1, alive)
        return [WriteNeighbourRecord(remaining)]


def next_cell(own, records):
    """Return the cell with members that follows ``own`` in name order, or None.

    After the last name the order continues with the first.
    """
    names = sorted(name for name, record in records.items() if record.members)
    others = [name for name in names if name != own]
    if not others:
        return None
    return next((name for name in others if name > own), others[0])
