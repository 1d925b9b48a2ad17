"""Outcomes of a request."""

from enum import StrEnum


class Outcome(StrEnum):
    """The outcome of a request; all but ``PENDING`` are final.

    ``UNKNOWN`` means that the request may have run.
    """

    PENDING = "pending"
    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
