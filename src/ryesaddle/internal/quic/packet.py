"""Parses the headers of QUIC packets."""

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
        Destination connection ID.
    may_open_flow : bool
        Whether it is an Initial packet in a datagram that is long enough to open a
        flow (RFC 9000, section 14.1).
    has_short_header : bool
        Whether it has a short header, so that it may be answered by a stateless
        reset.
    version : int or None
        QUIC version, in a long header.
    source_id : bytes
        Source connection ID, in a long header.
    """

    flow_id: bytes
    may_open_flow: bool
    has_short_header: bool
    version: int | None
    source_id: bytes


def read_packet(payload):
    """Return the `PacketInfo` of a datagram, or None if it is not QUIC."""
    try:
        header = pull_quic_header(Buffer(data=payload), host_cid_length=CID_BYTES)
    except ValueError:
        return None
    may_open_flow = (
        header.packet_type == QuicPacketType.INITIAL
        and len(payload) >= SMALLEST_MAX_DATAGRAM_SIZE
    )
    return PacketInfo(
        header.destination_cid,
        may_open_flow,
        header.packet_type == QuicPacketType.ONE_RTT,
        header.version,
        header.source_cid,
    )


def has_long_header(payload):
    """Whether a datagram has a QUIC long header (RFC 8999, section 5.1)."""
    return bool(payload) and bool(payload[0] & LONG_HEADER_BIT)
