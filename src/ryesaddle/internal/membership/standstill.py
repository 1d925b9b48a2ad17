"""Detects that a process has stood still, so that what it was told may have run out."""

# Processes are told of a change several times a second, and no bound within which one
# must take effect is shorter than 2 s.
MAX_STANDSTILL_S = 1.0
# Messages that were sent before the process went on may still wait in its sockets.
SETTLE_S = 0.2


class Standstill:
    """Tells whether a belief with a time limit must be confirmed before its use.

    Addresses a process that was suspended, or got no processor time, for seconds: it
    goes on with what it believed before, and handles packets that arrived meanwhile.

    Parameters
    ----------
    now : float
        Seconds on a monotonic clock. The methods must be called several times a
        second from then on.
    """

    def __init__(self, now):
        self._last_at = now
        self._resumed_at = None

    def is_unconfirmed(self, now):
        """Whether the process has stood still and nothing was confirmed since."""
        if now - self._last_at > MAX_STANDSTILL_S:
            self._resumed_at = now
        self._last_at = now
        return self._resumed_at is not None

    def confirm(self, now, asked_at=None):
        """Record that the belief was confirmed.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.
        asked_at : float, optional
            When this process has asked. Without it, a confirmation counts only
            `SETTLE_S` after the process went on.
        """
        if not self.is_unconfirmed(now):
            return
        if asked_at is None:
            asked_at = now - SETTLE_S
        if asked_at >= self._resumed_at:
            self._resumed_at = None
