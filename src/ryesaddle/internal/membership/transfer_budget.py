"""Bounds the transfers of state that share a balancer's link with callers."""

# What a connection sends without waiting for an acknowledgement (RFC 6928).
INITIAL_WINDOW_BYTES = 14_600
# Each interval, twice as many balancers as hold a state get it. The time until all have
# it then grows with the logarithm of their number: three intervals for 25, seven for
# 2,000.
TRANSFERS_PER_INTERVAL = 2


class TransferBudget:
    """Decides whether a balancer sends its state to one that asks for it now.

    Addresses a new version of a large configuration: all balancers learn of it at the
    same time, and would load the link of the first one that has it for as long as all
    these transfers take. A balancer that is turned away asks the next one that has the
    version. Transfers that are small together are not limited.

    Parameters
    ----------
    interval_s : float
        Time between two announcements of the state, in seconds.
    """

    def __init__(self, interval_s):
        self._interval_s = interval_s
        self._interval_ends_at = float("-inf")
        self._transfers = 0
        self._sent_bytes = 0

    def admits(self, size, now):
        """Whether to send a state now; if so, it is counted.

        Parameters
        ----------
        size : int
            Size of the transfer, in bytes.
        now : float
            Seconds on a monotonic clock.
        """
        if now >= self._interval_ends_at:
            self._interval_ends_at = now + self._interval_s
            self._transfers, self._sent_bytes = 0, 0
        is_small = self._sent_bytes + size <= INITIAL_WINDOW_BYTES
        if not is_small and self._transfers >= TRANSFERS_PER_INTERVAL:
            return False
        self._transfers += 1
        self._sent_bytes += size
        return True
