"""The answer of an executed submission, kept for repeats of its key."""

import msgspec

from ryesaddle.internal.claims.claimant import ClaimStatus

MAX_STORED_BYTES = 65_536


class StoredAnswer(msgspec.Struct, frozen=True):
    """A whole answer of a target.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end header fields.
    body : bytes or None
        None if it was longer than ``MAX_STORED_BYTES``.
    fingerprint : bytes
        Digest of the request that was answered.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    fingerprint: bytes


class ClaimReport(msgspec.Struct, frozen=True):
    """What an executor says of one of its claims."""

    status: ClaimStatus
    answer: StoredAnswer | None = None
