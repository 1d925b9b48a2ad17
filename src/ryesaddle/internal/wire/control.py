"""Control messages between members, encoded as tagged MessagePack."""

import msgspec

from ryesaddle.errors import WireError
from ryesaddle.internal.claims.message import ClaimMessage
from ryesaddle.internal.routing.member import Member


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """A member's announcement to the leader of its cell."""

    member: Member


class ShortHeartbeat(msgspec.Struct, frozen=True, tag="Beat"):
    """A heartbeat without the announcement, which the leader holds already.

    Attributes
    ----------
    announcement : int
        Digest of the member's announcement.
    """

    announcement: int


class HeartbeatAck(msgspec.Struct, frozen=True, tag=True):
    """The leader's reply to a heartbeat.

    Attributes
    ----------
    term : int
        Term of the leader.
    digest : int
        Digest of the leader's snapshot.
    announcement : int
        Digest of the member's announcement that the leader holds, 0 for none.
    """

    term: int
    digest: int
    announcement: int


class SnapshotChanged(msgspec.Struct, frozen=True, tag="Changed"):
    """Tells members that the leader's snapshot has changed.

    Attributes
    ----------
    term : int
        Term of the leader.
    digest : int
        Digest of the new snapshot.
    """

    term: int
    digest: int


class LeaderResigned(msgspec.Struct, frozen=True, tag="Resigned"):
    """Tells members that the leader of a term has released its lease."""

    term: int


class Leave(msgspec.Struct, frozen=True, tag=True):
    """Tells the leader that a member has stopped."""

    node: str
    incarnation: int


class Introduce(msgspec.Struct, frozen=True, tag=True):
    """Announces a member to another one before it accepts new flows.

    Attributes
    ----------
    member : Member
        The announced member.
    cell : str
        Cell of that member.
    generation : int
        Generation of the cell record in which the member found itself.
    """

    member: Member
    cell: str
    generation: int


class IntroduceAck(msgspec.Struct, frozen=True, tag=True):
    """Confirms an `Introduce`.

    Attributes
    ----------
    node : str
        Name of the member that confirms.
    incarnation : int
        Incarnation of the member that confirms.
    """

    node: str
    incarnation: int


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Asks a member for a `Pong`, to check that it is reachable."""


class Pong(msgspec.Struct, frozen=True, tag=True):
    """Reply to a `Ping`."""


ControlMessage = (
    Heartbeat
    | ShortHeartbeat
    | HeartbeatAck
    | SnapshotChanged
    | LeaderResigned
    | Leave
    | Introduce
    | IntroduceAck
    | Ping
    | Pong
    | ClaimMessage
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ControlMessage)


def encode_control(msg):
    """Return the MessagePack encoding of a control message."""
    return _encoder.encode(msg)


def decode_control(data):
    """Return the control message in ``data``.

    Raises
    ------
    WireError
        If ``data`` is malformed or of a message type unknown to this version.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise WireError(
            f"Control message cannot be decoded ({exc}); upgrade the older process."
        ) from exc
