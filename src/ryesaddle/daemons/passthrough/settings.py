"""Settings of balancers and agents whose targets terminate the flows."""

import msgspec

from ryesaddle.errors import SettingsError
from ryesaddle.internal.address import Address

ADDRESS_FIELDS = (
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

# A change of these names and addresses takes effect only after a restart.
RESTART_ONLY_FIELDS = frozenset(
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
        "evacuation_ms",
    }
)


class PassthroughSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that balancers and agents share.

    Attributes
    ----------
    node, data_centre : str
        Name and data centre of the process.
    peer : Address
        Address of the UDP socket for messages of other processes.
    control, ready, metrics : Address
        Addresses that serve HTTP calls, readiness probes and metrics.
    callers : Address
        Address of the UDP socket on which a balancer receives callers' packets.
        Callers receive packets on the same port number.
    store : Address
        Address of the platform's object API.
    seeds : tuple of Address
        Control addresses of balancers that are asked for their state while the store
        is unavailable.
    flow_max_s : float
        Idle time after which a flow may be removed, in seconds.
    stop_limit_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    log_level : str
        Name of a log level of the standard library.
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


class PassthroughBalancerSettings(PassthroughSettings, frozen=True, kw_only=True):
    """Settings of a balancer.

    Attributes
    ----------
    configuration_ms : int
        Time within which a change of the configuration must take effect, in
        milliseconds.
    evacuation_ms : int or None
        Time within which the evacuation of a data centre must take effect, in
        milliseconds; None if the platform knows no evacuations.
    peer_listen : Address or None
        Address to which the socket for messages is bound if it differs from ``peer``,
        as behind NAT. An agent takes it from its command line.
    """

    configuration_ms: int = 3_000
    evacuation_ms: int | None = None
    peer_listen: Address | None = None


class PassthroughAgentSettings(PassthroughSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Attributes
    ----------
    service : str
        Service of its target.
    target_address : Address
        Address at which the target receives packets.
    outbound : Address
        Address of the UDP socket to which the target sends its packets.
    heartbeat_ms : int
        Expected time between two heartbeats, in milliseconds.
    target_listens : bool
        Whether the target listens on TCP at ``target_address`` for as long as its
        process runs, so that a refused connection shows that it has ended.
    """

    service: str
    target_address: Address
    outbound: Address
    heartbeat_ms: int = 1_000
    target_listens: bool = False


def load_passthrough_settings(path, kind):
    """Return the settings in a JSON file.

    Raises
    ------
    SettingsError
        With one line that names the file, the field and the remedy.
    """
    try:
        with open(path, "rb") as file:
            raw = msgspec.json.decode(file.read(), type=dict)
        return msgspec.convert(_parse_addresses(raw), kind)
    except OSError as exc:
        raise SettingsError(
            f"{path}: cannot be read ({exc.strerror}); name an existing settings file"
        ) from exc
    except (msgspec.DecodeError, ValueError) as exc:
        raise SettingsError(f"{path}: {exc}; see docs/configuration.md") from exc


def _parse_addresses(raw):
    raw = dict(raw)
    for name in ADDRESS_FIELDS:
        if isinstance(raw.get(name), str):
            raw[name] = _parse_address(raw[name])
    if isinstance(raw.get("seeds"), list):
        raw["seeds"] = [_parse_address(seed) for seed in raw["seeds"] if seed]
    return raw


def _parse_address(text):
    host, _, port = text.rpartition(":")
    return [host, int(port)]
