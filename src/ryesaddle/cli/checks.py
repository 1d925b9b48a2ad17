"""Checks of files, with every problem of every file at once."""

from pathlib import Path

import msgspec

from ryesaddle.daemons.passing.settings import (
    PassingAgentSettings,
    PassingBalancerSettings,
    load_passing_settings,
)
from ryesaddle.errors import ConfigurationFolderError, SettingsError
from ryesaddle.internal.config.folder import check_folder
from ryesaddle.settings import (
    AgentSettings,
    BalancerSettings,
    OperatorSettings,
    load_settings,
)

# A field that only settings of that kind have.
KINDS = (
    ("outbound", PassingAgentSettings, load_passing_settings),
    ("callers", PassingBalancerSettings, load_passing_settings),
    ("target_address", AgentSettings, load_settings),
    ("service_host", BalancerSettings, load_settings),
)

# The output keeps these names, which differ from the names of the classes.
PRINTED_NAMES = {
    PassingAgentSettings: "PassingAgentSettings",
    PassingBalancerSettings: "PassingBalancerSettings",
}


def check_paths(paths):
    """Return a line for each good path.

    Parameters
    ----------
    paths : iterable of path-like
        Configuration folders and settings files.

    Raises
    ------
    ConfigurationFolderError
        With one line for each problem of any of them.
    """
    lines, problems = [], []
    for path in map(Path, paths):
        try:
            lines.append(_check(path))
        except ConfigurationFolderError as exc:
            problems += exc.problems
        except SettingsError as exc:
            problems.append(str(exc))
    if problems:
        raise ConfigurationFolderError(problems)
    return lines


def _check(path):
    if path.is_dir() or not path.exists():
        cfg = check_folder(path)
        return f"{path}: {len(cfg.services)} services, {len(cfg.rules)} rules: good"
    kind, load = _kind(path)
    load(path, kind)
    return f"{path}: {PRINTED_NAMES.get(kind, kind.__name__)}: good"


def _kind(path):
    try:
        fields = msgspec.json.decode(path.read_bytes(), type=dict)
    except (OSError, UnicodeDecodeError, msgspec.DecodeError) as exc:
        raise SettingsError(f"{path}: {exc}; see docs/configuration.md") from exc
    for field, kind, load in KINDS:
        if field in fields:
            return kind, load
    return OperatorSettings, load_settings
