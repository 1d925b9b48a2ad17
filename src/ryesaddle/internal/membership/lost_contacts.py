"""Processes that were given up, but are still tried at long intervals."""

from ryesaddle.internal.address import Address

# A machine counts as undisturbed some seconds after a cut has ended. The processes on
# both sides must have found each other again by then.
RETRY_INTERVAL_S = 2.0
FORGET_AFTER_S = 600.0
MAX_LOST_CONTACTS = 256


class LostContacts:
    """Remembers the addresses of processes that have been silent for long.

    Two processes that are cut off from each other for long enough give each other up at
    the same time. Without further attempts, neither would ever write to the other
    again. A process that has stopped for good costs a datagram now and then.
    """

    def __init__(self):
        self._lost = {}

    def __len__(self):
        return len(self._lost)

    def add(self, address: Address, now):
        """Try an address from now on, for `FORGET_AFTER_S`."""
        self._lost[address] = (now, now + RETRY_INTERVAL_S)
        if len(self._lost) > MAX_LOST_CONTACTS:
            del self._lost[next(iter(self._lost))]

    def discard(self, address):
        """Stop to try an address, since its process is heard."""
        self._lost.pop(address, None)

    def due(self, now):
        """Return the addresses to try now, and schedule the next attempts.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.
        """
        due = []
        for address, (lost_at, retry_at) in list(self._lost.items()):
            if now - lost_at > FORGET_AFTER_S:
                del self._lost[address]
            elif now >= retry_at:
                self._lost[address] = (lost_at, now + RETRY_INTERVAL_S)
                due.append(address)
        return due
