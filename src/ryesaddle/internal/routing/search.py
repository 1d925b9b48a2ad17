"""Packets sent to an agent that may not hold their flow, until that is known."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.routing.packet import Packet
from ryesaddle.internal.wire.passing import Carry

# An agent answers within a few milliseconds whether its target holds a flow; it
# waits 20 ms itself for the target to return the packet.
ANSWER_S = 0.1
MAX_SEARCHES = 2_000  # bounds memory; one for each flow whose holder is not known


class Search(msgspec.Struct, frozen=True):
    """One packet on its way.

    Attributes
    ----------
    packet : Packet
        The packet.
    carry : Carry
        As it was sent; names the agents asked before.
    node : str
        The agent that is asked now.
    sent_at : float
        When it was sent, in seconds on a monotonic clock.
    """

    packet: Packet
    carry: Carry
    node: str
    sent_at: float


class Searches:
    """The searches in progress, one for each flow."""

    def __init__(self):
        self._searches = OrderedDict()

    def __len__(self):
        return len(self._searches)

    def asked(self, packet, carry, node, now):
        """Note that an agent is asked."""
        self._searches.pop(packet.flow, None)
        self._searches[packet.flow] = Search(packet, carry, node, now)
        if len(self._searches) > MAX_SEARCHES:
            self._searches.popitem(last=False)

    def answered(self, flow):
        """Note that the agent has told whether it holds the flow."""
        self._searches.pop(flow, None)

    def overdue(self, now):
        """Take out and return the searches whose agent has not answered."""
        found = []
        while self._searches:
            flow, search = next(iter(self._searches.items()))
            if now - search.sent_at < ANSWER_S:
                break
            del self._searches[flow]
            found.append(search)
        return found
