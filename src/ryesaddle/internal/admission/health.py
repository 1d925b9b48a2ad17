"""Outlier ejection of the target beside an agent."""

import math
from collections import deque

import msgspec

FAILURES_TO_EJECT = 3  # consecutive
# A target that fails a part of its requests seldom fails several in a row. So many
# failures among the last `WINDOW` requests eject it as well.
WINDOW = 10
WINDOW_FAILURES_TO_EJECT = 4
BASE_EJECTION_S = 1.0  # doubles with each further ejection
MAX_DOUBLINGS = 6
# Probes that must succeed before a target gets all kinds of requests again. A target
# that fails four requests of ten passes with a probability of 0.08.
PROBES_TO_RETURN = 5
# A target returns after this time on probation if too few requests could be probes.
MAX_PROBATION_S = 10.0
# A failing target gets a flow only if it would wait for the time of so many requests
# at each other candidate, for each slot, or if all candidates fail.
FAILING_LOAD = 8.0
# Earlier ejections of a target that has served for this long no longer count.
MEMORY_S = 60.0


class Serving(msgspec.Struct, frozen=True):
    """The target gets requests of all kinds."""


class Ejected(msgspec.Struct, frozen=True):
    """The target gets no new requests.

    Attributes
    ----------
    until : float
        End of the ejection, in seconds on a monotonic clock.
    failures, requests : int
        Failed requests among the last ones before the ejection.
    """

    until: float
    failures: int
    requests: int


class OnProbation(msgspec.Struct, frozen=True):
    """The target gets single requests that may be repeated.

    Attributes
    ----------
    until : float
        When it returns without further probes, in seconds on a monotonic clock.
    passed : int
        Probes that have succeeded.
    """

    until: float
    passed: int = 0


def describe_health(state):
    """Return the name of a state of `Health`, for status pages."""
    match state:
        case Ejected():
            return "ejected"
        case OnProbation():
            return "on probation"
        case _:
            return "serving"


class Health:
    """Ejects a target that fails its requests, for a growing time.

    Load pattern: targets that fail while their health checks succeed. Since they fail
    quickly, they have free slots at any time, and placement by load prefers them.

    An ejection is followed by a probation. Only the agent's own requests count.
    Whether a failing target gets no flows is decided by `ServiceView`, which keeps a
    minimum of targets open. An agent that has restarted takes its target for well.
    """

    def __init__(self):
        self._recent = deque(maxlen=WINDOW)
        self.forget()

    def state(self, now):
        """Return `Serving`, `Ejected` or `OnProbation`."""
        match self._state:
            case Ejected(until=until) if now >= until:
                self._state = OnProbation(until + MAX_PROBATION_S)
        match self._state:
            case OnProbation(until=until) if now >= until:
                self._return_to_service(until)
        return self._state

    def is_failing(self, now):
        """Whether the target is ejected or on probation at ``now``."""
        return not isinstance(self.state(now), Serving)

    def succeeded(self, now):
        """Record a request that the target has answered."""
        match self.state(now):
            case OnProbation(until=until, passed=passed):
                if passed + 1 >= PROBES_TO_RETURN:
                    self._return_to_service(now)
                else:
                    self._state = OnProbation(until, passed + 1)
            case Serving():
                self._consecutive_failures = 0
                self._recent.append(True)

    def failed(self, now):
        """Record a request that the target has not answered, or with an error."""
        match self.state(now):
            case OnProbation():
                self._eject(1, 1, now)
            case Serving():
                self._consecutive_failures += 1
                self._recent.append(False)
                failures = self._recent.count(False)
                if (
                    self._consecutive_failures >= FAILURES_TO_EJECT
                    or failures >= WINDOW_FAILURES_TO_EJECT
                ):
                    self._eject(failures, len(self._recent), now)

    def forget(self):
        """Forget what is known, as another target has started."""
        self._recent.clear()
        self._consecutive_failures = 0
        self._ejections = 0
        self._returned_at = -math.inf
        self._state = Serving()

    def _eject(self, failures, requests, now):
        if now - self._returned_at > MEMORY_S:
            self._ejections = 0
        ejection_s = BASE_EJECTION_S * 2 ** min(self._ejections, MAX_DOUBLINGS)
        self._ejections += 1
        # No time counts as service until the target returns.
        self._returned_at = math.inf
        self._state = Ejected(now + ejection_s, failures, requests)

    def _return_to_service(self, now):
        self._state = Serving()
        self._returned_at = now
        self._consecutive_failures = 0
        self._recent.clear()
