"""Translates the heartbeats of the platform's servers."""

import msgspec

from ryesaddle.internal.target.report import TargetReport

PATH = "/ryesaddle/instances/"
BEAT = "heartbeat"
LEAVE = "deregister"
STATES = ("ready", "draining")


class _Beat(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    state: str
    seq: int
    born: int | None = None
    slots: int = 1
    warmup_left_ms: float = 0.0


def read_path(path):
    """Return the target's id and the verb of a path, or None if it is another."""
    if not path.startswith(PATH):
        return None
    target, _, verb = path[len(PATH) :].partition("/")
    if not target or verb not in (BEAT, LEAVE):
        return None
    return target, verb


def read_heartbeat(target, body):
    """Return the `TargetReport` in a heartbeat, or None if it is malformed."""
    try:
        beat = msgspec.json.decode(body, type=_Beat)
    except msgspec.DecodeError:
        return None
    if beat.state not in STATES or beat.slots < 1:
        return None
    return TargetReport(
        target=target,
        service=beat.service,
        sequence=beat.seq,
        started_at=beat.born,
        draining=beat.state == "draining",
        slots=beat.slots,
        warm_up_s=max(0.0, beat.warmup_left_ms / 1000),
    )
