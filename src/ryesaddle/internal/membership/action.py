"""What a cell member asks its surroundings to do."""

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
        Of the leader.
    full : bool
        Whether to send the whole announcement and not only its digest.
    """

    address: Address
    full: bool


@dataclass(frozen=True, slots=True)
class SendHeartbeatAck:
    """Tell a member that its heartbeat arrived, and the leader's digest.

    Attributes
    ----------
    address : Address
        Of the member.
    term : int
        Term of the leader.
    announcement : int
        Digest of the announcement that the leader holds, 0 for none.
    """

    address: Address
    term: int
    announcement: int


@dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Fetch the snapshot of the member at ``address`` and join it."""

    address: Address


@dataclass(frozen=True, slots=True)
class FetchFromAnyone:
    """Fetch the snapshot of some member of another cell and join it."""


@dataclass(frozen=True, slots=True)
class ReadNeighbourLease:
    """Read the version of the lease object of another cell."""

    cell: str


@dataclass(frozen=True, slots=True)
class ProbeMembers:
    """Ask members of another cell directly for a sign of life."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class WriteNeighbourRecord:
    """Write the record of another cell over the version last seen of it."""

    record: CellRecord


@dataclass(frozen=True, slots=True)
class FollowStore:
    """Start (or stop) following the object API for changes."""

    wanted: bool
