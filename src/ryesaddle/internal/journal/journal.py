"""The journal that answers what became of a request."""

from collections import OrderedDict

MAX_ENTRIES = 50_000


class Journal:
    """Holds the most recent attempts by request id.

    Parameters
    ----------
    max_entries : int
        How many request ids to keep; the oldest go first.
    """

    def __init__(self, max_entries=MAX_ENTRIES):
        self._max_entries = max_entries
        self._attempts = OrderedDict()

    def __len__(self):
        return len(self._attempts)

    def put(self, attempt, entry):
        """Store the newest `JournalEntry` of the attempt numbered ``attempt``."""
        entries = self._attempts.setdefault(entry.request_id, {})
        entries[attempt] = entry
        if len(self._attempts) > self._max_entries:
            self._attempts.popitem(last=False)

    def find(self, request_id):
        """Return all attempts of a request, oldest first."""
        return list(self._attempts.get(request_id, {}).values())
