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
    """Settings common to balancers and agents.

    Attributes
    ----------
    node : str
        Name of the process, unique in the deployment.
    data_centre, cell : str
        Data centre and cell that the process belongs to.
    peer, control : Address
        Addresses that receive datagrams (UDP) and HTTP calls (TCP) from members.
    store_url : str
        Base URL of the object API.
    peer_key_file : str
        File with the secret shared by all members.
    seeds : tuple of Address
        Control addresses of members that a snapshot is fetched from while the store
        is unavailable.
    statsd : Address or None
        The statsd server that receives metrics; None sends none.
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
        Local IP address on which the ports of all services are bound.
    """

    service_host: str


class AgentSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Attributes
    ----------
    service, target : str
        Names of the service and of the target.
    target_address : Address
        Address at which the target accepts HTTP/1.1.
    certificate_file, private_key_file : str
        Files with the TLS certificate chain presented to callers, and its private
        key, in PEM format.
    """

    service: str
    target: str
    target_address: Address
    certificate_file: str
    private_key_file: str


class OperatorSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the operator's commands.

    Attributes
    ----------
    store_url : str
        Base URL of the object API.
    peer_key_file : str
        File with the secret shared by all members; not needed on the platform.
    api : str
        ``kubernetes``, or ``platform`` for the platform's metadata store.
    """

    store_url: str
    peer_key_file: str = ""
    api: Literal["kubernetes", "platform"] = "kubernetes"


def load_settings(path, settings_type):
    """Return the settings in a JSON file, after checking the files that it names.

    Parameters
    ----------
    path : path-like
        The JSON file.
    settings_type : type
        `BalancerSettings`, `AgentSettings` or `OperatorSettings`.

    Raises
    ------
    SettingsError
        If the settings cannot be used; the message is one line that names the file,
        the field and the remedy.
    """
    try:
        settings = msgspec.json.decode(Path(path).read_bytes(), type=settings_type)
    except OSError as exc:
        raise SettingsError(
            f"{path}: cannot be read ({exc.strerror}); name an existing settings file"
        ) from exc
    except msgspec.DecodeError as exc:
        raise SettingsError(f"{path}: {exc}; see docs/configuration.md") from exc
    _check_named_files(path, settings)
    return settings


def read_peer_key(path):
    """Return the secret shared by all members.

    Raises
    ------
    SettingsError
        If the file is missing or readable by other users, or the key is too short
        or too long.
    """
    check_owner_only(path, "peer_key_file")
    key = Path(path).read_bytes().strip()
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise SettingsError(
            f"{path}: peer_key_file holds {len(key)} bytes; use "
            f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
        )
    return key


def check_owner_only(path, field):
    """Check that only its owner has access to the file named by a settings field.

    Raises
    ------
    SettingsError
        If the file cannot be examined or its mode permits access to others.
    """
    mode = _file_mode(path, field)
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsError(
            f"{path}: {field} is accessible to other users; run 'chmod 600 {path}'"
        )


def _check_named_files(path, settings):
    if isinstance(settings, OperatorSettings) and settings.api == "platform":
        return
    try:
        read_peer_key(settings.peer_key_file)
        if isinstance(settings, AgentSettings):
            _file_mode(settings.certificate_file, "certificate_file")
            check_owner_only(settings.private_key_file, "private_key_file")
    except SettingsError as exc:
        raise SettingsError(f"{path}: {exc}") from exc


def _file_mode(path, field):
    try:
        return Path(path).stat().st_mode
    except OSError as exc:
        raise SettingsError(
            f"{path}: {field} cannot be read ({exc.strerror}); create it"
        ) from exc
