"""A nose2 plugin that records which tests were run and which ones failed."""

from nose2 import events, result


class Outcomes(events.Plugin):
    """Collects the IDs of finished tests, and of those that failed unexpectedly."""

    configSection = "outcomes"
    alwaysOn = True
    failed = []
    finished = []

    def testOutcome(self, event):
        self.finished.append(event.test.id())
        if event.outcome in (result.FAIL, result.ERROR) and not event.expected:
            self.failed.append(event.test.id())
