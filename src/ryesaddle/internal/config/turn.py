"""Decides which balancers read the configuration from the store."""

import msgspec

from ryesaddle.internal.routing.rendezvous import rank_names

READERS = 2  # one may fail, be cut off or pause without a gap
PEER_SILENT_S = 1.0  # four rounds of gossip


class _Peer(msgspec.Struct):
    heard_at: float
    store_age_s: float


class ReadTurn:
    """Lets few processes read for many, without a leader.

    A process reads unless enough others that rank before it have read lately. Who is
    cut off from the store, silent or gone is passed over by itself, and two views
    that differ only cost a call more.

    Parameters
    ----------
    node : str
        This process.
    fresh_s : float
        A read that is not older counts as done, in seconds.
    """

    def __init__(self, node, fresh_s):
        self._node = node
        self._fresh_s = fresh_s
        self._peers = {}

    def heard(self, node, store_age_s, now):
        """Note how long ago another process has last read the store."""
        self._peers[node] = _Peer(now, store_age_s)

    def is_mine(self, now):
        """Whether this process is to read the store now."""
        fresh = [
            node
            for node, peer in self._peers.items()
            if now - peer.heard_at <= PEER_SILENT_S
            and peer.store_age_s <= self._fresh_s
        ]
        order = rank_names(b"configuration", [self._node, *fresh])
        return order.index(self._node) < READERS
