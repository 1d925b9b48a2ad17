"""Actions that a cell member returns for its caller to perform."""

from dataclasses import dataclass

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.lease import Lease
from ryesaddle.internal.membership.snapshot import CellRecord
from ryesaddle.internal.routing.member import Member


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease object of the cell."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease object if it still has ``version``."""

    lease: Lease
    version: str


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the cell record if its object still has ``version``."""

    record: CellRecord
    version: str


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to the leader.

    Attributes
    ----------
    address : Address
        Address of the leader.
    full : bool
        Whether to send the full announcement instead of only its digest.
    """

    address: Address
    full: bool


@dataclass(frozen=True, slots=True)
class SendHeartbeatAck:
    """Acknowledge a member's heartbeat.

    The caller adds the digest of the leader's snapshot to the message.


    Attributes
    ----------
    address : Address
        Address of the member.
    term : int
        Term of the leader.
    announcement : int
        Digest of the announcement that the leader has stored, 0 for none.
    """

    address: Address
    term: int
    announcement: int


@dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Fetch the snapshot of the member at ``address`` and merge it."""

    address: Address


@dataclass(frozen=True, slots=True)
class FetchFromOtherCell:
    """Fetch the snapshot of any member of another cell and merge it."""


@dataclass(frozen=True, slots=True)
class ReadNeighbourLease:
    """Read the version of the lease object of another cell."""

    cell: str


@dataclass(frozen=True, slots=True)
class ProbeMembers:
    """Ping members of another cell directly."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class WriteNeighbourRecord:
    """Write the record of another cell if its object has the version last seen."""

    record: CellRecord


@dataclass(frozen=True, slots=True)
class WatchStore:
    """Start or stop watching the object API for changes."""

    enabled: bool
