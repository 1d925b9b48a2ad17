"""What an operator's commands do, apart from printing."""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec

from ryesaddle.daemons.quic.control import ControlClient, bearer
from ryesaddle.daemons.quic.replication import (
    CELLS,
    CONFIGURATION_NAME,
    CONFIGURATIONS,
)
from ryesaddle.errors import ConfigurationFolderError, ConflictError, EditConflictError
from ryesaddle.internal.config.change import FolderChange, diff_files, rebase
from ryesaddle.internal.config.folder import SYNC_STATE_FILE, merge_files, read_folder
from ryesaddle.internal.journal.entry import JournalEntry
from ryesaddle.internal.membership.snapshot import CellRecord
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.store.kubernetes import KubernetesApi
from ryesaddle.settings import read_peer_key

APPLY_ATTEMPTS = 5


class SeenState(msgspec.Struct, frozen=True):
    """What the folder was last synchronised with.

    Attributes
    ----------
    generation : int
        Generation of the configuration.
    files : dict of str to str
        Its files.
    """

    generation: int = 0
    files: dict[str, str] = {}


@dataclass(frozen=True)
class Held:
    """The configuration as the store holds it now."""

    generation: int
    files: dict[str, str]
    version: str


@dataclass(frozen=True)
class Applied:
    """The result of an accepted change."""

    generation: int
    lines: tuple


@dataclass(frozen=True)
class Trace:
    """Everything that is known of one request.

    Attributes
    ----------
    entries : tuple of JournalEntry
        Attempts, oldest first.
    silent : tuple of str
        Agents that did not answer, so that their records are not included.
    """

    entries: tuple
    silent: tuple


class OperatorClient:
    """Performs the commands of an operator.

    Parameters
    ----------
    settings : OperatorSettings
        Where the store is, and the shared secret.
    """

    def __init__(self, settings):
        self._settings = settings
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession()
        api = KubernetesApi(self._settings.store_url, self._session)
        self._store = StoreClient(api, random.Random())
        key = read_peer_key(self._settings.peer_key_file)
        self._control = ControlClient(self._session, bearer(key))
        return self

    async def __aexit__(self, *exc_info):
        await self._session.close()

    async def held(self):
        """Return the configuration that the store holds, as a `Held`."""
        obj = await self._store.get(CONFIGURATIONS, CONFIGURATION_NAME)
        if obj is None:
            return Held(0, {}, "")
        spec = obj.spec
        return Held(spec["generation"], spec["files"], obj.metadata.resource_version)

    async def apply(self, folder):
        """Bring the changes of a folder into force; return `Applied`.

        Raises
        ------
        ConfigurationFolderError
            If a file is wrong; nothing was changed.
        EditConflictError
            If another operator changed one of the same files; nothing was changed.
        """
        files = read_folder(folder)
        merge_files(files)
        seen = read_seen(folder)
        change = diff_files(seen.files, files)
        for _ in range(APPLY_ATTEMPTS):
            held = await self.held()
            wanted = rebase(change, seen.files, held.files)
            _check_merged(wanted, files)
            generation = held.generation
            if wanted != held.files:
                generation += 1
                spec = {"generation": generation, "files": wanted}
                try:
                    await self._store.write(
                        CONFIGURATIONS, CONFIGURATION_NAME, spec, held.version
                    )
                except ConflictError:
                    continue
            write_seen(folder, SeenState(generation, wanted), only=files)
            return Applied(generation, tuple(change.lines(seen.files)))
        raise EditConflictError(
            f"{folder}: other operators were faster {APPLY_ATTEMPTS} times; apply again"
        )

    async def pull(self, folder):
        """Bring the store's files into the folder, keeping local edits.

        Raises
        ------
        EditConflictError
            If a file was edited here and changed in the store since.
        """
        files = read_folder(folder)
        seen = read_seen(folder)
        held = await self.held()
        theirs = diff_files(seen.files, held.files)
        wanted = _rebase_pull(theirs, seen.files, files)
        for name in files.keys() - wanted.keys():
            (Path(folder) / name).unlink()
        for name, text in wanted.items():
            if files.get(name) != text:
                (Path(folder) / name).write_text(text, encoding="utf-8")
        write_seen(folder, SeenState(held.generation, held.files))
        return Applied(held.generation, tuple(theirs.lines(seen.files)))

    async def members(self):
        """Return all announced members."""
        objects, _ = await self._store.list(CELLS)
        records = [msgspec.convert(obj.spec, CellRecord) for obj in objects]
        return [member for record in records for member in record.members]

    async def status(self):
        """Return a dict of node name to status dict, None where there was no answer."""
        members = await self.members()
        bodies = await asyncio.gather(
            *(self._control.get(m.control, "/status") for m in members)
        )
        return {
            m.node: msgspec.json.decode(body) if body else None
            for m, body in zip(members, bodies)
        }

    async def trace(self, request_id):
        """Return the `Trace` of a request from all agents."""
        agents = [m for m in await self.members() if m.service]
        path = f"/requests/{request_id}"
        bodies = await asyncio.gather(
            *(self._control.get(m.control, path) for m in agents)
        )
        entries, silent = [], []
        for member, body in zip(agents, bodies):
            if body is None:
                silent.append(member.node)
            else:
                entries += msgspec.json.decode(body, type=list[JournalEntry])
        entries.sort(key=lambda entry: entry.received_at)
        return Trace(tuple(entries), tuple(silent))


def read_seen(folder):
    """Return the `SeenState` of a folder; empty if it was never synchronised."""
    file = Path(folder) / SYNC_STATE_FILE
    try:
        return msgspec.json.decode(file.read_bytes(), type=SeenState)
    except FileNotFoundError:
        return SeenState()
    except (OSError, msgspec.DecodeError) as exc:
        raise ConfigurationFolderError(
            [f"{SYNC_STATE_FILE}: cannot be read ({exc}); remove it and run pull"]
        ) from exc


def write_seen(folder, seen, only=None):
    """Record what a folder was synchronised with.

    Parameters
    ----------
    folder : path-like
        The configuration folder.
    seen : SeenState
        What the store holds.
    only : container of str, optional
        Leave out other files: they are not in the folder, and must not count as
        removed by the operator later.
    """
    if only is not None:
        kept = {name: text for name, text in seen.files.items() if name in only}
        seen = SeenState(seen.generation, kept)
    (Path(folder) / SYNC_STATE_FILE).write_bytes(msgspec.json.encode(seen))


def _check_merged(wanted, files):
    try:
        merge_files(wanted)
    except ConfigurationFolderError as exc:
        others = sorted(wanted.keys() - files.keys())
        raise ConfigurationFolderError(
            [*exc.problems, f"(store): also holds {', '.join(others)}; run pull"]
        ) from exc


def _rebase_pull(theirs: FolderChange, seen, files):
    try:
        return rebase(theirs, seen, files)
    except EditConflictError as exc:
        name = str(exc).partition(":")[0]
        raise EditConflictError(
            f"{name}: edited here and changed in the store; move your edit aside, "
            "pull again, redo it"
        ) from exc
