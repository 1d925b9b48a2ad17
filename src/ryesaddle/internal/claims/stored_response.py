"""Stored responses and claim reports, for repeated requests with the same key."""

import msgspec

from ryesaddle.internal.claims.claimant import ClaimStatus

MAX_STORED_BODY_BYTES = 65_536


class StoredResponse(msgspec.Struct, frozen=True):
    """The complete HTTP response of a target.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        End-to-end header fields.
    body : bytes or None
        None if it was longer than ``MAX_STORED_BODY_BYTES``.
    fingerprint : bytes
        Digest of the request, to detect another request that reuses its key.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    fingerprint: bytes


class ClaimReport(msgspec.Struct, frozen=True):
    """The status of a claim, as reported by the agent that made it.

    Attributes
    ----------
    status : ClaimStatus
        Current status.
    answer : StoredResponse or None
        Response of a finished claim, if it is known.
    """

    status: ClaimStatus
    answer: StoredResponse | None = None
