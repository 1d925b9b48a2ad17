"""Admission control: a concurrency limit and a bounded queue for one target."""

import math
from collections import OrderedDict
from dataclasses import dataclass

INITIAL_SERVICE_S = 0.05  # start value of the moving average
SMOOTHING = 0.1  # weight of the newest request in the moving average
MIN_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class Start:
    """The request may be sent to the target now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request is queued for about ``expected_s`` seconds.

    `Admission.due` returns its later `Start` or `Decline`.
    """

    expected_s: float


@dataclass(frozen=True, slots=True)
class Decline:
    """The request is refused and was never sent to the target.

    Attributes
    ----------
    reason : str
        ``queue-full``, ``deadline-before-start`` or ``deadline-before-finish``.
    retry_after_s : int
        Whole seconds after which the caller may retry.
    """

    reason: str
    retry_after_s: int


class Admission:
    """Decides whether a request starts, waits, or is declined at once.

    It relies on the agent's own request counts and measured answer times, not on the
    health and load that a target reports.

    Parameters
    ----------
    limits : Limits
        Limits of the service.
    started_at : float
        When the target started; the limit rises to its full value over ``ramp_s``.
    """

    def __init__(self, limits, started_at):
        self.limits = limits
        self._started_at = started_at
        self._running = {}
        self._waiting = OrderedDict()
        self._service_s = INITIAL_SERVICE_S

    @property
    def load(self):
        """Number of requests running and queued."""
        return len(self._running) + len(self._waiting)

    @property
    def running(self):
        """Number of requests sent to the target and not finished."""
        return len(self._running)

    @property
    def service_s(self):
        """Moving average of the time the target takes for a request, in seconds."""
        return self._service_s

    def slots(self, now):
        """Return how many requests may run concurrently at ``now``."""
        ramp = self.limits.ramp_s
        share = 1.0 if ramp <= 0 else min(1.0, (now - self._started_at) / ramp)
        return 1 + math.floor((self.limits.slots - 1) * share)

    def arrive(self, attempt, deadline, now):
        """Return `Start`, `Wait` or `Decline` for a new attempt.

        Parameters
        ----------
        attempt : hashable
            Identifies the attempt until `finish` or `abandon`.
        deadline, now : float
            Seconds on one monotonic clock.
        """
        if not self._waiting and len(self._running) < self.slots(now):
            return self._begin(attempt, deadline, now)
        if len(self._waiting) >= self.limits.queue:
            return self._decline("queue-full", now)
        expected = self._expected_wait(len(self._waiting), now)
        if now + expected + self._service_s > deadline:
            return self._decline("deadline-before-start", now)
        self._waiting[attempt] = deadline
        return Wait(expected)

    def due(self, now):
        """Return (attempt, `Start` or `Decline`) pairs for queued attempts.

        An attempt that can no longer finish before its deadline is declined now, not
        when the deadline passes.
        """
        decided = []
        while self._waiting and len(self._running) < self.slots(now):
            attempt, deadline = self._waiting.popitem(last=False)
            decided.append((attempt, self._begin(attempt, deadline, now)))
        for position, (attempt, deadline) in enumerate(list(self._waiting.items())):
            expected = self._expected_wait(position, now)
            if now + expected + self._service_s > deadline:
                del self._waiting[attempt]
                decided.append((attempt, self._decline("deadline-before-start", now)))
        return decided

    def finish(self, attempt, now, measured=True):
        """Free the slot of an attempt; ``measured`` adds its time to the average."""
        started = self._running.pop(attempt, None)
        if started is not None and measured:
            taken = now - started
            self._service_s += SMOOTHING * (taken - self._service_s)

    def abandon(self, attempt):
        """Remove a queued attempt."""
        self._waiting.pop(attempt, None)

    def retry_after(self, now):
        """Return whole seconds after which the queue should be empty."""
        expected = self._expected_wait(len(self._waiting), now)
        return max(MIN_RETRY_AFTER_S, math.ceil(expected))

    def _begin(self, attempt, deadline, now):
        if now + self._service_s > deadline:
            return self._decline("deadline-before-finish", now)
        self._running[attempt] = now
        return Start()

    def _decline(self, reason, now):
        return Decline(reason, self.retry_after(now))

    def _expected_wait(self, position, now):
        return (position + 1) * self._service_s / self.slots(now)
