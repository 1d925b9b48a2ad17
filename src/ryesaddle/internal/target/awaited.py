"""Which packets at the target may still come back."""

import msgspec

from ryesaddle.internal.wire.passing import ForwardedPacket

MAX_AWAITED = 1_024  # packets that may be returned; a return takes below 1 ms
MAX_TOKEN = 0xFFFFFFFF  # four bytes; 0 stands for none


class Awaited(msgspec.Struct, frozen=True):
    """A packet at the target that may be returned.

    Attributes
    ----------
    token : int
        Attached to the packet.
    payload : bytes
        The packet.
    forwarded : ForwardedPacket or None
        Its envelope; None if it was sent again only to see whether the target
        holds its flow.
    """

    token: int
    payload: bytes
    forwarded: ForwardedPacket | None


class AwaitedPackets:
    """Remembers the last packets by the token that each was sent with."""

    def __init__(self):
        self._items = [None] * MAX_AWAITED
        self._token = 0

    def add(self, payload, forwarded):
        """Remember a packet; return its token."""
        self._token = (self._token + 1) & MAX_TOKEN or 1
        self._items[self._token % MAX_AWAITED] = Awaited(
            self._token, payload, forwarded
        )
        return self._token

    def find(self, token):
        """Return the `Awaited` of a token, or None if it is returned or forgotten."""
        found = self._items[token % MAX_AWAITED]
        return found if found is not None and found.token == token else None

    def take(self, token):
        """Forget a packet that was returned."""
        self._items[token % MAX_AWAITED] = None
