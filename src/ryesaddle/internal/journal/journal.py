"""In-memory journal of recent request attempts."""

from collections import OrderedDict

MAX_REQUESTS = 50_000


class Journal:
    """Keeps the attempts of the most recent requests, by request ID.

    Parameters
    ----------
    max_requests : int
        Number of request IDs to keep; the oldest is removed first.
    """

    def __init__(self, max_requests=MAX_REQUESTS):
        self._max_requests = max_requests
        self._attempts = OrderedDict()

    def __len__(self):
        return len(self._attempts)

    def put(self, attempt, entry):
        """Store the latest `JournalEntry` of the attempt with number ``attempt``."""
        entries = self._attempts.setdefault(entry.request_id, {})
        entries[attempt] = entry
        if len(self._attempts) > self._max_requests:
            self._attempts.popitem(last=False)

    def find(self, request_id):
        """Return all attempts of a request, oldest first."""
        return list(self._attempts.get(request_id, {}).values())
