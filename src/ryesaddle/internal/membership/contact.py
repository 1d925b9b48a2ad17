"""Detects that a process was out of contact, so that others may have joined unseen."""


class ContactMonitor:
    """Tells when a process hears others again after a cut or a standstill.

    A process that joins announces itself to those that it can reach. Whoever was out
    of contact for longer than a joining process waits may lack it, whatever list it
    held before.

    Parameters
    ----------
    max_gap_s : float
        Longest time without a message of another process, in seconds.
    """

    def __init__(self, max_gap_s):
        self._max_gap_s = max_gap_s
        self._heard_at = None

    def record(self, now):
        """Record a message; return how long none came, in seconds, or None.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.

        Returns
        -------
        float or None
            The time without a message, if it was longer than ``max_gap_s``.
        """
        before, self._heard_at = self._heard_at, now
        if before is None or now - before <= self._max_gap_s:
            return None
        return now - before
