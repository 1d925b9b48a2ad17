"""One attempt at a request, as the agent that owned its flow saw it."""

import msgspec

from ryesaddle.internal.journal.outcome import Outcome


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The record of one attempt.

    Attributes
    ----------
    request_id : str
        Value of ``X-Request-ID``, made up if the caller sent none.
    caller, flow : str
        Address of the caller, and connection id of the flow.
    service, target, agent : str
        Where the attempt was handled.
    method, path : str
        From the request line; the query is left out.
    key : str
        Idempotency key, or empty.
    received_at, dispatched_at, finished_at : float or None
        Seconds since the epoch.
    outcome : Outcome
        What became of the attempt.
    status : int
        HTTP status answered, 0 while there is none.
    reason : str
        Why the attempt ended as it did.
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
