"""Schema of the files in a configuration folder."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Concurrency, queue and time limits of a service.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent requests at one target.
    queue : int
        Maximum number of requests queued at one agent.
    request_timeout_s : float
        Timeout of a request that does not specify one, in seconds.
    stop_limit_s : float
        Maximum time that a planned stop waits for running requests, in seconds.
    ramp_s : float
        Time after a target's start during which it is given fewer concurrent
        requests than ``slots``, in seconds.
    key_ttl_s : float
        How long an idempotency key is kept after its last use, in seconds.
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
    """A service and the port that every balancer serves it on."""

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
    """Selects the targets that may serve a service, among those announced.

    Attributes
    ----------
    service : str
        Name of the service.
    targets : str
        Shell-style pattern that the name of a target must match.
    data_centres : tuple of str
        Data centres that the rule applies to; all if empty.
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
    """Drains a target: it is given no new requests."""

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
