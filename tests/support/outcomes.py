"""A nose2 plugin that counts the tests and records which ones failed."""

from nose2 import events, result


class Outcomes(events.Plugin):
    """Counts finished tests and collects the IDs of those that failed unexpectedly."""

    configSection = "outcomes"
    alwaysOn = True
    failed = []
    count = 0

    def testOutcome(self, event):
        Outcomes.count += 1
        if event.outcome in (result.FAIL, result.ERROR) and not event.expected:
            self.failed.append(event.test.id())
