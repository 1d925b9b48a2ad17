"""Packets sent to the target that it may still return."""

import msgspec

from ryesaddle.internal.wire.passthrough import ForwardedPacket

MAX_SENT_PACKETS = 1_024  # last packets remembered; the target returns one within 1 ms
MAX_TOKEN = 0xFFFFFFFF  # four bytes; 0 means no token


class SentPacket(msgspec.Struct, frozen=True):
    """A packet sent to the target.

    Attributes
    ----------
    token : int
        Attached to the packet; the target attaches it to a returned packet.
    payload : bytes
        The packet.
    forwarded : ForwardedPacket or None
        Its envelope; None if the packet was repeated only to check whether the
        target still holds its flow, which has opened there.
    """

    token: int
    payload: bytes
    forwarded: ForwardedPacket | None


class SentPackets:
    """The last packets sent to the target, by token.

    A ring buffer: each new packet replaces the oldest.
    """

    def __init__(self):
        self._ring = [None] * MAX_SENT_PACKETS
        self._token = 0

    def add(self, payload, forwarded):
        """Store a packet; return the token to attach to it."""
        token = self.new_token()
        self._ring[token % MAX_SENT_PACKETS] = SentPacket(token, payload, forwarded)
        return token

    def new_token(self):
        """Return a token for a packet that is tracked elsewhere."""
        self._token = (self._token + 1) & MAX_TOKEN or 1
        return self._token

    def find(self, token):
        """Return the `SentPacket` of a token, or None if it was removed or replaced."""
        found = self._ring[token % MAX_SENT_PACKETS]
        return found if found is not None and found.token == token else None

    def remove(self, token):
        """Remove a packet that the target has returned."""
        self._ring[token % MAX_SENT_PACKETS] = None
