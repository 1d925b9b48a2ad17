"""The members that a cell leader hears of, and the record it writes of them."""

from dataclasses import dataclass

from ryesaddle.internal.membership.action import WriteRecord
from ryesaddle.internal.membership.snapshot import CellRecord
from ryesaddle.internal.routing.member import Member

MEMBER_TIMEOUT_S = 2.5
WRITE_RECORD_S = 0.2


@dataclass(slots=True)
class _Heard:
    member: Member
    at: float
    digest: int = 0

    def __post_init__(self):
        self.digest = self.member.digest()


class Roster:
    """Collects heartbeats and decides when the cell record must be written.

    Parameters
    ----------
    cell : str
        Name of the cell.
    """

    def __init__(self, cell):
        self._cell = cell
        self._heard = {}
        self._record = CellRecord(cell)
        self._version = ""
        self._is_known = False
        self._writing = False
        self._write_at = 0.0

    def begin(self):
        """Start anew with a term; nothing is written before the record is known."""
        self._heard = {}
        self._is_known = False
        self._writing = False

    def members(self):
        """Return the members heard of."""
        return [heard.member for heard in self._heard.values()]

    def hear(self, member, now):
        """Take a whole announcement; one of an earlier run is ignored."""
        held = self._heard.get(member.node)
        if held is None or member.incarnation >= held.member.incarnation:
            self._heard[member.node] = _Heard(member, now)

    def hear_digest(self, node, incarnation, announcement, now):
        """Take the digest of an announcement; return whether it is held."""
        held = self._heard.get(node)
        known = (
            held is not None
            and held.member.incarnation == incarnation
            and held.digest == announcement
        )
        if known:
            held.at = now
        return known

    def leave(self, node, incarnation):
        """Forget a member that has stopped."""
        held = self._heard.get(node)
        if held and held.member.incarnation == incarnation:
            del self._heard[node]

    def excuse_silence(self, now):
        """Count the silence of all members from ``now`` on."""
        for heard in self._heard.values():
            heard.at = now

    def drop_silent(self, now):
        """Forget the members that have been silent for too long."""
        self._heard = {
            node: heard
            for node, heard in self._heard.items()
            if now - heard.at < MEMBER_TIMEOUT_S
        }

    def record_read(self, record, version, leads, now):
        """Take the cell record of the store; a new leader takes over its members."""
        if record.generation < self._record.generation:
            return
        self._record, self._version = record, version
        if leads and not self._is_known:
            self._is_known = True
            for member in record.members:
                self._heard.setdefault(member.node, _Heard(member, now))

    def record_absent(self):
        """Note that the store has no record of the cell."""
        self._is_known = True

    def record_written(self, ok, now):
        """Take the result of `WriteRecord`; a failure needs the record read again."""
        self._writing = False
        self._write_at = now + WRITE_RECORD_S
        self._is_known = self._is_known and ok

    def due(self, term, now):
        """Return `WriteRecord` in a list if the record differs from the members."""
        members = tuple(h.member for _, h in sorted(self._heard.items()))
        unchanged = members == self._record.members and self._record.term == term
        if unchanged or self._writing or not self._is_known or now < self._write_at:
            return []
        self._writing = True
        record = CellRecord(self._cell, term, self._record.generation + 1, members)
        return [WriteRecord(record, self._version)]
