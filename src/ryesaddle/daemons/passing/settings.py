"""Settings of processes that pass packets through to targets."""

from pathlib import Path

import msgspec

from ryesaddle.errors import SettingsError
from ryesaddle.internal.address import Address

ADDRESSES = (
    "peer",
    "control",
    "ready",
    "metrics",
    "store",
    "callers",
    "target_address",
    "outbound",
    "peer_listen",
)

# Addresses and names that are in use as long as the process runs.
FIXED = frozenset(
    {
        "node",
        "data_centre",
        "peer",
        "control",
        "ready",
        "metrics",
        "callers",
        "target_address",
        "outbound",
        "service",
        "peer_listen",
    }
)


class PassingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that balancers and agents share.

    Attributes
    ----------
    node, data_centre : str
        Name of the process, and where it runs.
    peer : Address
        Where it receives messages of other processes (UDP).
    control, ready, metrics : Address
        Where it serves HTTP calls, readiness probes and metrics.
    callers : Address
        Where a balancer receives the packets of callers (UDP). Callers receive
        theirs on the same port number.
    store : Address
        The platform's object API.
    seeds : tuple of Address
        Control addresses to ask for the state while the store is away.
    flow_max_s : float
        A flow that is older may be forgotten, in seconds.
    stop_limit_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    log_level : str
        Name of a level of the standard logging module.
    """

    node: str
    data_centre: str
    peer: Address
    control: Address
    ready: Address
    metrics: Address
    callers: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    flow_max_s: float = 60.0
    stop_limit_s: float = 6.0
    log_level: str = "INFO"


class PassingBalancerSettings(PassingSettings, frozen=True, kw_only=True):
    """Settings of a balancer.

    Attributes
    ----------
    configuration_ms : int
        Time within which a change must be in force, in milliseconds.
    peer_listen : Address or None
        Where it binds its socket for messages, if that is not ``peer``, as behind
        a translation of addresses. An agent's is in its command line.
    """

    configuration_ms: int = 3_000
    peer_listen: Address | None = None


class PassingAgentSettings(PassingSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Attributes
    ----------
    service : str
        Service of the target beside it.
    target_address : Address
        Where the target receives packets.
    outbound : Address
        Where the target sends its packets (UDP).
    heartbeat_ms : int
        Usual time between two heartbeats, in milliseconds.
    """

    service: str
    target_address: Address
    outbound: Address
    heartbeat_ms: int = 1_000


def load_passing_settings(path, kind):
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        With one line naming the file, the field and the remedy.
    """
    try:
        raw = msgspec.json.decode(Path(path).read_bytes(), type=dict)
        return msgspec.convert(_split_addresses(raw), kind)
    except OSError as exc:
        raise SettingsError(
            f"{path}: cannot be read ({exc.strerror}); name an existing settings file"
        ) from exc
    except (msgspec.DecodeError, ValueError) as exc:
        raise SettingsError(f"{path}: {exc}; see docs/configuration.md") from exc


def _split_addresses(raw):
    raw = dict(raw)
    for name in ADDRESSES:
        if isinstance(raw.get(name), str):
            raw[name] = _split(raw[name])
    if isinstance(raw.get("seeds"), list):
        raw["seeds"] = [_split(seed) for seed in raw["seeds"] if seed]
    return raw


def _split(text):
    host, _, port = text.rpartition(":")
    return [host, int(port)]
