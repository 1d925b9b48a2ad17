"""Decides when an agent reports to which balancer."""

import msgspec

from ryesaddle.internal.address import Address

REPORT_S = 0.2  # a third of the time after which a balancer suspects an agent
MAX_REPORT_S = 3.2  # a fifth of `FORGET_S`
# Receiving, decoding and noting a report takes about 25 us (bench/results/passing.json
# and one system call): this is 1.2 % of a core, of the 1.8 % that control may take.
REPORTS_PER_S = 500
ACK_S = 1.0  # so often a balancer must confirm that it knows the agent
FORGET_S = 15.0  # longer than any outage that a balancer comes back from


def report_interval_s(agents):
    """Return how often each of so many agents is to report to one balancer.

    Returns
    -------
    float
        `REPORT_S` times a power of two, in seconds, so that balancers that know
        about as many agents ask for the same.
    """
    interval_s = REPORT_S
    while agents / interval_s > REPORTS_PER_S and interval_s < MAX_REPORT_S:
        interval_s *= 2
    return interval_s


class Due(msgspec.Struct, frozen=True):
    """A report to send.

    Attributes
    ----------
    interval_s : float
        Time until the next one, in seconds.
    wants_ack : bool
        Whether the balancer is to confirm it.
    """

    interval_s: float
    wants_ack: bool


class _Listener(msgspec.Struct):
    heard_at: float
    interval_s: float = REPORT_S
    next_at: float = 0.0
    ack_at: float = 0.0


class Pace:
    """The balancers that an agent reports to, each as often as it asked for."""

    def __init__(self):
        self._listeners = {}

    def __len__(self):
        return len(self._listeners)

    def __iter__(self):
        return iter(self._listeners)

    def __contains__(self, address):
        return address in self._listeners

    def heard(self, address: Address, now):
        """Note that a balancer lives; return whether it was unknown."""
        listener = self._listeners.get(address)
        if listener is None:
            self._listeners[address] = _Listener(now)
            return True
        listener.heard_at = now
        return False

    def asked(self, address, interval_s):
        """Note how often a balancer wants reports, in seconds."""
        self._listeners[address].interval_s = interval_s

    def due(self, now, news=(), *, all_ack=False):
        """Return the reports to send now.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.
        news : container of Address
            Balancers that must not wait; the `Pace` itself holds all.
        all_ack : bool
            Whether everyone is to confirm.

        Returns
        -------
        dict of Due to list of Address
        """
        found = {}
        for address, listener in self._listeners.items():
            # A timer may fire a moment early.
            if address not in news and now < listener.next_at - REPORT_S / 2:
                continue
            listener.next_at = now + listener.interval_s
            wants_ack = all_ack or now >= listener.ack_at
            if wants_ack:
                listener.ack_at = now + ACK_S
            due = Due(listener.interval_s, wants_ack)
            found.setdefault(due, []).append(address)
        return found

    def forget(self, now):
        """Forget and return the balancers that have been silent for long."""
        gone = [a for a, li in self._listeners.items() if now - li.heard_at > FORGET_S]
        for address in gone:
            del self._listeners[address]
        return gone
