"""Reads, checks and merges the files of a configuration folder."""

from functools import lru_cache
from pathlib import Path

import msgspec

from ryesaddle.errors import ConfigurationFolderError
from ryesaddle.internal.config.configuration import Configuration
from ryesaddle.internal.config.model import (
    DrainFile,
    FolderFile,
    LimitsFile,
    RuleFile,
    ServiceFile,
)

STATE_FILE = ".ryesaddle.json"
DECODED_FILES = 65_536
MAX_FOLDER_BYTES = 900_000  # the object API holds values up to 1 MB

_decoder = msgspec.json.Decoder(FolderFile)


def read_folder(path):
    """Return the JSON files of a folder as a dict of file name to text.

    Raises
    ------
    ConfigurationFolderError
        If the folder or one of its files cannot be read.
    """
    files, problems = _read_files(path)
    if problems:
        raise ConfigurationFolderError(problems)
    return files


def check_folder(path):
    """Return the merged `Configuration` of a folder.

    Raises
    ------
    ConfigurationFolderError
        With the problems of all files, those that cannot be read included.
    """
    files, problems = _read_files(path)
    try:
        cfg = merge(files)
    except ConfigurationFolderError as exc:
        problems += exc.problems
    if problems:
        raise ConfigurationFolderError(sorted(problems))
    return cfg


def _read_files(path):
    folder = Path(path)
    if not folder.is_dir():
        raise ConfigurationFolderError(
            [f"{folder}: not a folder; name the configuration folder"]
        )
    files, problems = {}, []
    for file in sorted(folder.glob("*.json")):
        if file.name == STATE_FILE:
            continue
        try:
            files[file.name] = file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            problems.append(f"{file.name}: cannot be read ({exc}); save it as UTF-8")
    return files, problems


def merge(files, generation=0):
    """Merge files in the order of their names and check the whole.

    Parameters
    ----------
    files : dict of str to str
        JSON text by file name.
    generation : int
        Generation of the resulting configuration.

    Returns
    -------
    Configuration

    Raises
    ------
    ConfigurationFolderError
        With one line for each problem in any of the files.
    """
    merge = _Merge()
    if sum(len(text) for text in files.values()) > MAX_FOLDER_BYTES:
        merge.problems.append(
            f"(folder): larger than {MAX_FOLDER_BYTES} bytes; split it by service"
        )
    decoded = [(name, merge.decode(name, files[name])) for name in sorted(files)]
    for wanted in (ServiceFile, LimitsFile, RuleFile, DrainFile):
        for name, item in decoded:
            if isinstance(item, wanted):
                merge.add(name, item)
    if merge.problems:
        raise ConfigurationFolderError(sorted(merge.problems))
    return Configuration(
        generation, merge.services, tuple(merge.rules), frozenset(merge.drained)
    )


@lru_cache(maxsize=DECODED_FILES)
def _decode(text):
    # Most files of a new generation are those of the generation before.
    return _decoder.decode(text)


class _Merge:
    def __init__(self):
        self.problems = []
        self.services = {}
        self.rules = []
        self.drained = set()
        self._defined_in = {}
        self._ports = {}

    def decode(self, name, text):
        try:
            return _decode(text)
        except msgspec.DecodeError as exc:
            self.problems.append(f"{name}: {exc}; see docs/configuration.md")
            return None

    def add(self, name, item):
        match item:
            case ServiceFile():
                self._add_service(name, item)
            case LimitsFile():
                self._add_limits(name, item)
            case RuleFile():
                if self._is_known(name, item.service):
                    self.rules.append(item)
            case DrainFile():
                self.drained.add(item.target)

    def _add_service(self, name, item):
        if item.name in self._defined_in:
            first = self._defined_in[item.name]
            self.problems.append(
                f"{name}: service {item.name!r} is already defined in {first}; "
                "rename or remove one of them"
            )
            return
        if not 0 < item.port < 65_536:
            self.problems.append(
                f"{name}: port {item.port} is not a port; use 1 to 65535"
            )
        if item.port in self._ports:
            self.problems.append(
                f"{name}: port {item.port} is already used by {self._ports[item.port]};"
                " choose another"
            )
        self._check_limits(name, item.limits)
        self._defined_in[item.name] = name
        self._ports[item.port] = name
        self.services[item.name] = item

    def _add_limits(self, name, item):
        if self._is_known(name, item.service):
            self._check_limits(name, item.limits)
            service = self.services[item.service]
            changed = msgspec.structs.replace(service, limits=item.limits)
            self.services[item.service] = changed

    def _check_limits(self, name, limits):
        if limits.slots < 1 or limits.queue < 0:
            self.problems.append(
                f"{name}: slots must be at least 1 and queue at least 0; raise them"
            )
        seconds = (limits.request_timeout_s, limits.stop_limit_s, limits.key_ttl_s)
        if min(seconds) <= 0 or limits.ramp_s < 0:
            self.problems.append(
                f"{name}: times must be positive numbers of seconds; raise them"
            )

    def _is_known(self, name, service):
        if service in self.services:
            return True
        self.problems.append(
            f"{name}: service {service!r} is not defined; add a service file for it"
        )
        return False
