"""The calls that every object API offers, whatever its protocol."""

from typing import Protocol

import msgspec

from ryesaddle.internal.store.object import StoreObject


class Page(msgspec.Struct, frozen=True):
    """A part of a list.

    Attributes
    ----------
    items : tuple of StoreObject
        The objects that could be read.
    version : str
        Version of the store to watch from.
    after : str
        Name to continue after; empty on the last page.
    """

    items: tuple[StoreObject, ...]
    version: str
    after: str = ""


class ObjectApi(Protocol):
    """One attempt at each call.

    All of them raise `StoreUnavailableError` if certainly nothing was done, reads
    also if there was no answer. Writes raise `ConflictError` for another version,
    and `UncertainWriteError` if the answer was lost.
    """

    async def read(self, kind, name, stale):
        """Return the `StoreObject`, or None; ``stale`` permits an older state."""

    async def read_page(self, kind, after, stale):
        """Return the `Page` of the objects whose names follow ``after``."""

    async def write(self, obj):
        """Create (if without version) or replace an object; return it as held."""

    async def delete(self, kind, name, version):
        """Remove that version of an object."""

    def watch(self, kind, version):
        """Yield `WatchEvent` items; raise `GoneError` if history is gone."""
