"""The contents of a target's heartbeat."""

import msgspec

from ryesaddle.internal.address import Address

FIRST_SEQUENCE = 1  # of the heartbeat that a target sends when it starts


class TargetReport(msgspec.Struct, frozen=True):
    """One heartbeat of a target.

    Attributes
    ----------
    target : str
        Identifier of the target; usually new for each start.
    service : str
        Service that the target claims to belong to.
    sequence : int
        Increases with each heartbeat of one run of the target.
    started_at : int or None
        Start of the target in milliseconds since the epoch, if it reports that.
    address : Address or None
        Where the target receives packets; None if it does not tell.
    draining : bool
        Whether it is about to stop.
    slots : int
        Number of requests that it runs concurrently.
    warm_up_s : float
        Remaining time of its warm-up, in which it is slower, in seconds.
    """

    target: str
    service: str
    sequence: int
    started_at: int | None = None
    address: Address | None = None
    draining: bool = False
    slots: int = 1
    warm_up_s: float = 0.0
