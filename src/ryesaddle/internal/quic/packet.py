"""What an agent reads from the header of a QUIC packet."""

from dataclasses import dataclass

from aioquic.buffer import Buffer
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE
from aioquic.quic.packet import QuicPacketType, pull_quic_header

CID_BYTES = 8
LONG_HEADER_BIT = 0x80


@dataclass(frozen=True, slots=True)
class PacketInfo:
    """Header fields of the first packet of a datagram.

    Attributes
    ----------
    flow_id : bytes
        Destination connection id.
    opens : bool
        Whether it is an Initial packet that may open a flow.
    is_short : bool
        Whether it has a short header, so that a stateless reset may answer it.
    version : int or None
        QUIC version of a long header.
    source_id : bytes
        Source connection id of a long header.
    """

    flow_id: bytes
    opens: bool
    is_short: bool
    version: int | None
    source_id: bytes


def read_packet(payload):
    """Return the `PacketInfo` of a datagram, or None if it is not QUIC."""
    try:
        header = pull_quic_header(Buffer(data=payload), host_cid_length=CID_BYTES)
    except ValueError:
        return None
    opens = (
        header.packet_type == QuicPacketType.INITIAL
        and len(payload) >= SMALLEST_MAX_DATAGRAM_SIZE
    )
    return PacketInfo(
        header.destination_cid,
        opens,
        header.packet_type == QuicPacketType.ONE_RTT,
        header.version,
        header.source_cid,
    )


def may_open(payload):
    """Whether a datagram has a QUIC long header (RFC 8999, section 5.1)."""
    return bool(payload) and bool(payload[0] & LONG_HEADER_BIT)
