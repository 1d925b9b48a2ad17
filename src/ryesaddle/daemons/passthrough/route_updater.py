"""Keeps the routes of a balancer and its evacuated data centres up to date."""

import asyncio
import logging
from collections import OrderedDict

from ryesaddle.errors import StoreError
from ryesaddle.internal.config.reader_selection import ReaderSelection
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.routing.route_history import RouteHistory

log = logging.getLogger(__name__)

# Number of reads within the time in which a change must take effect. One read may fail,
# another balancer takes over the next, and gossip and a fetch need time after it.
READS_PER_BOUND = 4
MAX_READ_INTERVAL_S = 0.8  # two readers then cause a small share of the store's calls
FRESH_READ_INTERVALS = 2  # one missed read does not make another balancer step in
NEVER_READ_AGE_S = 3_600.0  # reported as the read age before the first read
MAX_REMOVED_ROUTES = 1_024  # bounds memory; an address and a hash entry each


class RouteUpdater:
    """Polls the store for the configuration if this balancer is selected as a reader.

    A watch alone is not enough, since the store may fail to deliver a change to it.

    Parameters
    ----------
    node : str
        Name of this balancer.
    load_routes : callable
        Coroutine function that returns the newest `RouteTable` in the store.
    bound_s : float
        Time within which a change must take effect, in seconds.
    evacuations : EvacuationMonitor, optional
        Receives the evacuated data centres of each reading.
    load_evacuations : callable, optional
        Coroutine function that returns the `EvacuationState` in the store. Without
        it, evacuations are known from peers only.

    Attributes
    ----------
    routes : RouteTable or None
        The current configuration.
    """

    def __init__(
        self, node, load_routes, bound_s, evacuations=None, load_evacuations=None
    ):
        self._load_routes = load_routes
        self._evacuations = evacuations
        self._load_evacuations = load_evacuations
        self._read_interval_s = min(MAX_READ_INTERVAL_S, bound_s / READS_PER_BOUND)
        self._reader_selection = ReaderSelection(
            node, FRESH_READ_INTERVALS * self._read_interval_s
        )
        self._last_read_at = None
        self._failing = False
        self._removed = OrderedDict()
        self._history = RouteHistory()
        self.routes = None

    @property
    def version(self):
        """Version of the current configuration; 0 if there is none."""
        return self.routes.version if self.routes else 0

    def read_age_s(self, now):
        """Return the time since the last successful read, in seconds."""
        return (
            NEVER_READ_AGE_S if self._last_read_at is None else now - self._last_read_at
        )

    def record_peer_read(self, node, read_age_s, now):
        """Record how long ago another balancer has read the store."""
        self._reader_selection.record_read(node, read_age_s, now)

    async def run(self):
        """Read the store when a read is due, until cancelled."""
        while True:
            await asyncio.sleep(self._read_interval_s)
            if self.routes is None or self._reader_selection.should_read(self._now()):
                await self.read()

    async def read(self):
        """Read the store once; return whether it answered."""
        started = self._now()
        (table, failure), other_failure = await asyncio.gather(
            self._load_table(), self._read_evacuations(started)
        )
        failure = failure or other_failure
        # The first configuration comes into force together with the evacuations, so
        # that a balancer that starts sends no new flow to an evacuated data centre.
        if table is not None and failure is None:
            self.install(table, "store")
        if failure is not None:
            if not self._failing:
                warn(log, "store-lost", version=self.version, reason=failure)
            self._failing = True
            return False
        if self._failing:
            age_s = round(self.read_age_s(self._now()), 1)
            event(log, "store-regained", version=self.version, age_s=age_s)
        self._failing = False
        self._last_read_at = started
        return True

    async def _load_table(self):
        """Return the `RouteTable` or None, and the error of the call or None."""
        try:
            table = await self._load_routes()
        except StoreError as exc:
            return None, exc
        if table is not None and self.routes is not None:
            self.install(table, "store")
        return table, None

    async def _read_evacuations(self, started):
        """Read and apply the evacuations; return the error of the call or None."""
        if self._load_evacuations is None:
            return None
        try:
            reading = await self._load_evacuations()
        except StoreError as exc:
            self._evacuations.record_failed_reading(started)
            return exc
        self._evacuations.apply_reading(reading, started)
        return None

    def install(self, table, source):
        """Use a configuration if it is newer than the current one."""
        if table.version <= self.version:
            return
        event(
            log,
            "configuration",
            version=table.version,
            before=self.version,
            routes=len(table.routes),
            source=source,
        )
        before, self.routes = self.routes, table
        self._history.record(before, table)
        self._record_removed(before, table)

    def apply_change(self, change, source):
        """Use the configuration that a `RouteChange` leads to.

        Returns
        -------
        bool
            False if the change does not apply to the current configuration.
        """
        if change.version <= self.version:
            return True
        table = None if self.routes is None else change.apply(self.routes)
        if table is None:
            return False
        self.install(table, source)
        return True

    def change_since(self, version):
        """Return the `RouteChange` from an earlier version, or None if unknown."""
        return self._history.change_since(version, self.routes)

    def was_removed(self, front):
        """Return whether a newer version than one known here removed a route.

        False for a route that this process has never known: a version that it has not
        seen yet may contain the route.
        """
        return front in self._removed

    def _record_removed(self, before, table):
        if before is not None:
            for front in before.by_address.keys() - table.by_address.keys():
                self._removed[front] = None
        for front in table.by_address:
            self._removed.pop(front, None)
        while len(self._removed) > MAX_REMOVED_ROUTES:
            self._removed.popitem(last=False)

    def _now(self):
        return asyncio.get_running_loop().time()
