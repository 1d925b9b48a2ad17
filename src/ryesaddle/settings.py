"""The JSON settings file of one process."""

import stat
from pathlib import Path
from typing import Literal

import msgspec

from ryesaddle.errors import SettingsError
from ryesaddle.internal.address import Address

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64


class NodeSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings that balancers and agents share.

    Attributes
    ----------
    node : str
        Name of the process, unique in the deployment.
    data_centre, cell : str
        Where the process runs, and the cell it belongs to.
    peer, control : Address
        Where to receive datagrams (UDP) and HTTP calls (TCP) from members.
    store_url : str
        Base URL of the object API.
    peer_key_file : str
        File with the secret shared by all members.
    seeds : tuple of Address
        Control addresses to fetch a snapshot from while the store is away.
    statsd : Address or None
        Where to send metrics.
    log_level : str
        Name of a level of the standard logging module.
    """

    node: str
    data_centre: str
    cell: str
    peer: Address
    control: Address
    store_url: str
    peer_key_file: str
    seeds: tuple[Address, ...] = ()
    statsd: Address | None = None
    log_level: str = "INFO"


class BalancerSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of a balancer.

    Attributes
    ----------
    service_host : str
        Local IP address on which the ports of all services are received.
    """

    service_host: str


class AgentSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Attributes
    ----------
    service, target : str
        The service the target belongs to, and the name of the target.
    target_address : Address
        Where the target accepts HTTP/1.1.
    certificate_file, private_key_file : str
        TLS certificate chain and key shown to callers, PEM.
    """

    service: str
    target: str
    target_address: Address
    certificate_file: str
    private_key_file: str


class OperatorSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an operator's commands.

    Attributes
    ----------
    store_url : str
        Base URL of the object API.
    peer_key_file : str
        File with the secret shared by all members; not needed on the platform.
    api : str
        ``kubernetes``, or ``platform`` for the users' metadata store.
    """

    store_url: str
    peer_key_file: str = ""
    api: Literal["kubernetes", "platform"] = "kubernetes"


def load_settings(path, kind):
    """Return the settings in a file.

    Parameters
    ----------
    path : path-like
        The JSON file.
    kind : type
        `BalancerSettings`, `AgentSettings` or `OperatorSettings`.

    Raises
    ------
    SettingsError
        With one line naming the file, the field and the remedy.
    """
    try:
        settings = msgspec.json.decode(Path(path).read_bytes(), type=kind)
    except OSError as exc:
        raise SettingsError(
            f"{path}: cannot be read ({exc.strerror}); name an existing settings file"
        ) from exc
    except msgspec.DecodeError as exc:
        raise SettingsError(f"{path}: {exc}; see docs/configuration.md") from exc
    _check_files(path, settings)
    return settings


def read_peer_key(path):
    """Return the secret shared by all members.

    Raises
    ------
    SettingsError
        If the file is missing, open to others, or of the wrong length.
    """
    check_private(path, "peer_key_file")
    key = Path(path).read_bytes().strip()
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise SettingsError(
            f"{path}: peer_key_file holds {len(key)} bytes; use "
            f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
        )
    return key


def check_private(path, field):
    """Check that the file named by a settings field is readable only to its owner."""
    mode = _mode(path, field)
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsError(
            f"{path}: {field} is open to other users; run 'chmod 600 {path}'"
        )


def _check_files(path, settings):
    if isinstance(settings, OperatorSettings) and settings.api == "platform":
        return
    try:
        read_peer_key(settings.peer_key_file)
        if isinstance(settings, AgentSettings):
            _mode(settings.certificate_file, "certificate_file")
            check_private(settings.private_key_file, "private_key_file")
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def _mode(path, field):
    try:
        return Path(path).stat().st_mode
    except OSError as exc:
        raise SettingsError(
            f"{path}: {field} cannot be read ({exc.strerror}); create it"
        ) from exc
