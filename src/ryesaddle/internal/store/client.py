"""A client of the object API that settles lost answers."""

import asyncio
import uuid
from contextlib import suppress

from ryesaddle.errors import (
    ConflictError,
    StoreUnavailableError,
    UncertainWriteError,
)
from ryesaddle.internal.store.object import WRITE_ID, new_object
from ryesaddle.internal.store.pacing import Backoff, TokenBucket

CALLS_PER_S = 20.0
CALL_BURST = 40
SETTLE_ATTEMPTS = 6
READ_ATTEMPTS = 4


class StoreClient:
    """Reads, conditionally writes and watches objects.

    Parameters
    ----------
    api : ObjectApi
        Makes the single calls.
    rng : random.Random
        Source of jitter.
    backoff : Backoff
        Pauses between attempts.
    metrics : Metrics, optional
        Where calls are counted and timed.
    """

    def __init__(self, api, rng, backoff=Backoff(), metrics=None):  # noqa: B008
        self._metrics = metrics
        self._api = api
        self._rng = rng
        self._backoff = backoff
        self._bucket = TokenBucket(CALLS_PER_S, CALL_BURST)
        self.calls = 0

    async def get(self, kind, name, attempts=READ_ATTEMPTS):
        """Return the `StoreObject`, or None if there is none.

        Raises
        ------
        StoreUnavailableError
            If the object API stays away through all attempts.
        """
        return await self._retry(lambda: self._api.read(kind, name, False), attempts)

    async def list(self, kind, stale=False, attempts=READ_ATTEMPTS):
        """Return a pair: the objects of a kind, and the version to watch from.

        Parameters
        ----------
        kind : str
            Plural resource name.
        stale : bool
            Whether a state that is some seconds old will do.
        attempts : int
            How often to try each page.
        """
        items, after, version = [], "", None
        while True:
            page = await self._retry(
                lambda name=after: self._api.read_page(kind, name, stale), attempts
            )
            items += page.items
            # Changes between two pages are seen again when watching from the first.
            version = version or page.version
            if not page.after:
                return items, version
            after = page.after

    async def write(self, kind, name, spec, version):
        """Create an object (empty ``version``) or update that version of it.

        A lost answer is settled by reading the object back and comparing the
        identifier that each write carries.

        Returns
        -------
        StoreObject
            As the store holds it after this write.

        Raises
        ------
        ConflictError
            If the object has another version now.
        StoreUnavailableError
            If the write certainly did not take effect.
        UncertainWriteError
            If its effect could not be settled.
        """
        write_id = uuid.uuid4().hex
        obj = new_object(kind, name, spec, version, write_id)
        try:
            return await self._write_once(obj)
        except UncertainWriteError:
            return await self._settle(obj)
        except ConflictError:
            # The HTTP client may have sent the request twice on its own, so the
            # conflict can be with this very write.
            held = await self.get(kind, name)
            if held and held.metadata.annotations.get(WRITE_ID) == write_id:
                return held
            raise

    async def delete(self, kind, name, version):
        """Remove that version of an object.

        Raises
        ------
        ConflictError
            If the object has another version now.
        StoreUnavailableError, UncertainWriteError
            If the object may still be there.
        """
        await self._pace()
        await self._api.delete(kind, name, version)

    async def watch(self, kind, version):
        """Yield `WatchEvent` items; see `ObjectApi.watch`."""
        await self._pace()
        async for event in self._api.watch(kind, version):
            yield event

    async def _retry(self, read, attempts):
        for attempt in range(attempts):
            await self._pace()
            try:
                return await self._timed("read", read())
            except StoreUnavailableError as exc:
                if attempt == attempts - 1:
                    raise
                await self._sleep(attempt, exc)

    async def _write_once(self, obj):
        await self._pace()
        return await self._timed("write", self._api.write(obj))

    async def _timed(self, kind, call):
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

    async def _settle(self, obj):
        kind, name = obj.kind, obj.metadata.name
        write_id = obj.metadata.annotations[WRITE_ID]
        for attempt in range(SETTLE_ATTEMPTS):
            await self._sleep(attempt, None)
            try:
                await self._pace()
                found = await self._api.read(kind, name, False)
                if found and found.metadata.annotations.get(WRITE_ID) == write_id:
                    return found
                if found and found.metadata.resource_version != (
                    obj.metadata.resource_version
                ):
                    raise ConflictError(
                        f"{name} was changed by another writer; read it again."
                    )
            except StoreUnavailableError:
                continue
            # The old version is still there: the lost write may yet arrive, and
            # repeating it is safe because only one of the two can match. If the
            # repeat conflicts, the next read tells which write was the other.
            with suppress(StoreUnavailableError, UncertainWriteError, ConflictError):
                return await self._write_once(obj)
        raise UncertainWriteError(
            f"Whether {name} was written is not known; read it again when the object "
            "API is back."
        )

    async def _pace(self):
        self.calls += 1
        delay = self._bucket.delay(asyncio.get_running_loop().time())
        if delay:
            await asyncio.sleep(delay)

    async def _sleep(self, attempt, exc):
        retry_after = getattr(exc, "retry_after", 0.0)
        await asyncio.sleep(self._backoff.delay(attempt, self._rng, retry_after))
