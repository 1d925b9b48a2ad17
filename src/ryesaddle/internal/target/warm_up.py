"""Limits the opening packets that a target gets while it warms up."""

import math
from collections import deque

import msgspec

WINDOW_S = 1.0
# Balancers acknowledge a report at least this often; the limit of a balancer that has
# stopped expires.
LIMIT_EXPIRY_S = 5.0
# Two heartbeats of a target. Until then its last one may be from before the removal of
# an evacuation, while the target may have become cold meanwhile.
PRESUMED_S = 2.0


class _Limit(msgspec.Struct):
    per_s: float
    told_at: float


class WarmUpBudget:
    """Opening packets that may be sent to a target while it warms up.

    Addresses the return of callers to a data centre after its evacuation, and the
    start of many targets at once: a target that is still slow would be given as many
    new flows as a warm one, and their requests would be late.

    The packets of the last `WINDOW_S` count. An agent that has just started does not
    know how many its predecessor has sent, so that it counts the budget as used for
    as long.

    Parameters
    ----------
    started_at : float
        Start of the agent, in seconds on a monotonic clock.
    """

    def __init__(self, started_at):
        self._known_from = started_at + WINDOW_S
        self._sent = deque()
        self._limits = {}
        self._presumed_until = -math.inf

    @property
    def knows_limit(self):
        """Whether a balancer has told the limit, or that there is none."""
        return bool(self._limits)

    def set_limit(self, balancer, per_s, now):
        """Set the limit that a balancer has told.

        Of several, the smallest limit holds, as a balancer may have an older
        configuration without one.

        Parameters
        ----------
        balancer : Address
            Where the balancer sends its messages from.
        per_s : float
            Opening packets per second; 0 if unlimited, negative if the balancer
            has no configuration yet.
        now : float
            Seconds on a monotonic clock.
        """
        if per_s < 0:
            return
        self._limits[balancer] = _Limit(per_s, now)
        for address, limit in list(self._limits.items()):
            if now - limit.told_at > LIMIT_EXPIRY_S:
                del self._limits[address]

    def presume_warming_up(self, now):
        """Count the target as warming up until its heartbeats are certainly newer."""
        self._presumed_until = now + PRESUMED_S

    def record_opening(self, now):
        """Record that an opening packet was sent to the target."""
        if self._limit() != 0:
            self._sent.append(now)
            self._remove_old(now)

    def is_used_up(self, warm_up_until, knows_all_flows, now):
        """Whether the target must get no further opening packet at present.

        Parameters
        ----------
        warm_up_until : float or None
            When the target will have warmed up; None if it has not been heard.
        knows_all_flows : bool
            Whether this agent has sent the target all opening packets of its run.
        now : float
            Seconds on a monotonic clock.
        """
        limit = self._limit()
        if limit == 0:
            return False
        is_warm = warm_up_until is not None and now >= warm_up_until
        if is_warm and now >= self._presumed_until:
            return False
        if now < self._known_from and not knows_all_flows:
            return True
        if limit is None:
            return False
        self._remove_old(now)
        return len(self._sent) >= max(1.0, limit)

    def expected_wait_s(self, queued):
        """Return how long a flow waits behind ``queued`` others, in seconds."""
        return (queued + 1) / max(1.0, self._limit() or 0.0)

    def _limit(self):
        """Return the limit per second; 0 if there is none, None if not known yet."""
        if not self._limits:
            return None
        limits = [limit.per_s for limit in self._limits.values() if limit.per_s > 0]
        return min(limits, default=0)

    def _remove_old(self, now):
        while self._sent and now - self._sent[0] >= WINDOW_S:
            self._sent.popleft()
