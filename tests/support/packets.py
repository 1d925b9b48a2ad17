"""Builds and inspects packets of the platform, independently of `PlatformPackets`."""

import struct
from socket import inet_aton

SYN, ACK, FIN, RST, BOUNCED = 8, 16, 32, 2, 1
HEADER = struct.Struct("!IIIHI4s4sHHB5s")
CHECKSUM = 0xA1B2C3D5


def packet(src, dst, flags, seq=0, ack=0, data=b"", echo=0, pad=b"\0" * 5):
    """Return a packet from ``src`` to ``dst``, each a (host, port) pair."""
    header = HEADER.pack(
        seq,
        ack,
        echo,
        len(data),
        CHECKSUM,
        inet_aton(src[0]),
        inet_aton(dst[0]),
        dst[1],
        src[1],
        flags,
        pad,
    )
    return header + data


def returned(data):
    """Return a packet as a target returns it: bounced flag set, ``pad`` cleared."""
    fields = list(HEADER.unpack_from(data))
    fields[9] |= BOUNCED
    fields[10] = b"\0" * 5
    return HEADER.pack(*fields) + data[HEADER.size :]


def flags_of(data):
    """Return the flags of a packet."""
    return HEADER.unpack_from(data)[9]


def endpoints_of(data):
    """Return the source and the destination of a packet as (host, port) pairs."""
    fields = HEADER.unpack_from(data)
    src = ".".join(map(str, fields[5]))
    dst = ".".join(map(str, fields[6]))
    return (src, fields[8]), (dst, fields[7])


def without_mutable_fields(data):
    """Return a packet with ``echo``, ``pad`` and the bounced flag set to 0.

    Balancers and agents may write ``echo`` and ``pad``, and a target that returns a
    packet sets the flag. All other fields and the data must arrive unchanged.
    """
    fields = list(HEADER.unpack_from(data))
    fields[2], fields[10] = 0, b"\0" * 5
    fields[9] &= ~BOUNCED
    return HEADER.pack(*fields) + data[HEADER.size :]
