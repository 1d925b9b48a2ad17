"""Object API client with rate limiting, retries and handling of lost responses."""

import asyncio
import uuid
from contextlib import suppress

from ryesaddle.errors import (
    ConflictError,
    StoreUnavailableError,
    UncertainWriteError,
)
from ryesaddle.internal.store.object import WRITE_ID_ANNOTATION, new_object
from ryesaddle.internal.store.pacing import Backoff, TokenBucket

MAX_CALLS_PER_S = 20.0
CALL_BURST = 40
RESOLVE_ATTEMPTS = 6
READ_ATTEMPTS = 4


class StoreClient:
    """Reads, watches and conditionally writes objects.

    Parameters
    ----------
    api : ObjectApi
        Makes the individual calls.
    rng : random.Random
        Source of jitter.
    backoff : Backoff
        Delays between attempts.
    metrics : Metrics, optional
        Receives the counts and durations of calls.

    Attributes
    ----------
    eras : EraTracker
        Tracks the eras of the store; see `ObjectApi`.
    calls : int
        Number of calls made.
    """

    def __init__(self, api, rng, backoff=Backoff(), metrics=None):  # noqa: B008
        self._metrics = metrics
        self._api = api
        self._rng = rng
        self._backoff = backoff
        self._bucket = TokenBucket(MAX_CALLS_PER_S, CALL_BURST)
        self.eras = api.eras
        self.calls = 0

    @property
    def era(self):
        """The latest era of the store; when a call returns, that of its result."""
        return self.eras.era

    async def get(self, kind, name, attempts=READ_ATTEMPTS):
        """Return the `StoreObject`, or None if it does not exist.

        Raises
        ------
        StoreUnavailableError
            If all attempts fail.
        """
        return await self._retry(lambda: self._api.read(kind, name, False), attempts)

    async def list(self, kind, stale=False, attempts=READ_ATTEMPTS):
        """Return the objects of a kind and the resource version to watch from.

        All pages are of one era: if it changes meanwhile, the list starts again.

        Parameters
        ----------
        kind : str
            Plural resource name.
        stale : bool
            Whether a state that is some seconds old is acceptable.
        attempts : int
            Number of attempts for each page.
        """
        items, after, version, era = [], "", None, None
        while True:
            page = await self._retry(
                lambda name=after: self._api.read_page(kind, name, stale), attempts
            )
            if era is not None and era != self.era:
                items, after, version, era = [], "", None, None
                continue
            era = self.era
            items += page.items
            # A watch from the first page's version also reports the changes made
            # while the later pages were read.
            version = version or page.version
            if not page.after:
                return items, version
            after = page.after

    async def write(self, kind, name, spec, version):
        """Create an object (if ``version`` is empty) or replace that version of it.

        If the response is lost, the object is read back: each write stores a unique
        identifier in an annotation, which shows whether it took effect.

        A version that was read in a former era of the store is never sent. The store
        may return from a copy while a write is on its way, so that the revision
        matches by accident; only one writer may therefore write an object that must
        not lose an update.

        Returns
        -------
        StoreObject
            The object as stored by this write.

        Raises
        ------
        ConflictError
            If the object has another version now, or the version is of a former era.
        StoreUnavailableError
            If the write certainly did not take effect.
        UncertainWriteError
            If it could not be determined whether the write took effect.
        """
        write_id, era = uuid.uuid4().hex, self.era
        obj = new_object(kind, name, spec, version, write_id)
        try:
            return await self._write_once(obj)
        except UncertainWriteError:
            return await self._resolve_uncertain_write(obj, era)
        except ConflictError:
            # The HTTP client may have retransmitted the request, so the conflict
            # may be with this same write.
            held = await self.get(kind, name)
            if held and held.metadata.annotations.get(WRITE_ID_ANNOTATION) == write_id:
                return held
            raise

    async def delete(self, kind, name, version):
        """Delete an object if it has this version.

        Raises
        ------
        ConflictError
            If the object has another version now, or the version is of a former era.
        StoreUnavailableError, UncertainWriteError
            If the object may still exist.
        """
        await self._limit_rate()
        await self._api.delete(kind, name, version)

    async def watch(self, kind, version):
        """Yield `WatchEvent` items; see `ObjectApi.watch`."""
        await self._limit_rate()
        async for event in self._api.watch(kind, version):
            yield event

    async def _retry(self, read, attempts):
        for attempt in range(attempts):
            await self._limit_rate()
            try:
                return await self._measure("read", read())
            except StoreUnavailableError as exc:
                if attempt == attempts - 1:
                    raise
                await self._back_off(attempt, exc)

    async def _write_once(self, obj):
        await self._limit_rate()
        return await self._measure("write", self._api.write(obj))

    async def _measure(self, kind, call):
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome = "failed"
        try:
            result = await call
            outcome = "answered"
            return result
        finally:
            if self._metrics is not None:
                self._metrics.observe(f"store.{kind}", loop.time() - started)
                self._metrics.count(f"store.{kind}.{outcome}")

    async def _resolve_uncertain_write(self, obj, era):
        kind, name = obj.kind, obj.metadata.name
        write_id = obj.metadata.annotations[WRITE_ID_ANNOTATION]
        for attempt in range(RESOLVE_ATTEMPTS):
            await self._back_off(attempt, None)
            try:
                await self._limit_rate()
                found = await self._api.read(kind, name, False)
                if (
                    found
                    and found.metadata.annotations.get(WRITE_ID_ANNOTATION) == write_id
                ):
                    return found
                if found and found.metadata.resource_version != (
                    obj.metadata.resource_version
                ):
                    raise ConflictError(
                        f"{name} was changed by another writer; read it again."
                    )
                if obj.metadata.resource_version and era != self.era:
                    raise ConflictError(
                        f"{name} was lost when the store went back; create it again."
                    )
            except StoreUnavailableError:
                continue
            # The old version is still stored. The first write may still arrive, but
            # repeating it is safe: both require the old version, so only one can
            # succeed. After a conflict, the next read shows which write succeeded.
            with suppress(StoreUnavailableError, UncertainWriteError, ConflictError):
                return await self._write_once(obj)
        raise UncertainWriteError(
            f"It is unknown whether the write of {name} took effect; read it again "
            "when the object API is available."
        )

    async def _limit_rate(self):
        self.calls += 1
        delay = self._bucket.reserve(asyncio.get_running_loop().time())
        if delay:
            await asyncio.sleep(delay)

    async def _back_off(self, attempt, exc):
        retry_after = getattr(exc, "retry_after", 0.0)
        await asyncio.sleep(self._backoff.delay(attempt, self._rng, retry_after))
