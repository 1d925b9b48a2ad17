"""Validation of configuration folders and settings files."""

from pathlib import Path

import msgspec

from ryesaddle.daemons.passthrough.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
    load_passthrough_settings,
)
from ryesaddle.errors import ConfigurationFolderError, SettingsError
from ryesaddle.internal.config.folder import check_folder
from ryesaddle.settings import (
    AgentSettings,
    BalancerSettings,
    OperatorSettings,
    load_settings,
)

# A settings type is recognised by a field that only it has.
SETTINGS_TYPES = (
    ("outbound", PassthroughAgentSettings, load_passthrough_settings),
    ("callers", PassthroughBalancerSettings, load_passthrough_settings),
    ("target_address", AgentSettings, load_settings),
    ("service_host", BalancerSettings, load_settings),
)

# The output keeps these names, which differ from the names of the classes.
PRINTED_NAMES = {
    PassthroughAgentSettings: "PassingAgentSettings",
    PassthroughBalancerSettings: "PassingBalancerSettings",
}


def check_paths(paths):
    """Return one line for each valid path.

    Parameters
    ----------
    paths : iterable of path-like
        Configuration folders and settings files.

    Raises
    ------
    ConfigurationFolderError
        If any path is invalid, with one line for each problem of all paths.
    """
    lines, problems = [], []
    for path in map(Path, paths):
        try:
            lines.append(_check_path(path))
        except ConfigurationFolderError as exc:
            problems += exc.problems
        except SettingsError as exc:
            problems.append(str(exc))
    if problems:
        raise ConfigurationFolderError(problems)
    return lines


def _check_path(path):
    if path.is_dir() or not path.exists():
        cfg = check_folder(path)
        return f"{path}: {len(cfg.services)} services, {len(cfg.rules)} rules: good"
    settings_type, load = _detect_settings_type(path)
    load(path, settings_type)
    return f"{path}: {PRINTED_NAMES.get(settings_type, settings_type.__name__)}: good"


def _detect_settings_type(path):
    try:
        fields = msgspec.json.decode(path.read_bytes(), type=dict)
    except (OSError, UnicodeDecodeError, msgspec.DecodeError) as exc:
        raise SettingsError(f"{path}: {exc}; see docs/configuration.md") from exc
    for field, settings_type, load in SETTINGS_TYPES:
        if field in fields:
            return settings_type, load
    return OperatorSettings, load_settings
