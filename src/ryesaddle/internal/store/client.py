"""A client of the object API that follows the Kubernetes API conventions."""

import asyncio
import uuid
from contextlib import suppress

import aiohttp
import msgspec

from ryesaddle.errors import (
    ConflictError,
    GoneError,
    StoreUnavailableError,
    UncertainWriteError,
)
from ryesaddle.internal.store.object import (
    API_PATH,
    WRITE_ID,
    StoreObject,
    WatchEvent,
    new_object,
)
from ryesaddle.internal.store.pacing import Backoff, TokenBucket

CALL_TIMEOUT_S = 3.0
CALLS_PER_S = 20.0
CALL_BURST = 40
SETTLE_ATTEMPTS = 6
READ_ATTEMPTS = 4
WATCH_TIMEOUT_S = 60


class StoreClient:
    """Reads, conditionally writes and watches objects.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    session : aiohttp.ClientSession
        Connections to use; the caller closes it.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, url, session, rng, backoff=Backoff()):  # noqa: B008
        self._url = url.rstrip("/") + API_PATH
        self._session = session
        self._rng = rng
        self._backoff = backoff
        self._bucket = TokenBucket(CALLS_PER_S, CALL_BURST)
        self.calls = 0

    async def get(self, kind, name):
        """Return the `StoreObject`, or None if there is none.

        Raises
        ------
        StoreUnavailableError
            If the object API stays away through all attempts.
        """
        reply = await self._read(f"/{kind}/{name}", {})
        return None if reply is None else msgspec.convert(reply, StoreObject)

    async def list(self, kind):
        """Return a pair: the objects of a kind, and the version to watch from."""
        reply = await self._read(f"/{kind}", {}) or {}
        items = msgspec.convert(reply.get("items", []), list[StoreObject])
        return items, reply.get("metadata", {}).get("resourceVersion", "0")

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
            # aiohttp may have sent the request twice on its own, so the conflict
            # can be with this very write.
            held = await self.get(kind, name)
            if held and held.metadata.annotations.get(WRITE_ID) == write_id:
                return held
            raise

    async def watch(self, kind, version):
        """Yield `WatchEvent` items of a kind after ``version``.

        The iteration ends when the server closes the watch; resume it from the
        last version seen.

        Raises
        ------
        GoneError
            If the history after ``version`` is gone: list again.
        StoreUnavailableError
            If the watch cannot be opened or breaks.
        """
        params = {
            "watch": "1",
            "resourceVersion": version,
            "allowWatchBookmarks": "true",
            "timeoutSeconds": str(WATCH_TIMEOUT_S),
        }
        await self._pace()
        timeout = aiohttp.ClientTimeout(
            sock_connect=CALL_TIMEOUT_S, sock_read=WATCH_TIMEOUT_S
        )
        try:
            async with self._session.get(
                f"{self._url}/{kind}", params=params, timeout=timeout
            ) as reply:
                _check(reply)
                async for line in reply.content:
                    event = msgspec.json.decode(line, type=WatchEvent)
                    if event.type == "ERROR":
                        raise GoneError("Watch history is gone; list again.")
                    yield event
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise StoreUnavailableError(f"Watch broke ({exc!r}); retry.") from exc

    async def _read(self, path, params):
        for attempt in range(READ_ATTEMPTS):
            try:
                return await self._read_once(path, params)
            except StoreUnavailableError as exc:
                if attempt == READ_ATTEMPTS - 1:
                    raise
                await self._sleep(attempt, exc)

    async def _read_once(self, path, params):
        await self._pace()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url + path, params=params, timeout=timeout
            ) as reply:
                if reply.status == 404:
                    return None
                _check(reply)
                return msgspec.json.decode(await reply.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise StoreUnavailableError(
                f"Object API did not answer ({exc!r}); retry later."
            ) from exc

    async def _write_once(self, obj):
        await self._pace()
        version = obj.metadata.resource_version
        method, path = ("PUT", f"/{obj.kind}/{obj.metadata.name}")
        if not version:
            method, path = ("POST", f"/{obj.kind}")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=msgspec.json.encode(obj),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as reply:
                # Only a refusal of the request itself proves that it had no
                # effect; a server error may follow a write that took effect.
                if reply.status >= 500:
                    raise UncertainWriteError("Object API failed during a write.")
                _check(reply)
                return msgspec.json.decode(await reply.read(), type=StoreObject)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailableError(
                f"Object API cannot be reached ({exc!r}); retry later."
            ) from exc
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise UncertainWriteError(f"Answer to a write was lost ({exc!r}).") from exc

    async def _settle(self, obj):
        write_id = obj.metadata.annotations[WRITE_ID]
        for attempt in range(SETTLE_ATTEMPTS):
            await self._sleep(attempt, None)
            try:
                held = await self._read_once(f"/{obj.kind}/{obj.metadata.name}", {})
                found = held and msgspec.convert(held, StoreObject)
                if found and found.metadata.annotations.get(WRITE_ID) == write_id:
                    return found
                if found and found.metadata.resource_version != (
                    obj.metadata.resource_version
                ):
                    raise ConflictError(
                        f"{obj.metadata.name} was changed by another writer; read "
                        "it again."
                    )
            except StoreUnavailableError:
                continue
            # The old version is still there: the lost write may yet arrive, and
            # repeating it is safe because only one of the two can match. If the
            # repeat conflicts, the next read tells which write was the other.
            with suppress(StoreUnavailableError, UncertainWriteError, ConflictError):
                return await self._write_once(obj)
        raise UncertainWriteError(
            f"Whether {obj.metadata.name} was written is not known; read it again "
            "when the object API is back."
        )

    async def _pace(self):
        self.calls += 1
        delay = self._bucket.delay(asyncio.get_running_loop().time())
        if delay:
            await asyncio.sleep(delay)

    async def _sleep(self, attempt, exc):
        retry_after = getattr(exc, "retry_after", 0.0)
        await asyncio.sleep(self._backoff.delay(attempt, self._rng, retry_after))


def _check(reply):
    if reply.status < 400:
        return
    if reply.status == 409:
        raise ConflictError("Object was changed by another writer; read it again.")
    if reply.status == 410:
        raise GoneError("Watch history is gone; list again.")
    exc = StoreUnavailableError(
        f"Object API answered {reply.status}; retry later or check store_url."
    )
    exc.retry_after = _seconds(reply.headers.get("Retry-After"))
    raise exc


def _seconds(text):
    try:
        return min(float(text or 0), 30.0)
    except ValueError:
        return 0.0
