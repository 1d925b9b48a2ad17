"""What a target says of itself in a heartbeat."""

import msgspec


class TargetReport(msgspec.Struct, frozen=True):
    """One heartbeat.

    Attributes
    ----------
    target : str
        Identifier of the target; usually new for each start.
    service : str
        Service that the target says it belongs to.
    sequence : int
        Grows with each heartbeat of one start.
    started_at : int or None
        Start of the target in milliseconds since the epoch, if it tells.
    draining : bool
        Whether it is about to stop.
    slots : int
        Requests that it runs at a time.
    warm_up_s : float
        How much longer it is slow after its start, in seconds.
    """

    target: str
    service: str
    sequence: int
    started_at: int | None = None
    draining: bool = False
    slots: int = 1
    warm_up_s: float = 0.0
