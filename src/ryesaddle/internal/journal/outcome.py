"""What became of a request."""

from enum import StrEnum


class Outcome(StrEnum):
    """The outcomes that a request may have; the last three are final."""

    PENDING = "pending"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
