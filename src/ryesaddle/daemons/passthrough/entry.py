"""Registration of a process by an entry in the store."""

import asyncio
import logging

import msgspec

from ryesaddle.errors import EntryError, StoreError
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.store.pacing import Backoff

log = logging.getLogger(__name__)

# Entries must be written within 2 s after the end of a store outage.
RETRY_BACKOFF = Backoff(0.2, 1.5)
# When the store has gone back, all processes check their entries within this time,
# half of `ERA_SETTLE_S`.
RENEWAL_SPREAD_S = 1.0


class EntryReconciler:
    """Reconciles one entry in the store with its desired content.

    The entry is written only when the desired content has changed, and retried until
    the store has it. In a new era of the store it is read again, and written if it
    differs.

    Parameters
    ----------
    store : StoreClient
        Client of the object API.
    kind, name : str
        Kind and name of the entry.
    rng : random.Random
        Source of jitter.
    kept_fields : tuple of str
        Fields of the stored entry that are kept if the desired content lacks them.

    Attributes
    ----------
    in_sync : asyncio.Event
        Set while the store is known to hold the desired content.
    written : bool
        Whether this process has written the entry.
    """

    def __init__(self, store, kind, name, rng, kept_fields=()):
        self._store = store
        self._kind = kind
        self._name = name
        self._rng = rng
        self._kept_fields = kept_fields
        self._desired = None
        self._has_desired = False
        self._changed = asyncio.Event()
        self._stored = None
        self._known_in_era = None
        self.in_sync = asyncio.Event()
        self.written = False

    def assume_stored(self, stored):
        """Assume that the store holds this version of the entry.

        The next write is then made without reading the entry before. It replaces no
        other version; if there is one, the entry is read again.

        Parameters
        ----------
        stored : StoreObject or None
            The entry, None if the store has none.
        """
        self._stored, self._known_in_era = stored, self._store.era

    def forget_stored(self):
        """Read the entry before the next write, as another process has changed it."""
        self._stored, self._known_in_era = None, None

    def renew(self):
        """Check the entry within `RENEWAL_SPREAD_S`, since the store has gone back.

        A change of the desired content is written at once.
        """
        if not self._has_desired:
            return
        self.in_sync.clear()
        delay_s = self._rng.uniform(0, RENEWAL_SPREAD_S)
        asyncio.get_running_loop().call_later(delay_s, self._changed.set)

    def verify(self):
        """Check the entry now, since another process may have deleted it."""
        if not self._has_desired:
            return
        self.forget_stored()
        self.in_sync.clear()
        self._changed.set()

    def set_desired(self, entry):
        """Set the desired content: a struct, or None to delete the entry."""
        # In the form that the store returns, since JSON has no tuples.
        self._desired = msgspec.json.decode(msgspec.json.encode(entry))
        self._has_desired = True
        self.in_sync.clear()
        self._changed.set()

    async def run(self):
        """Reconcile the entry after each change until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._reconcile_with_retries()

    async def _reconcile_with_retries(self):
        attempt = 0
        while not self._changed.is_set():
            try:
                await self._reconcile()
            except StoreError as exc:
                self.forget_stored()
                warn(
                    log,
                    "entry-not-written",
                    kind=self._kind,
                    name=self._name,
                    attempt=attempt,
                    reason=exc,
                )
                await asyncio.sleep(RETRY_BACKOFF.delay(attempt, self._rng))
                attempt += 1
                continue
            # The desired content may have changed while this one was written.
            if not self._changed.is_set():
                self.in_sync.set()
            return

    async def _reconcile(self):
        desired = self._desired
        stored = await self._read_stored()
        version = stored.metadata.resource_version if stored else ""
        if desired is None:
            if stored is not None:
                await self._store.delete(self._kind, self._name, version)
                self.assume_stored(None)
                event(log, "entry-removed", kind=self._kind, name=self._name)
            return
        if stored is not None:
            kept = {k: v for k, v in stored.spec.items() if k in self._kept_fields}
            desired = {**kept, **desired}
            if stored.spec == desired:
                return
        written = await self._store.write(self._kind, self._name, desired, version)
        self.assume_stored(written)
        self.written = True
        event(log, "entry-written", kind=self._kind, name=self._name, spec=desired)

    async def _read_stored(self):
        if self._known_in_era != self._store.era:
            stored = await self._store.get(self._kind, self._name, attempts=1)
            self.assume_stored(stored)
        return self._stored


async def list_entries(store, kind, struct, stale=False):
    """Return the entries of a kind by name; malformed ones are skipped and logged.

    Raises
    ------
    StoreUnavailableError
        If the store does not answer.
    """
    objects, _ = await store.list(kind, stale, attempts=1)
    entries = {}
    for obj in objects:
        name = obj.metadata.name
        try:
            entry = msgspec.convert(obj.spec, struct)
            check_entry(entry)
        except (msgspec.ValidationError, EntryError) as exc:
            warn(log, "entry-skipped", kind=kind, name=name, reason=exc)
        else:
            entries[name] = entry
    return entries


def valid_entries(entries, source):
    """Return the entries that pass `check_entry`; the others are logged.

    An older version passes on what it found in the store.

    Parameters
    ----------
    entries : iterable of BalancerEntry or TargetEntry
        Entries that another process has sent.
    source : Address
        The process that has sent them.
    """
    valid = []
    for entry in entries:
        try:
            check_entry(entry)
        except EntryError as exc:
            warn(log, "entry-skipped", name=entry.node, source=source, reason=exc)
        else:
            valid.append(entry)
    return valid


def check_entry(entry):
    """Check what the types of an entry do not tell, as another may have written it.

    Raises
    ------
    EntryError
        If no message can be sent to an address of the entry.
    """
    for address in (entry.address, entry.control):
        if address is not None and not address.is_numeric():
            raise EntryError(f"{address} is no IP number and port; delete the entry.")
