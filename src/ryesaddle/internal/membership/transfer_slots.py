"""Bounds the transfers of state that share a balancer's link with callers."""

# Eight transfers of 9 KB, the compressed size of 1,300 routes, keep a caller's packet
# waiting for 60 ms on a link of 10 Mbit/s.
MAX_TRANSFERS = 8


class TransferSlots:
    """Decides whether a balancer sends its state to one that asks for it now.

    Addresses a new version of a large configuration, and the start of many balancers:
    all of them ask at the same time, and would load the link of the first one that has
    the state for as long as all these transfers take. A balancer that is turned away
    asks the next one. How long a transfer lasts is observed, so a fast link serves more
    of them.

    Parameters
    ----------
    expiry_s : float
        Time after which a transfer whose end is not known no longer counts, in seconds.
    """

    def __init__(self, expiry_s):
        self._expiry_s = expiry_s
        self._started_at = {}
        self._next_number = 0

    def acquire(self, now):
        """Return the number of a slot for a transfer that starts now, or None.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.
        """
        for number, started_at in list(self._started_at.items()):
            if now - started_at >= self._expiry_s:
                del self._started_at[number]
        if len(self._started_at) >= MAX_TRANSFERS:
            return None
        self._next_number += 1
        self._started_at[self._next_number] = now
        return self._next_number

    def release(self, number):
        """Record the end of a transfer."""
        self._started_at.pop(number, None)
