"""The platform's metadata store as an `ObjectApi`."""

import asyncio
import re

import msgspec

from ryesaddle.daemons.passthrough.http import HttpError, send_request
from ryesaddle.errors import (
    ConflictError,
    GoneError,
    StoreUnavailableError,
    UncertainWriteError,
)
from ryesaddle.internal.store.api import Page
from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.store.object import Metadata, StoreObject, WatchEvent

PREFIX = "/ryesaddle/objects"
CALL_TIMEOUT_S = 2.0  # the store answers within 4 ms, within 400 ms when it is slow
WATCH_WAIT_S = 20.0  # the store permits up to 30 s
WATCH_ROUND_TRIP_S = 2.0  # added to the wait for the round trip to the store
ANNOTATIONS = "annotations"
UNRESERVED = re.compile(r"[A-Za-z0-9._~-]+")  # RFC 3986, section 2.3
CONTENT = "content"
ERA_HEADER = "store-era"


class _Meta(msgspec.Struct, frozen=True):
    name: str
    revision: int = 0


class _Object(msgspec.Struct, frozen=True):
    meta: _Meta
    spec: object = None


class _Page(msgspec.Struct, frozen=True, rename="camel"):
    items: list[msgspec.Raw]
    more: bool = False
    current_rev: int = 0


class _Event(msgspec.Struct, frozen=True):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct, frozen=True, rename="camel"):
    events: list[_Event]
    current_rev: int


class PlatformObjects:
    """Client of the metadata store; see `ObjectApi`.

    The store has no annotations on its objects. Objects written by this class
    keep them in the specification, beside the content proper.

    Revisions are issued again in a new era of the store. The resource version of an
    object therefore holds its era and its revision, and is valid in its era only.

    Parameters
    ----------
    address : callable
        Returns the present `Address` of the store.

    Attributes
    ----------
    eras : EraTracker
        Tracks the era that the store names in its answers.
    """

    def __init__(self, address):
        self._address = address
        self.eras = EraTracker()

    async def read(self, kind, name, stale=False):
        """Return the `StoreObject`, or None if it does not exist."""
        query = "?allowStale=1" if stale else ""
        reply = await self._get(f"/{kind}/{_quote(name)}{query}")
        return None if reply is None else self._decode(kind, reply.body)

    async def read_page(self, kind, after="", stale=False):
        """Return a `Page`; objects that cannot be decoded are skipped."""
        query = [f"after={_quote(after)}"] if after else []
        if stale:
            query.append("allowStale=1")
        path = f"/{kind}" + ("?" + "&".join(query) if query else "")
        reply = await self._get(path)
        if reply is None:
            return Page((), "0")
        try:
            page = msgspec.json.decode(reply.body, type=_Page)
        except msgspec.DecodeError as exc:
            raise StoreUnavailableError(
                f"Store sent a malformed list ({exc}); retry."
            ) from exc
        items = [self._decode_or_none(kind, raw) for raw in page.items]
        found = tuple(item for item in items if item is not None)
        last = _name_of_last(page.items) if page.more else ""
        return Page(found, str(page.current_rev), last)

    async def write(self, obj):
        """Create or replace an object; return it as the store holds it."""
        meta = {"name": obj.metadata.name}
        spec = {ANNOTATIONS: obj.metadata.annotations, CONTENT: obj.spec}
        if obj.metadata.resource_version:
            meta["revision"] = self._current_revision(obj.metadata.resource_version)
            path = f"/{obj.kind}/{_quote(obj.metadata.name)}"
            method = "PUT"
        else:
            method, path = "POST", f"/{obj.kind}"
        body = msgspec.json.encode({"meta": meta, "spec": spec})
        reply = await self._send_write(method, path, body)
        return self._decode(obj.kind, reply.body)

    async def delete(self, kind, name, version):
        """Delete a version of an object; do nothing if the object does not exist."""
        revision = self._current_revision(version)
        path = f"/{kind}/{_quote(name)}?revision={revision}"
        await self._send_write("DELETE", path, None, missing_ok=True)

    async def watch(self, kind, version):
        """Yield the `WatchEvent` items of a kind after ``version``, of one request.

        The last one is a ``BOOKMARK`` with the version to watch from next.

        Raises
        ------
        GoneError
            If the store has discarded the history after ``version``, so that the
            objects must be listed again.
        StoreUnavailableError
            If the store does not answer.
        """
        wait_ms = int(WATCH_WAIT_S * 1000)
        path = f"/{kind}?watch={version}&waitMs={wait_ms}"
        reply = await self._get(path, WATCH_WAIT_S + WATCH_ROUND_TRIP_S)
        if reply is None:
            raise GoneError("Kind no longer exists; list again.")
        try:
            events = msgspec.json.decode(reply.body, type=_Events)
        except msgspec.DecodeError as exc:
            raise StoreUnavailableError(
                f"Store sent malformed events ({exc}); retry."
            ) from exc
        for event in events.events:
            obj = self._decode_or_none(kind, event.object)
            if obj is not None:
                body = msgspec.to_builtins(obj)
                yield WatchEvent("DELETED" if event.deleted else "MODIFIED", body)
        metadata = {"name": "", "resourceVersion": str(events.current_rev)}
        yield WatchEvent("BOOKMARK", {"kind": kind, "metadata": metadata})

    async def _get(self, path, timeout_s=None):
        timeout_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
        try:
            reply = await send_request(
                self._address(), "GET", PREFIX + path, timeout_s=timeout_s
            )
        except HttpError as exc:
            raise StoreUnavailableError(
                f"Store did not answer ({exc}); retry later."
            ) from exc
        if not self._observe_era(reply):
            raise StoreUnavailableError("Answer is of a former era; retry.")
        if reply.status == 404:
            return None
        _raise_for_status(reply)
        return reply

    async def _send_write(self, method, path, body, missing_ok=False):
        try:
            reply = await send_request(
                self._address(), method, PREFIX + path, body, CALL_TIMEOUT_S
            )
        except HttpError as exc:
            if exc.sent:
                raise UncertainWriteError(
                    f"Write was sent, but its answer was lost ({exc})."
                ) from exc
            raise StoreUnavailableError(
                f"Store cannot be reached ({exc}); retry later."
            ) from exc
        if not self._observe_era(reply):
            raise UncertainWriteError("Write was answered in a former era.")
        if reply.status == 404:
            if missing_ok:
                return reply
            raise ConflictError("Object no longer exists; create it again.")
        _raise_for_status(reply)
        return reply

    def _observe_era(self, reply):
        """Record the era of an answer; return whether the answer is valid."""
        era = _parse_era(reply.headers.get(ERA_HEADER, ""))
        return self.eras.observe(era, asyncio.get_running_loop().time())

    def _current_revision(self, version):
        """Return the revision in a resource version of the current era.

        Raises
        ------
        ConflictError
            If the version is of a former era. Its revision may belong to other
            content now.
        """
        era, _, revision = version.partition(".")
        if int(era) != self.eras.era:
            raise ConflictError("Object was read in a former era; read it again.")
        return int(revision)

    def _decode(self, kind, body):
        # The answer was of the current era, otherwise it would have been rejected.
        return _decode_object(kind, body, self.eras.era)

    def _decode_or_none(self, kind, raw):
        try:
            return self._decode(kind, raw)
        except StoreUnavailableError:
            return None


