"""Outlier ejection of the target beside an agent."""

FAILURES_TO_EJECT = 3  # consecutive
BASE_EJECTION_S = 5.0  # doubles with each further ejection
MAX_EJECTION_S = 60.0


class Health:
    """Ejects a target after consecutive failures, for a growing time.

    Only the agent's own requests count. Whether an ejected target gets no flows is
    decided by the readers of the view, which keep a minimum of targets open.
    """

    def __init__(self):
        self._failures = 0
        self._ejections = 0
        self._ejected_until = None

    def succeeded(self):
        """Record an answered request, which ends an ejection."""
        self._failures = 0
        self._ejections = 0
        self._ejected_until = None

    def failed(self, now):
        """Record a request that could not be sent to the target or was not answered."""
        self._failures += 1
        if self._failures >= FAILURES_TO_EJECT and not self.is_failing(now):
            ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self._ejections)
            self._ejections += 1
            self._ejected_until = now + ejection_s

    def is_failing(self, now):
        """Whether the target is ejected at ``now``."""
        return self._ejected_until is not None and now < self._ejected_until
