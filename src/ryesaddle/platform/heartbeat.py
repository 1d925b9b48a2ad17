"""Translates the heartbeats that targets send over HTTP."""

from typing import Annotated

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.target.report import TargetReport

PATH_PREFIX = "/ryesaddle/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"
STATES = ("ready", "draining")
MAX_COUNT = 2**31 - 1  # messages to balancers hold no number above 64 bits

_Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]


class _Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """The body of a heartbeat.

    The protocol's page names all fields but ``born``, which not all deployments have.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Count
    state: str
    warmup_left_ms: float
    seq: int
    born: int | msgspec.UnsetType = msgspec.UNSET


def read_path(path):
    """Return the target's id and the action in a path, or None for other paths."""
    if not path.startswith(PATH_PREFIX):
        return None
    target, _, action = path[len(PATH_PREFIX) :].partition("/")
    if not target or action not in (HEARTBEAT, DEREGISTER):
        return None
    return target, action


def read_heartbeat(target, body):
    """Return the `TargetReport` in a heartbeat, or None if it is malformed.

    A heartbeat without a field that all targets send, or with one of another type, may
    come from another writer. It tells nothing of the target.
    """
    try:
        # The decoder does not check the encoding of fields that it skips.
        body.decode()
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    address = _read_address(heartbeat.address)
    if heartbeat.state not in STATES or address is None:
        return None
    return TargetReport(
        target=target,
        service=heartbeat.service,
        address=address,
        sequence=heartbeat.seq,
        started_at=None if heartbeat.born is msgspec.UNSET else heartbeat.born,
        draining=heartbeat.state == "draining",
        slots=heartbeat.slots,
        warm_up_s=max(0.0, heartbeat.warmup_left_ms / 1000),
    )


def _read_address(text):
    """Return the `Address` in ``HOST:PORT``, or None if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()):
        return None
    return Address(host, int(port))
