"""Whether the target beside an agent fails requests."""

FAILURES_TO_EJECT = 3
EJECT_S = 5.0
EJECT_LIMIT_S = 60.0


class Health:
    """Ejects a target after consecutive failures, for a growing time.

    Only the agent's own requests count as evidence. Whether the ejection takes
    effect is for the readers of the view, which keep a floor of open targets.
    """

    def __init__(self):
        self._failures = 0
        self._ejections = 0
        self._until = None

    def succeeded(self):
        """Note an answered request."""
        self._failures = 0
        self._ejections = 0
        self._until = None

    def failed(self, now):
        """Note a request that the target could not be handed or did not answer."""
        self._failures += 1
        if self._failures >= FAILURES_TO_EJECT and not self.is_failing(now):
            pause = min(EJECT_LIMIT_S, EJECT_S * 2**self._ejections)
            self._ejections += 1
            self._until = now + pause

    def is_failing(self, now):
        """Whether the target should get no new flows at ``now``."""
        return self._until is not None and now < self._until
