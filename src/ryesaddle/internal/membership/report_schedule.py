"""Schedules the reports of an agent to the balancers."""

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.lost_contacts import (
    RETRY_INTERVAL_S,
    LostContacts,
)

REPORT_INTERVAL_S = 0.2  # a third of the time after which a balancer suspects an agent
MAX_REPORT_INTERVAL_S = 3.2  # about a fifth of `BALANCER_EXPIRY_S`
# A balancer needs about 25 us to receive, decode and apply a report
# (bench/results/passing.json plus one system call). This limit therefore takes 1.2 %
# of a core, out of the 1.8 % that control traffic may use.
MAX_REPORTS_PER_S = 500
ACK_INTERVAL_S = 1.0  # how often a balancer must confirm that it knows the agent
BALANCER_EXPIRY_S = 15.0  # longer than any outage that a balancer recovers from


def report_interval_s(agents):
    """Return the report interval for a balancer that knows this many agents.

    Parameters
    ----------
    agents : int
        Number of agents.

    Returns
    -------
    float
        `REPORT_INTERVAL_S` times a power of two, in seconds, so that balancers
        that know similar numbers of agents request the same interval.
    """
    interval_s = REPORT_INTERVAL_S
    while (
        agents / interval_s > MAX_REPORTS_PER_S and interval_s < MAX_REPORT_INTERVAL_S
    ):
        interval_s *= 2
    return interval_s


class ReportOptions(msgspec.Struct, frozen=True):
    """Options of a report that is due.

    Attributes
    ----------
    interval_s : float
        Time until the next report, in seconds.
    wants_ack : bool
        Whether the balancer must acknowledge the report.
    """

    interval_s: float
    wants_ack: bool


class _BalancerState(msgspec.Struct):
    last_seen_at: float
    interval_s: float = REPORT_INTERVAL_S
    next_report_at: float = 0.0
    next_ack_at: float = 0.0


class ReportSchedule:
    """Report schedule of an agent: each balancer at the interval it requested.

    A balancer that was removed because it was silent still gets a report now and then.
    """

    def __init__(self):
        self._balancers = {}
        self._lost = LostContacts()

    def __len__(self):
        return len(self._balancers)

    def __iter__(self):
        return iter(self._balancers)

    def __contains__(self, address):
        return address in self._balancers

    def record_contact(self, address: Address, now):
        """Record a sign of life of a balancer; return whether it is new."""
        state = self._balancers.get(address)
        if state is None:
            self._lost.discard(address)
            self._balancers[address] = _BalancerState(now)
            return True
        state.last_seen_at = now
        return False

    def set_interval(self, address, interval_s):
        """Set the report interval that a balancer requested, in seconds."""
        self._balancers[address].interval_s = interval_s

    def due_reports(self, now, urgent=(), *, all_ack=False):
        """Return the reports to send now and schedule the next ones.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.
        urgent : container of Address
            Balancers to report to immediately; pass the schedule itself for all.
        all_ack : bool
            Whether to request an acknowledgement of every report.

        Returns
        -------
        dict of ReportOptions to list of Address
            Balancers to report to, grouped by the options of the report.
        """
        reports = {}
        for address, state in self._balancers.items():
            # Half an interval of tolerance, since a timer may fire slightly early.
            if (
                address not in urgent
                and now < state.next_report_at - REPORT_INTERVAL_S / 2
            ):
                continue
            state.next_report_at = now + state.interval_s
            wants_ack = all_ack or now >= state.next_ack_at
            if wants_ack:
                state.next_ack_at = now + ACK_INTERVAL_S
            options = ReportOptions(state.interval_s, wants_ack)
            reports.setdefault(options, []).append(address)
        if lost := self._lost.due(now):
            reports.setdefault(ReportOptions(RETRY_INTERVAL_S, True), []).extend(lost)
        return reports

    def remove_expired(self, now):
        """Remove and return the balancers that are silent for `BALANCER_EXPIRY_S`."""
        expired = [
            a
            for a, s in self._balancers.items()
            if now - s.last_seen_at > BALANCER_EXPIRY_S
        ]
        for address in expired:
            del self._balancers[address]
            self._lost.add(address, now)
        return expired
