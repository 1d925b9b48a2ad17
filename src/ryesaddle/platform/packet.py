"""The platform's packet format: a header of 36 bytes, followed by the data."""

import struct
from socket import inet_aton, inet_ntoa

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow, Packet

HEADER_BYTES = 36
MAX_DATA_BYTES = 1_200

_HEADER = struct.Struct("!IIIHI4s4sHHB5s")
_ECHO = struct.Struct("!I")
_ECHO_OFFSET = 8
_FLAGS_OFFSET = 30
_ZERO_ECHO = b"\0\0\0\0"
_ZERO_PAD = b"\0\0\0\0\0"

_SYN, _ACK, _FIN, _RST, _BOUNCED = 8, 16, 32, 2, 1
_KNOWN_FLAGS = _SYN | _ACK | _FIN | _RST | _BOUNCED


class PlatformPackets:
    """Parses and builds packets; see `PacketProtocol`.

    The load balancer may write only the fields ``echo`` and ``pad``. Callers and
    targets set them to 0, but a target that returns a packet keeps its ``echo``.
    """

    def read_caller(self, data):
        """Return the `Packet` in a caller's datagram, or None if it is malformed."""
        fields = _unpack_header(data)
        if fields is None:
            return None
        seq, ack, echo, size, _, src, dst, dport, sport, flags, pad = fields
        if echo or flags & _BOUNCED or pad != _ZERO_PAD:
            return None
        opens = flags & (_SYN | _ACK | _RST) == _SYN
        return Packet(
            flow=Flow(Address(inet_ntoa(src), sport), Address(inet_ntoa(dst), dport)),
            opens=opens,
            copy=ack if opens else 0,
            has_data=size > 0,
            data_size=size,
            ends=bool(flags & _FIN),
            resets=bool(flags & _RST),
            sequence_number=seq,
            ack_number=ack,
        )

    def read_target(self, data):
        """Return the `Packet` that a target sent or returned.

        The result is None if the datagram is malformed.
        """
        fields = _unpack_header(data)
        if fields is None:
            return None
        seq, ack, echo, size, _, src, dst, dport, sport, flags, _ = fields
        ends = bool(flags & _FIN)
        resets = bool(flags & _RST)
        if flags & _BOUNCED:
            return Packet(
                flow=Flow(
                    Address(inet_ntoa(src), sport), Address(inet_ntoa(dst), dport)
                ),
                opens=flags & (_SYN | _ACK | _RST) == _SYN,
                has_data=size > 0,
                data_size=size,
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
            data_size=size,
            ends=ends,
            resets=resets,
            sequence_number=seq,
        )

    def with_token(self, data, token):
        """Return ``data`` with ``token`` in its echo field."""
        return b"".join(
            (data[:_ECHO_OFFSET], _ECHO.pack(token), data[_ECHO_OFFSET + _ECHO.size :])
        )

    def without_token(self, data):
        """Return a packet that a target returned, as its caller sent it."""
        return b"".join(
            (
                data[:_ECHO_OFFSET],
                _ZERO_ECHO,
                data[_ECHO_OFFSET + _ECHO.size : _FLAGS_OFFSET],
                bytes((data[_FLAGS_OFFSET] & ~_BOUNCED,)),
                _ZERO_PAD,
                data[HEADER_BYTES:],
            )
        )

    def reset(self, packet):
        """Return the datagram that resets the flow of a caller's ``packet``."""
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
            _ZERO_PAD,
        )


def _unpack_header(data):
    if not HEADER_BYTES <= len(data) <= HEADER_BYTES + MAX_DATA_BYTES:
        return None
    fields = _HEADER.unpack_from(data)
    if fields[3] != len(data) - HEADER_BYTES or fields[9] & ~_KNOWN_FLAGS:
        return None
    return fields