def _parse_era(text):
    return int(text) if text.isascii() and text.isdigit() else 0


def _quote(name):
    """Return a name as a path segment."""
    if UNRESERVED.fullmatch(name):
        return name
    # Imported only for unusual names, since the import delays the start of a process.
    from urllib.parse import quote

    return quote(name, safe="")


def _raise_for_status(reply):
    if reply.status < 300:
        return
    if reply.status == 409:
        raise ConflictError("Object was changed by another writer; read it again.")
    if reply.status == 410:
        raise GoneError("Watch history has been discarded; list again.")
    raise StoreUnavailableError(f"Store answered {reply.status}; retry later.")


def _decode_object(kind, body, era):
    try:
        decoded = msgspec.json.decode(body, type=_Object)
    except msgspec.DecodeError as exc:
        raise StoreUnavailableError(
            f"Store sent a malformed object ({exc}); retry or repair it."
        ) from exc
    spec, annotations = decoded.spec, {}
    if isinstance(spec, dict) and spec.keys() == {ANNOTATIONS, CONTENT}:
        if isinstance(spec[ANNOTATIONS], dict):
            annotations = {k: str(v) for k, v in spec[ANNOTATIONS].items()}
        spec = spec[CONTENT]
    if not isinstance(spec, dict):
        spec = {}
    version = f"{era}.{decoded.meta.revision}"
    return StoreObject(kind, Metadata(decoded.meta.name, version, annotations), spec)


def _name_of_last(items):
    try:
        return msgspec.json.decode(items[-1], type=_Object).meta.name
    except (IndexError, msgspec.DecodeError):
        return ""
