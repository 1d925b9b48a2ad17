"""What an operator can ask of processes that pass packets through."""

import asyncio

import msgspec

from ryesaddle.daemons.passing.admin import FLOWS_PATH, STATUS_PATH
from ryesaddle.daemons.passing.entry import list_entries
from ryesaddle.daemons.passing.http import HttpError, send_request
from ryesaddle.daemons.passing.peers import BalancerEntry
from ryesaddle.daemons.passing.process import BALANCER_KIND, TARGET_KIND
from ryesaddle.internal.membership.directory import TargetEntry

ANSWER_S = 2.0


class PassingOperator:
    """Asks every process that is registered in the store.

    Parameters
    ----------
    store : StoreClient
        Client of the object API.
    """

    def __init__(self, store):
        self._store = store

    async def status(self):
        """Return a dict of node name to status dict, None where there was no answer."""
        return await self._ask_all(STATUS_PATH)

    async def trace(self, caller):
        """Return a dict of node name to what it knows of a caller's flows.

        Parameters
        ----------
        caller : str
            Address and port of the caller, ``HOST:PORT``.
        """
        return await self._ask_all(f"{FLOWS_PATH}{caller}")

    async def _ask_all(self, path):
        balancers = await list_entries(self._store, BALANCER_KIND, BalancerEntry)
        targets = await list_entries(self._store, TARGET_KIND, TargetEntry)
        found = {**balancers, **targets}
        answers = await asyncio.gather(
            *(self._ask(entry.control, path) for entry in found.values())
        )
        return dict(zip(found, answers))

    async def _ask(self, address, path):
        if address is None:
            return None
        try:
            reply = await send_request(address, "GET", path, timeout_s=ANSWER_S)
            return msgspec.json.decode(reply.body) if reply.status == 200 else None
        except (HttpError, msgspec.DecodeError):
            # The report names the processes that did not answer.
            return None
