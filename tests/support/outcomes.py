"""A nose2 plugin that remembers which tests failed."""

from nose2 import events, result


class Outcomes(events.Plugin):
    """Counts tests and collects the names of failed ones."""

    configSection = "outcomes"
    alwaysOn = True
    failed = []
    count = 0

    def testOutcome(self, event):
        Outcomes.count += 1
        if event.outcome in (result.FAIL, result.ERROR) and not event.expected:
            self.failed.append(event.test.id())
