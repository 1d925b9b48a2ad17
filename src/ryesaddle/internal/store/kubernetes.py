"""Client of an object API that follows the Kubernetes API conventions."""

import aiohttp
import msgspec

from ryesaddle.errors import (
    ConflictError,
    GoneError,
    StoreUnavailableError,
    UncertainWriteError,
)
from ryesaddle.internal.store.api import Page
from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.store.object import API_PATH, StoreObject, WatchEvent

CALL_TIMEOUT_S = 3.0
WATCH_TIMEOUT_S = 60


class KubernetesApi:
    """Implements `ObjectApi` over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    session : aiohttp.ClientSession
        HTTP session to use; the caller closes it.

    Attributes
    ----------
    eras : EraTracker
        Stays at 0, since this store never loses what it has acknowledged.
    """

    def __init__(self, url, session):
        self._url = url.rstrip("/") + API_PATH
        self._session = session
        self.eras = EraTracker()

    async def read(self, kind, name, stale=False):
        """Return the `StoreObject`, or None if it does not exist."""
        reply = await self._read(f"/{kind}/{name}")
        return None if reply is None else msgspec.convert(reply, StoreObject)

    async def read_page(self, kind, after="", stale=False):
        """Return all objects of a kind as one `Page`."""
        reply = await self._read(f"/{kind}") or {}
        items = msgspec.convert(reply.get("items", []), tuple[StoreObject, ...])
        return Page(items, reply.get("metadata", {}).get("resourceVersion", "0"))

    async def write(self, obj):
        """Create or replace an object; return it as stored."""
        method, path = ("PUT", f"/{obj.kind}/{obj.metadata.name}")
        if not obj.metadata.resource_version:
            method, path = ("POST", f"/{obj.kind}")
        return await self._write(method, path, obj)

    async def delete(self, kind, name, version):
        """Delete an object if it has this version."""
        await self._write("DELETE", f"/{kind}/{name}?resourceVersion={version}", None)

    async def watch(self, kind, version):
        """Yield `WatchEvent` items of a kind after ``version``.

        The iteration ends when the server closes the watch. To resume, watch from
        the last version received.

        Raises
        ------
        GoneError
            If ``version`` was compacted: list the objects again.
        StoreUnavailableError
            If the watch cannot be opened or is interrupted.
        """
        params = {
            "watch": "1",
            "resourceVersion": version,
            "allowWatchBookmarks": "true",
            "timeoutSeconds": str(WATCH_TIMEOUT_S),
        }
        timeout = aiohttp.ClientTimeout(
            sock_connect=CALL_TIMEOUT_S, sock_read=WATCH_TIMEOUT_S
        )
        try:
            async with self._session.get(
                f"{self._url}/{kind}", params=params, timeout=timeout
            ) as reply:
                _raise_for_status(reply)
                async for line in reply.content:
                    event = msgspec.json.decode(line, type=WatchEvent)
                    if event.type == "ERROR":
                        raise GoneError("Watch version was compacted; list again.")
                    yield event
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise StoreUnavailableError(
                f"Watch was interrupted ({exc!r}); retry."
            ) from exc

    async def _read(self, path):
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(self._url + path, timeout=timeout) as reply:
                if reply.status == 404:
                    return None
                _raise_for_status(reply)
                return msgspec.json.decode(await reply.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise StoreUnavailableError(
                f"Object API did not respond ({exc!r}); retry later."
            ) from exc

    async def _write(self, method, path, obj):
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=None if obj is None else msgspec.json.encode(obj),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as reply:
                # Only a 4xx status proves that the write had no effect; a server
                # error may be reported after it took effect.
                if reply.status >= 500:
                    raise UncertainWriteError("Object API failed during a write.")
                _raise_for_status(reply)
                if obj is None:
                    return None
                return msgspec.json.decode(await reply.read(), type=StoreObject)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailableError(
                f"Object API cannot be reached ({exc!r}); retry later."
            ) from exc
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise UncertainWriteError(
                f"Response to a write was lost ({exc!r})."
            ) from exc


def _raise_for_status(reply):
    if reply.status < 400:
        return
    if reply.status == 409:
        raise ConflictError("Object was changed by another writer; read it again.")
    if reply.status == 410:
        raise GoneError("Watch version was compacted; list again.")
    exc = StoreUnavailableError(
        f"Object API responded with status {reply.status}; "
        "retry later or check store_url."
    )
    exc.retry_after = _parse_retry_after(reply.headers.get("Retry-After"))
    raise exc


def _parse_retry_after(text):
    try:
        return min(float(text or 0), 30.0)
    except ValueError:
        return 0.0
