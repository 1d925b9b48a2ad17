"""Concurrency limit and bounded queue in front of one target."""

import math
from collections import OrderedDict
from dataclasses import dataclass

INITIAL_SERVICE_S = 0.05
SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class Start:
    """The request may be handed to the target now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The request is queued; `Admission.due` will name it."""

    expected_s: float


@dataclass(frozen=True, slots=True)
class Decline:
    """The request is given up before it was handed to the target.

    Attributes
    ----------
    reason : str
        Why.
    retry_after_s : int
        When the caller may come back.
    """

    reason: str
    retry_after_s: int


class Admission:
    """Decides whether a request starts, waits, or is declined at once.

    The agent's own counts and the answer times it has measured are used; what
    a target reports of its health and load is not.

    Parameters
    ----------
    limits : Limits
        Limits of the service.
    started_at : float
        When the target started, for the ramp after a cold start.
    """

    def __init__(self, limits, started_at):
        self.limits = limits
        self._started_at = started_at
        self._running = {}
        self._waiting = OrderedDict()
        self._service_s = INITIAL_SERVICE_S

    @property
    def load(self):
        """Requests running and waiting."""
        return len(self._running) + len(self._waiting)

    @property
    def running(self):
        """Requests handed to the target and not finished."""
        return len(self._running)

    @property
    def service_s(self):
        """Smoothed time that the target takes for a request, in seconds."""
        return self._service_s

    def slots(self, now):
        """Return how many requests may run at ``now``."""
        ramp = self.limits.ramp_s
        share = 1.0 if ramp <= 0 else min(1.0, (now - self._started_at) / ramp)
        return 1 + math.floor((self.limits.slots - 1) * share)

    def arrive(self, attempt, deadline, now):
        """Return `Start`, `Wait` or `Decline` for a new attempt.

        Parameters
        ----------
        attempt : hashable
            Names the attempt until `finish` or `abandon`.
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
        """Return (attempt, `Start` or `Decline`) pairs for waiting attempts.

        An attempt that can no longer finish in time is declined as soon as that
        is known, not when its deadline passes.
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
        """Free the slot of an attempt; its time counts if ``measured``."""
        started = self._running.pop(attempt, None)
        if started is not None and measured:
            taken = now - started
            self._service_s += SMOOTHING * (taken - self._service_s)

    def abandon(self, attempt):
        """Forget an attempt that waits."""
        self._waiting.pop(attempt, None)

    def retry_after(self, now):
        """Return whole seconds after which the queue should have drained."""
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
