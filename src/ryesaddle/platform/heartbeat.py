"""Translates the heartbeats that targets send over HTTP."""

import msgspec

from ryesaddle.internal.target.report import TargetReport

PATH_PREFIX = "/ryesaddle/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"
STATES = ("ready", "draining")


class _Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    state: str
    seq: int
    born: int | None = None
    slots: int = 1
    warmup_left_ms: float = 0.0


def read_path(path):
    """Return the target's id and the action in a path, or None for other paths."""
    if not path.startswith(PATH_PREFIX):
        return None
    target, _, action = path[len(PATH_PREFIX) :].partition("/")
    if not target or action not in (HEARTBEAT, DEREGISTER):
        return None
    return target, action


def read_heartbeat(target, body):
    """Return the `TargetReport` in a heartbeat, or None if it is malformed."""
    try:
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
    except msgspec.DecodeError:
        return None
    if heartbeat.state not in STATES or heartbeat.slots < 1:
        return None
    return TargetReport(
        target=target,
        service=heartbeat.service,
        sequence=heartbeat.seq,
        started_at=heartbeat.born,
        draining=heartbeat.state == "draining",
        slots=heartbeat.slots,
        warm_up_s=max(0.0, heartbeat.warmup_left_ms / 1000),
    )
