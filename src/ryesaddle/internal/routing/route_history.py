"""Differences between versions of the route table."""

from collections import deque

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.route import Route, RouteTable

# A change of the configuration takes effect within seconds, and versions that were read
# one after the other are at least a read apart. An entry takes a few references.
MAX_VERSIONS = 64


class RouteChange(msgspec.Struct, frozen=True, array_like=True):
    """What to change in an earlier version of a `RouteTable` to get a later one.

    Attributes
    ----------
    version : int
        Version of the table after the change.
    digest : int
        Digest of that table.
    put : tuple of (Address, Route)
        Routes that were added or replaced.
    removed : tuple of Address
        Service addresses of routes that are in the later version no more.
    idle_s, warm_up_per_s
        As in `RouteTable`, after the change.
    """

    version: int
    digest: int
    put: tuple[tuple[Address, Route], ...]
    removed: tuple[Address, ...]
    idle_s: float
    warm_up_per_s: tuple[tuple[str, float], ...] = ()

    def apply(self, table):
        """Return the later `RouteTable`; None if it differs from the sender's.

        It differs if the sender has not seen a version between its own and that of
        ``table``, or if the store has lost changes and given their versions again.
        """
        routes = {**table.by_address, **dict(self.put)}
        for front in self.removed:
            routes.pop(front, None)
        later = RouteTable(
            self.version, tuple(routes.items()), self.idle_s, self.warm_up_per_s
        )
        return later if later.digest == self.digest else None


class RouteHistory:
    """Remembers which routes each version that this process has used has changed.

    Addresses a configuration that changes many times a second while it has thousands
    of routes: each process that is told of a new version fetches only what differs.

    Parameters
    ----------
    max_versions : int
        Number of versions that are remembered.
    """

    def __init__(self, max_versions=MAX_VERSIONS):
        # Pairs of a version and the service addresses that it has changed.
        self._versions = deque(maxlen=max_versions)

    def record(self, before, table):
        """Record that ``table`` has replaced ``before``, which may be None."""
        changed = () if before is None else _changed_addresses(before, table)
        self._versions.append((table.version, changed))

    def change_since(self, version, table):
        """Return the `RouteChange` from a version to ``table``, the one recorded last.

        Returns
        -------
        RouteChange or None
            None if ``version`` is older than all that are remembered. If this process
            has not used ``version``, the change starts from the one before it.
        """
        if not self._versions or self._versions[0][0] > version:
            return None
        changed = {}
        for later, addresses in reversed(self._versions):
            if later <= version:
                break
            changed.update(dict.fromkeys(addresses))
        routes = table.by_address
        return RouteChange(
            version=table.version,
            digest=table.digest,
            put=tuple((front, routes[front]) for front in changed if front in routes),
            removed=tuple(front for front in changed if front not in routes),
            idle_s=table.idle_s,
            warm_up_per_s=table.warm_up_per_s,
        )


def _changed_addresses(before, after):
    """Return the service addresses whose routes differ between two tables."""
    old, new = before.by_address, after.by_address
    changed = [front for front, route in new.items() if old.get(front) != route]
    return (*changed, *(front for front in old if front not in new))
