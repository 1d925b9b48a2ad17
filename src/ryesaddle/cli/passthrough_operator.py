"""The operator's commands for balancers and agents that forward packets."""

import asyncio

import msgspec

from ryesaddle.daemons.passthrough.admin import FLOWS_PATH, STATUS_PATH
from ryesaddle.daemons.passthrough.entry import list_entries
from ryesaddle.daemons.passthrough.http import HttpError, send_request
from ryesaddle.daemons.passthrough.peers import BalancerEntry
from ryesaddle.daemons.passthrough.process import BALANCER_KIND, TARGET_KIND
from ryesaddle.internal.membership.directory import TargetEntry

REPLY_TIMEOUT_S = 2.0


class PassthroughOperator:
    """Queries every process that is registered in the store.

    Parameters
    ----------
    store : StoreClient
        Client of the object API.
    """

    def __init__(self, store):
        self._store = store

    async def status(self):
        """Return the status of each node by name, None if it did not answer."""
        return await self._query_all(STATUS_PATH)

    async def trace(self, caller):
        """Return the flows of a caller by node name, None if a node did not answer.

        Parameters
        ----------
        caller : str
            Address and port of the caller, ``HOST:PORT``.
        """
        return await self._query_all(f"{FLOWS_PATH}{caller}")

    async def _query_all(self, path):
        balancers = await list_entries(self._store, BALANCER_KIND, BalancerEntry)
        targets = await list_entries(self._store, TARGET_KIND, TargetEntry)
        entries = {**balancers, **targets}
        replies = await asyncio.gather(
            *(self._query(entry.control, path) for entry in entries.values())
        )
        return dict(zip(entries, replies))

    async def _query(self, address, path):
        if address is None:
            return None
        try:
            reply = await send_request(address, "GET", path, timeout_s=REPLY_TIMEOUT_S)
            return msgspec.json.decode(reply.body) if reply.status == 200 else None
        except (HttpError, msgspec.DecodeError):
            # The printed report names the processes that did not answer.
            return None
