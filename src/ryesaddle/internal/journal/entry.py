"""The record of one attempt at a request."""

import msgspec

from ryesaddle.internal.journal.outcome import Outcome


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt at a request, as recorded by the agent that owned its flow.

    Attributes
    ----------
    request_id : str
        Value of ``X-Request-ID``, generated if the caller sent none.
    caller, flow : str
        Address of the caller, and connection ID of the flow.
    service, target, agent : str
        The service, target and agent that handled the attempt.
    method, path : str
        Method, and path without the query string.
    key : str
        Idempotency key, or empty.
    received_at, dispatched_at, finished_at : float or None
        Seconds since the epoch.
    outcome : Outcome
        Outcome of the attempt so far.
    status : int
        HTTP status of the answer; 0 while there is none.
    reason : str
        Why the attempt has this outcome.
    delivered : bool
        Whether the caller acknowledged the whole answer.
    """

    request_id: str
    caller: str
    flow: str
    service: str
    target: str
    agent: str
    method: str
    path: str
    key: str = ""
    received_at: float = 0.0
    dispatched_at: float | None = None
    finished_at: float | None = None
    outcome: Outcome = Outcome.PENDING
    status: int = 0
    reason: str = ""
    delivered: bool = False
