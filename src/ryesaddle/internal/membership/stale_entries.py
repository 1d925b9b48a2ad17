"""Finds store entries of processes that no longer run."""

from ryesaddle.internal.routing.rendezvous import rank_names

STALE_AFTER_S = 20.0  # ten times the longest time that a host takes to recover
MIN_LIVE_FRACTION = 0.5


class StaleEntryDetector:
    """Selects the store entries to remove, normally on one balancer at a time.

    The responsible balancer is the highest-ranked of those that are alive. While
    balancers disagree on who is alive, two of them may be responsible. This is
    safe because each removal is conditional on the version of the entry.

    Parameters
    ----------
    node : str
        Name of this balancer.
    """

    def __init__(self, node):
        self._node = node
        self._missing_since = {}

    def is_responsible(self, live):
        """Whether this balancer is responsible for removing entries.

        Parameters
        ----------
        live : iterable of str
            Names of the other balancers that are alive.
        """
        # All balancers must rank with the same key.
        return rank_names(b"reaper", [self._node, *live])[0] == self._node

    def find_stale(self, listed, live, now):
        """Return the names of entries whose processes are missing for `STALE_AFTER_S`.

        A balancer that reaches less than half of the processes is more likely to
        be partitioned itself, so it returns none.

        Parameters
        ----------
        listed : iterable of str
            Names of the entries in the store.
        live : set of str
            Names of the processes that are alive now.
        now : float
            Seconds on a monotonic clock.
        """
        listed = set(listed)
        missing = listed - live
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in missing
        }
        if len(missing) > (1 - MIN_LIVE_FRACTION) * len(listed):
            return []
        return sorted(
            name
            for name, since in self._missing_since.items()
            if now - since >= STALE_AFTER_S
        )
