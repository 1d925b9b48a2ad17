"""Selects the balancers that poll the store for the configuration."""

import msgspec

from ryesaddle.internal.routing.rendezvous import rank_names

READER_COUNT = 2  # one may fail, lose the store or pause without delaying reads
PEER_TIMEOUT_S = 1.0  # four gossip rounds


class _Peer(msgspec.Struct):
    heard_at: float
    read_age_s: float


class ReaderSelection:
    """Selects a few processes to read the store on behalf of all, without a leader.

    A process reads unless ``READER_COUNT`` others that rank before it have read
    recently. Processes that have crashed, stopped sending or lost the store drop out
    of the ranking. If processes disagree about their peers, the only cost is an
    additional read.

    Parameters
    ----------
    node : str
        Name of this process.
    max_read_age_s : float
        Maximum age of a peer's last read for it to count as recent, in seconds.
    """

    def __init__(self, node, max_read_age_s):
        self._node = node
        self._max_read_age_s = max_read_age_s
        self._peers = {}

    def record_read(self, node, read_age_s, now):
        """Record the age of another process's last read of the store, in seconds."""
        self._peers[node] = _Peer(now, read_age_s)

    def should_read(self, now):
        """Return whether this process should read the store now."""
        recent = [
            node
            for node, peer in self._peers.items()
            if now - peer.heard_at <= PEER_TIMEOUT_S
            and peer.read_age_s <= self._max_read_age_s
        ]
        order = rank_names(b"configuration", [self._node, *recent])
        return order.index(self._node) < READER_COUNT
