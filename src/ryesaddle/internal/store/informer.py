"""Reports the objects of one kind and their changes by list and watch."""

import asyncio
import logging

import msgspec

from ryesaddle.errors import ConflictError, GoneError, StoreUnavailableError
from ryesaddle.internal.store.object import StoreObject
from ryesaddle.internal.store.pacing import Backoff

log = logging.getLogger(__name__)


class Informer:
    """Lists the objects of a kind, then watches them, and recovers from failures.

    Parameters
    ----------
    client : StoreClient
        Client to use.
    kind : str
        Plural resource name.
    on_change : callable
        Called with the `StoreObject` that was listed, added or modified.
    rng : random.Random
        Source of jitter.
    backoff : Backoff
        Delays between attempts.

    Attributes
    ----------
    synced : asyncio.Event
        Set when the objects have been listed for the first time.
    """

    def __init__(self, client, kind, on_change, rng, backoff=Backoff()):  # noqa: B008
        self._client = client
        self._kind = kind
        self._on_change = on_change
        self._rng = rng
        self._backoff = backoff
        self._version = None
        self._era = 0
        self.synced = asyncio.Event()

    async def run(self):
        """List and watch until cancelled."""
        attempt = 0
        while True:
            try:
                # Revisions are issued again in a new era, so a watch from one of a
                # former era would miss changes.
                if self._version is None or self._era != self._client.era:
                    await self._list()
                await self._watch()
                attempt = 0
            except GoneError:
                self._version = None
            except (StoreUnavailableError, ConflictError) as exc:
                log.warning(
                    "watch-broken",
                    extra={"kv": {"kind": self._kind, "error": str(exc)}},
                )
                attempt += 1
            await asyncio.sleep(self._backoff.delay(attempt, self._rng))

    async def _list(self):
        items, version = await self._client.list(self._kind)
        for item in items:
            self._on_change(item)
        self._version, self._era = version, self._client.era
        self.synced.set()

    async def _watch(self):
        async for event in self._client.watch(self._kind, self._version):
            obj = msgspec.convert(event.object, StoreObject)
            if event.type in ("ADDED", "MODIFIED"):
                self._on_change(obj)
            self._version = obj.metadata.resource_version
