"""Keeps the routes of a balancer up to date."""

import asyncio
import logging

from ryesaddle.errors import StoreError
from ryesaddle.internal.config.reader_selection import ReaderSelection
from ryesaddle.internal.log import event, warn

log = logging.getLogger(__name__)

# Reads within the bound for a change: one may fail, another balancer steps in for
# the next, and gossip and a fetch follow.
READS_IN_BOUND = 4
MAX_READ_S = 0.8  # keeps the calls of two readers at a small share of the store's
FRESH_READS = 2  # a read that was skipped is not yet a reason to step in
NEVER_S = 3_600.0  # age of the last read, told to others when there was none


class RouteFollower:
    """Reads the configuration when it is this balancer's turn.

    A watch alone would not do: the store may let one hear nothing of a change.

    Parameters
    ----------
    node : str
        This balancer.
    source : callable
        Coroutine function that returns the newest `RouteTable` of the store.
    bound_s : float
        Time within which a change must be in force, in seconds.

    Attributes
    ----------
    routes : RouteTable or None
        The configuration in force.
    """

    def __init__(self, node, source, bound_s):
        self._source = source
        self._read_s = min(MAX_READ_S, bound_s / READS_IN_BOUND)
        self._turn = ReaderSelection(node, FRESH_READS * self._read_s)
        self._read_at = None
        self._failing = False
        self.routes = None

    @property
    def version(self):
        """Version of the configuration in force; 0 if there is none."""
        return self.routes.version if self.routes else 0

    def read_age_s(self, now):
        """Return the time since the store was last read, in seconds."""
        return NEVER_S if self._read_at is None else now - self._read_at

    def heard(self, node, read_age_s, now):
        """Note how long ago another balancer has read the store."""
        self._turn.record_read(node, read_age_s, now)

    async def run(self):
        """Read when it is due, until cancelled."""
        while True:
            await asyncio.sleep(self._read_s)
            if self.routes is None or self._turn.should_read(self._now()):
                await self.read()

    async def read(self):
        """Read the store once; return whether it answered."""
        started = self._now()
        try:
            table = await self._source()
        except StoreError as exc:
            if not self._failing:
                warn(log, "store-lost", version=self.version, reason=exc)
            self._failing = True
            return False
        if self._failing:
            age_s = round(self.read_age_s(self._now()), 1)
            event(log, "store-regained", version=self.version, age_s=age_s)
        self._failing = False
        self._read_at = started
        if table is not None:
            self.install(table, "store")
        return True

    def install(self, table, source):
        """Take a configuration unless it is older than the one in force."""
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
        self.routes = table

    def _now(self):
        return asyncio.get_running_loop().time()
