"""The interface that every object API client implements."""

from typing import Protocol

import msgspec

from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.store.object import StoreObject


class Page(msgspec.Struct, frozen=True):
    """One page of a paginated list.

    Attributes
    ----------
    items : tuple of StoreObject
        The objects of the page; those that could not be read are left out.
    version : str
        Resource version to start a watch from, in the era of the answer.
    after : str
        Name after which the next page starts; empty on the last page.
    """

    items: tuple[StoreObject, ...]
    version: str
    after: str = ""


class ObjectApi(Protocol):
    """Makes single calls to the object API, without retries.

    Reads raise `StoreUnavailableError` if they fail. Writes raise it only if they
    certainly had no effect, `ConflictError` if the object has another version, and
    `UncertainWriteError` if the response was lost, so that the effect is unknown.

    An answer of a lower era than one seen before counts as lost. When a call
    returns, ``eras.era`` is the era of its result. A write or a deletion with a
    version of a former era raises `ConflictError` and is not sent.

    Attributes
    ----------
    eras : EraTracker
        Tracks the eras of the store; stays at 0 for a store that has none.
    """

    eras: EraTracker

    async def read(self, kind, name, stale):
        """Return the `StoreObject`, or None; ``stale`` permits a stale read."""

    async def read_page(self, kind, after, stale):
        """Return the `Page` of objects whose names sort after ``after``."""

    async def write(self, obj):
        """Create an object (if it has no version) or replace it; return the result."""

    async def delete(self, kind, name, version):
        """Delete an object if it has this version."""

    def watch(self, kind, version):
        """Yield `WatchEvent` items; raise `GoneError` if ``version`` was compacted."""
