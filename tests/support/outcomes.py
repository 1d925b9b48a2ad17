"""A nose2 plugin that remembers which tests failed."""

from nose2 import events, result


class Outcomes(events.Plugin):
    """Collects the names of failed tests."""

    configSection = "outcomes"
    alwaysOn = True
    failed = []
    skipped = []

    def testOutcome(self, event):
        if event.outcome == result.SKIP:
            self.skipped.append(event.test.id())
        elif event.outcome in (result.FAIL, result.ERROR) and not event.expected:
            self.failed.append(event.test.id())
