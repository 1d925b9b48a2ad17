"""Decides which entries of the store are of processes that are gone for good."""

from ryesaddle.internal.routing.rendezvous import rank_names

GONE_S = 20.0  # ten times the longest time that a host takes to come back
MIN_HEARD_SHARE = 0.5


class Reaper:
    """Names the entries to remove, on one balancer at a time.

    Which balancer that is follows from those that are heard. Two views that differ
    may name two, which does no harm: each removal is of one version of an entry.

    Parameters
    ----------
    node : str
        This balancer.
    """

    def __init__(self, node):
        self._node = node
        self._missing_since = {}

    def is_mine(self, live):
        """Whether this balancer looks after entries.

        Parameters
        ----------
        live : iterable of str
            The other balancers that are heard.
        """
        return rank_names(b"reaper", [self._node, *live])[0] == self._node

    def gone(self, listed, heard, now):
        """Return the names of entries whose processes have been silent for long.

        A balancer that hears less than half of the processes is rather cut off
        itself, and names none.

        Parameters
        ----------
        listed : iterable of str
            Names of the entries in the store.
        heard : set of str
            Processes that are heard now.
        now : float
            Seconds on a monotonic clock.
        """
        listed = set(listed)
        silent = listed - heard
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in silent
        }
        if len(silent) > (1 - MIN_HEARD_SHARE) * len(listed):
            return []
        return sorted(
            name for name, since in self._missing_since.items() if now - since >= GONE_S
        )
