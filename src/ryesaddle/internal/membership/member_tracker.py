"""Tracks the live members of a cell and updates the cell record in the store."""

from dataclasses import dataclass

from ryesaddle.internal.membership.action import WriteRecord
from ryesaddle.internal.membership.snapshot import CellRecord
from ryesaddle.internal.routing.member import Member

MEMBER_TIMEOUT_S = 2.5
RECORD_WRITE_INTERVAL_S = 0.2


@dataclass(slots=True)
class _TrackedMember:
    member: Member
    last_seen_at: float
    digest: int = 0

    def __post_init__(self):
        self.digest = self.member.digest()


class MemberTracker:
    """Collects heartbeats and decides when the cell record must be written.

    Only the leader of a cell uses its tracker.

    Parameters
    ----------
    cell : str
        Name of the cell.
    """

    def __init__(self, cell):
        self._cell = cell
        self._tracked = {}
        self._record = CellRecord(cell)
        self._version = ""
        self._record_loaded = False
        self._writing = False
        self._write_at = 0.0

    def start_term(self):
        """Discard all members; nothing is written before the record has been read."""
        self._tracked = {}
        self._record_loaded = False
        self._writing = False

    def members(self):
        """Return the tracked members."""
        return [tracked.member for tracked in self._tracked.values()]

    def receive_announcement(self, member, now):
        """Store a full announcement, unless it is from an earlier incarnation."""
        current = self._tracked.get(member.node)
        if current is None or member.incarnation >= current.member.incarnation:
            self._tracked[member.node] = _TrackedMember(member, now)

    def receive_digest(self, node, incarnation, announcement, now):
        """Process a heartbeat that carries only the digest of an announcement.

        Returns
        -------
        bool
            Whether the announcement with this digest is stored.
        """
        current = self._tracked.get(node)
        matches = (
            current is not None
            and current.member.incarnation == incarnation
            and current.digest == announcement
        )
        if matches:
            current.last_seen_at = now
        return matches

    def remove(self, node, incarnation):
        """Remove a member that has stopped."""
        current = self._tracked.get(node)
        if current and current.member.incarnation == incarnation:
            del self._tracked[node]

    def restart_timeouts(self, now):
        """Restart the timeouts of all members at ``now``."""
        for tracked in self._tracked.values():
            tracked.last_seen_at = now

    def remove_expired(self, now):
        """Remove the members that sent no heartbeat for `MEMBER_TIMEOUT_S`."""
        self._tracked = {
            node: tracked
            for node, tracked in self._tracked.items()
            if now - tracked.last_seen_at < MEMBER_TIMEOUT_S
        }

    def record_read(self, record, version, leads, now):
        """Process the cell record from the store.

        A new leader starts with the members of the first record that it reads.
        """
        if record.generation < self._record.generation:
            return
        self._record, self._version = record, version
        if leads and not self._record_loaded:
            self._record_loaded = True
            for member in record.members:
                self._tracked.setdefault(member.node, _TrackedMember(member, now))

    def record_absent(self):
        """Process the information that the store has no record of the cell."""
        self._record_loaded = True

    def record_written(self, ok, now):
        """Process the result of `WriteRecord`.

        After a failure the record must be read again before the next write.
        """
        self._writing = False
        self._write_at = now + RECORD_WRITE_INTERVAL_S
        self._record_loaded = self._record_loaded and ok

    def due_actions(self, term, now):
        """Return a list with `WriteRecord` if the record is out of date, else []."""
        members = tuple(t.member for _, t in sorted(self._tracked.items()))
        unchanged = members == self._record.members and self._record.term == term
        if (
            unchanged
            or self._writing
            or not self._record_loaded
            or now < self._write_at
        ):
            return []
        self._writing = True
        record = CellRecord(self._cell, term, self._record.generation + 1, members)
        return [WriteRecord(record, self._version)]
