"""The kinds of file in a configuration folder."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How much work a service accepts.

    Attributes
    ----------
    slots : int
        Requests that one target runs at a time.
    queue : int
        Requests that may wait at one agent.
    request_timeout_s : float
        Deadline of a request that names none, in seconds.
    stop_limit_s : float
        How long a planned stop waits for requests in progress, in seconds.
    ramp_s : float
        How long a target that has just started is held below its slots.
    key_ttl_s : float
        How long an idempotency key is remembered, in seconds.
    """

    slots: int = 2
    queue: int = 64
    request_timeout_s: float = 30.0
    stop_limit_s: float = 120.0
    ramp_s: float = 5.0
    key_ttl_s: float = 3600.0


class ServiceFile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="service",
):
    """A service and the port that callers reach it at on every balancer."""

    name: str
    port: int
    limits: Limits = Limits()


class RuleFile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="rule",
):
    """Which announced targets may serve a service.

    Attributes
    ----------
    service : str
        Name of the service.
    targets : str
        Shell-style pattern for names of targets.
    data_centres : tuple of str
        Data centres the rule is limited to; empty for all.
    """

    service: str
    targets: str = "*"
    data_centres: tuple[str, ...] = ()


class DrainFile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="drain",
):
    """A target that must get no new work."""

    target: str


class LimitsFile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="limits",
):
    """Replaces the limits of a service that an earlier file defines."""

    service: str
    limits: Limits


FolderFile = ServiceFile | RuleFile | DrainFile | LimitsFile
