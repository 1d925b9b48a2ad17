"""Collects the lookups of many flows into few datagrams."""

import msgspec

from ryesaddle.internal.wire.passthrough import LookupItem

MAX_BATCH_BYTES = 1_200  # of one datagram, as in the packets of callers
ITEM_BYTES = 40  # of an encoded flow, besides its packet


class _Batch(msgspec.Struct):
    items: list[LookupItem] = []
    size: int = 0


class LookupBatches:
    """Lookups that wait to be sent, by agent.

    Addresses a power loss, after which thousands of flows are searched at all agents
    at once: a datagram costs several times as much as one more flow in it.
    """

    def __init__(self):
        self._batches = {}

    def add(self, node, item):
        """Add a `LookupItem` for an agent; return the items to send now, if any."""
        batch = self._batches.get(node)
        if batch is None:
            batch = self._batches[node] = _Batch()
        full = ()
        size = ITEM_BYTES + len(item.payload)
        if batch.items and batch.size + size > MAX_BATCH_BYTES:
            full = tuple(batch.items)
            batch.items, batch.size = [], 0
        batch.items.append(item)
        batch.size += size
        return full

    def pop_all(self):
        """Return and remove all remaining items as (agent, items) pairs."""
        batches, self._batches = self._batches, {}
        return [(node, tuple(batch.items)) for node, batch in batches.items()]
