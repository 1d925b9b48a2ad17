"""Keeps the entry of one process in the store as it should be."""

import asyncio
import logging

import msgspec

from ryesaddle.errors import StoreError
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.store.pacing import Backoff

log = logging.getLogger(__name__)

RETRY = Backoff(0.2, 1.5)  # an entry is to be back 2 s after the store is


class EntryKeeper:
    """Writes an entry on change only, until the store has it.

    Parameters
    ----------
    store : StoreClient
        Client of the object API.
    kind, name : str
        The entry.
    rng : random.Random
        Source of jitter.

    Attributes
    ----------
    settled : asyncio.Event
        Set while the store is known to hold what is wanted.
    written : bool
        Whether this process had to write the entry.
    """

    def __init__(self, store, kind, name, rng):
        self._store = store
        self._kind = kind
        self._name = name
        self._rng = rng
        self._wanted = None
        self._changed = asyncio.Event()
        self.settled = asyncio.Event()
        self.written = False

    def want(self, entry):
        """Have the store hold ``entry``, a struct, or nothing if it is None."""
        # As the store gives it back: JSON has no tuples.
        self._wanted = msgspec.json.decode(msgspec.json.encode(entry))
        self.settled.clear()
        self._changed.set()

    async def run(self):
        """Write what is wanted until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._settle()

    async def _settle(self):
        attempt = 0
        while not self._changed.is_set():
            try:
                await self._bring()
            except StoreError as exc:
                warn(
                    log,
                    "entry-not-written",
                    kind=self._kind,
                    name=self._name,
                    attempt=attempt,
                    reason=exc,
                )
                await asyncio.sleep(RETRY.delay(attempt, self._rng))
                attempt += 1
                continue
            self.settled.set()
            return

    async def _bring(self):
        wanted = self._wanted
        held = await self._store.get(self._kind, self._name, attempts=1)
        version = held.metadata.resource_version if held else ""
        if wanted is None:
            if held is not None:
                await self._store.delete(self._kind, self._name, version)
                event(log, "entry-removed", kind=self._kind, name=self._name)
            return
        if held is not None and held.spec == wanted:
            return
        await self._store.write(self._kind, self._name, wanted, version)
        self.written = True
        event(log, "entry-written", kind=self._kind, name=self._name, spec=wanted)


async def list_entries(store, kind, struct, stale=False):
    """Return the entries of a kind by name; malformed ones are left out and logged.

    Raises
    ------
    StoreUnavailableError
        If the store does not answer.
    """
    objects, _ = await store.list(kind, stale, attempts=1)
    entries = {}
    for obj in objects:
        try:
            entries[obj.metadata.name] = msgspec.convert(obj.spec, struct)
        except msgspec.ValidationError as exc:
            warn(log, "entry-skipped", kind=kind, name=obj.metadata.name, reason=exc)
    return entries
