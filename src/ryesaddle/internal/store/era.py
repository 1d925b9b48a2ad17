"""Tracks the era of a store that may lose what it has acknowledged."""

# Time within which all processes have written their entries again: a balancer that
# reads the store tells its peers and all agents at once, and they spread their writes
# over 1 s.
ERA_SETTLE_S = 2.0


class EraTracker:
    """Tracks the latest era of the store, and whether its content is settled.

    A store that returns from a copy some seconds old begins a new era. What was
    written since that copy is lost, and revisions are issued again. It addresses this
    load pattern: after the return, all processes compare their entries with the
    store, and none may conclude from a list that an entry which it lacks does not
    exist.

    Attributes
    ----------
    era : int
        The latest era seen; 0 if the store has never returned from a copy, or does
        not tell its era.
    """

    def __init__(self):
        self.era = 0
        self._first_seen_at = None
        self._settled_era = 0
        self._listeners = []

    def subscribe(self, listener):
        """Call ``listener`` with the former and the new era when the era rises.

        The first era that this process sees is not reported.
        """
        self._listeners.append(listener)

    def observe(self, era, now):
        """Record the era of an answer of the store.

        Parameters
        ----------
        era : int
            The era that the answer names; 0 if it names none.
        now : float
            Seconds on a monotonic clock.

        Returns
        -------
        bool
            Whether the answer is valid. It is outdated if a later era has been seen.
        """
        if era < self.era:
            return False
        if era == self.era and self._first_seen_at is not None:
            return True
        former, is_first = self.era, self._first_seen_at is None
        self.era, self._first_seen_at = era, now
        if not is_first:
            for listener in self._listeners:
                listener(former, era)
        return True

    def learn(self, era, now):
        """Record an era that another process has seen; 0 if it has seen none."""
        if era > self.era:
            self.observe(era, now)

    def mark_settled(self, era):
        """Record that another process has seen this era `ERA_SETTLE_S` ago."""
        self._settled_era = max(era, self._settled_era)

    def settle_delay_s(self, now):
        """Return the time until the content of the store is settled, in seconds."""
        # In era 0 nothing has been lost yet.
        if self._first_seen_at is None or self.era <= self._settled_era:
            return 0.0
        return max(0.0, self._first_seen_at + ERA_SETTLE_S - now)
