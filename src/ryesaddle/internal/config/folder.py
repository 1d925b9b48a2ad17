"""Reads, validates and merges the files of a configuration folder."""

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

SYNC_STATE_FILE = ".ryesaddle.json"
DECODE_CACHE_SIZE = 65_536
MAX_FOLDER_BYTES = 900_000  # the object API stores values of up to 1 MB

_decoder = msgspec.json.Decoder(FolderFile)


def read_folder(path):
    """Return the text of the JSON files of a folder by file name.

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
    """Validate a folder and return its merged `Configuration`.

    Raises
    ------
    ConfigurationFolderError
        With the problems of all files, including files that cannot be read.
    """
    files, problems = _read_files(path)
    try:
        cfg = merge_files(files)
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
        if file.name == SYNC_STATE_FILE:
            continue
        try:
            files[file.name] = file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            problems.append(f"{file.name}: cannot be read ({exc}); save it as UTF-8")
    return files, problems


def merge_files(files, generation=0):
    """Merge files in the order of their names and validate the result.

    Parameters
    ----------
    files : dict of str to str
        JSON text by file name.
    generation : int
        Generation number of the result.

    Returns
    -------
    Configuration

    Raises
    ------
    ConfigurationFolderError
        With one line for each problem in any of the files.
    """
    merger = _Merger()
    if sum(len(text) for text in files.values()) > MAX_FOLDER_BYTES:
        merger.problems.append(
            f"(folder): larger than {MAX_FOLDER_BYTES} bytes; split it by service"
        )
    decoded = [(name, merger.decode(name, files[name])) for name in sorted(files)]
    for file_type in (ServiceFile, LimitsFile, RuleFile, DrainFile):
        for name, item in decoded:
            if isinstance(item, file_type):
                merger.add(name, item)
    if merger.problems:
        raise ConfigurationFolderError(sorted(merger.problems))
    return Configuration(
        generation, merger.services, tuple(merger.rules), frozenset(merger.drained)
    )


@lru_cache(maxsize=DECODE_CACHE_SIZE)
def _decode(text):
    # Most files of a new generation are unchanged from the previous one.
    return _decoder.decode(text)


class _Merger:
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
                if self._require_service(name, item.service):
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
                f"{name}: port {item.port} is out of range; use 1 to 65535"
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
        if self._require_service(name, item.service):
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
                f"{name}: times must be positive numbers of seconds (ramp_s may be 0);"
                " raise them"
            )

    def _require_service(self, name, service):
        if service in self.services:
            return True
        self.problems.append(
            f"{name}: service {service!r} is not defined; add a service file for it"
        )
        return False
