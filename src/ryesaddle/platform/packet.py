"""The platform's packets: a header of 36 bytes, then the data."""

import struct
from socket import inet_aton, inet_ntoa

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow, Packet

HEADER_BYTES = 36
MAX_DATA_BYTES = 1_200

_HEADER = struct.Struct("!IIIHI4s4sHHB5s")
_TOKEN = struct.Struct("!I")
_TOKEN_AT = 8
_FLAGS_AT = 30
_PAD_AT = 31
_NO_TOKEN = b"\0\0\0\0"
_NO_PAD = b"\0\0\0\0\0"

_SYN, _ACK, _FIN, _RST, _BOUNCED = 8, 16, 32, 2, 1
_KNOWN_FLAGS = _SYN | _ACK | _FIN | _RST | _BOUNCED


class PlatformPackets:
    """Reads and builds packets; see `PacketProtocol`.

    ``echo`` and ``pad`` are the only fields that the system may write. Callers and
    targets leave them 0, and a target that returns a packet keeps ``echo``.
    """

    def read_caller(self, data):
        """Return the `Packet` of a caller, or None if it is malformed."""
        fields = _fields(data)
        if fields is None:
            return None
        seq, ack, echo, size, _, src, dst, dport, sport, flags, pad = fields
        if echo or flags & _BOUNCED or pad != _NO_PAD:
            return None
        opens = flags & (_SYN | _ACK | _RST) == _SYN
        return Packet(
            flow=Flow(Address(inet_ntoa(src), sport), Address(inet_ntoa(dst), dport)),
            opens=opens,
            copy=ack if opens else 0,
            has_data=size > 0,
            ends=bool(flags & _FIN),
            resets=bool(flags & _RST),
            sequence_number=seq,
            ack_number=ack,
        )

    def read_target(self, data):
        """Return the `Packet` that a target sent or returned, or None."""
        fields = _fields(data)
        if fields is None:
            return None
        _, ack, echo, size, _, src, dst, dport, sport, flags, _ = fields
        ends = bool(flags & _FIN)
        resets = bool(flags & _RST)
        if flags & _BOUNCED:
            return Packet(
                flow=Flow(
                    Address(inet_ntoa(src), sport), Address(inet_ntoa(dst), dport)
                ),
                opens=flags & (_SYN | _ACK | _RST) == _SYN,
                has_data=size > 0,
                ends=ends,
                resets=resets,
                returned=True,
                token=echo,
                ack_number=ack,
            )
        return Packet(
            flow=Flow(Address(inet_ntoa(dst), dport), Address(inet_ntoa(src), sport)),
            accepts=flags & (_SYN | _ACK) == _SYN | _ACK,
            has_data=size > 0,
            ends=ends,
            resets=resets,
        )

    def with_token(self, data, token):
        """Return ``data`` with ``token`` in its echo field."""
        return b"".join(
            (data[:_TOKEN_AT], _TOKEN.pack(token), data[_TOKEN_AT + _TOKEN.size :])
        )

    def without_token(self, data):
        """Return a returned packet as its caller wrote it."""
        return b"".join(
            (
                data[:_TOKEN_AT],
                _NO_TOKEN,
                data[_TOKEN_AT + _TOKEN.size : _FLAGS_AT],
                bytes((data[_FLAGS_AT] & ~_BOUNCED,)),
                _NO_PAD,
                data[HEADER_BYTES:],
            )
        )

    def reset(self, packet):
        """Return the reset of the flow that ``packet`` of a caller belongs to."""
        caller, front = packet.flow
        return _HEADER.pack(
            0 if packet.opens else packet.ack_number,
            0,
            0,
            0,
            0,
            inet_aton(front.host),
            inet_aton(caller.host),
            caller.port,
            front.port,
            _RST,
            _NO_PAD,
        )


def _fields(data):
    if not HEADER_BYTES <= len(data) <= HEADER_BYTES + MAX_DATA_BYTES:
        return None
    fields = _HEADER.unpack_from(data)
    if fields[3] != len(data) - HEADER_BYTES or fields[9] & ~_KNOWN_FLAGS:
        return None
    return fields
