"""Control messages between members, encoded as tagged MessagePack."""

import msgspec

from ryesaddle.errors import WireError
from ryesaddle.internal.claims.message import ClaimMessage
from ryesaddle.internal.routing.member import Member


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """A member's announcement to the leader of its cell."""

    member: Member


class Beat(msgspec.Struct, frozen=True, tag=True):
    """A heartbeat of a member whose announcement the leader holds."""

    announcement: int


class HeartbeatAck(msgspec.Struct, frozen=True, tag=True):
    """The leader's answer, with the digest of its snapshot.

    Attributes
    ----------
    term : int
        Term of the leader.
    digest : int
        Digest of its snapshot.
    announcement : int
        Digest of the member's announcement that it holds, 0 for none.
    """

    term: int
    digest: int
    announcement: int


class Changed(msgspec.Struct, frozen=True, tag=True):
    """The leader's snapshot has changed."""

    term: int
    digest: int


class Resigned(msgspec.Struct, frozen=True, tag=True):
    """The leader of this term has given up its lease."""

    term: int


class Leave(msgspec.Struct, frozen=True, tag=True):
    """A member has stopped."""

    node: str
    incarnation: int


class Introduce(msgspec.Struct, frozen=True, tag=True):
    """A member asks to be known before it takes new flows.

    Attributes
    ----------
    member : Member
        The member.
    cell : str
        Its cell.
    generation : int
        Generation of the cell record in which it saw itself.
    """

    member: Member
    cell: str
    generation: int


class IntroduceAck(msgspec.Struct, frozen=True, tag=True):
    """The answering member knows the one that introduced itself."""

    node: str
    incarnation: int


class Ping(msgspec.Struct, frozen=True, tag=True):
    """Asks for a sign of life."""


class Pong(msgspec.Struct, frozen=True, tag=True):
    """A sign of life."""


ControlMessage = (
    Heartbeat
    | Beat
    | HeartbeatAck
    | Changed
    | Resigned
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
    """Return ``msg`` as bytes."""
    return _encoder.encode(msg)


def decode_control(data):
    """Return the control message in ``data``.

    Raises
    ------
    WireError
        If ``data`` is not a control message of this version.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise WireError(
            f"Control message is not understood ({exc}); upgrade the older process."
        ) from exc
