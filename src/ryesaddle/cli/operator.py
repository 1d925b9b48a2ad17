"""The operations behind the operator's commands."""

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


class SyncState(msgspec.Struct, frozen=True):
    """The configuration that a folder was last synchronised with.

    Attributes
    ----------
    generation : int
        Generation of the configuration.
    files : dict of str to str
        Text of its files by file name.
    """

    generation: int = 0
    files: dict[str, str] = {}


@dataclass(frozen=True)
class StoredConfiguration:
    """The configuration in the store.

    Attributes
    ----------
    generation : int
        Generation of the configuration, 0 if the store has none.
    files : dict of str to str
        Text of its files by file name.
    version : str
        Resource version for a conditional write.
    """

    generation: int
    files: dict[str, str]
    version: str


@dataclass(frozen=True)
class SyncResult:
    """The result of an `OperatorClient.apply` or `OperatorClient.pull`.

    Attributes
    ----------
    generation : int
        Generation that the folder now corresponds to.
    lines : tuple of str
        One line for each changed file, as in `FolderChange.lines`.
    """

    generation: int
    lines: tuple


@dataclass(frozen=True)
class Trace:
    """The journal entries of one request.

    Attributes
    ----------
    entries : tuple of JournalEntry
        Attempts, oldest first.
    silent : tuple of str
        Names of the agents that did not answer; their entries are missing.
    """

    entries: tuple
    silent: tuple


class OperatorClient:
    """Executes the commands of an operator.

    Parameters
    ----------
    settings : OperatorSettings
        URL of the store, and the file of the shared secret.
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

    async def read_configuration(self):
        """Return the `StoredConfiguration`."""
        obj = await self._store.get(CONFIGURATIONS, CONFIGURATION_NAME)
        if obj is None:
            return StoredConfiguration(0, {}, "")
        spec = obj.spec
        return StoredConfiguration(
            spec["generation"], spec["files"], obj.metadata.resource_version
        )

    async def apply(self, folder):
        """Write the changes of a folder to the store; return a `SyncResult`.

        Raises
        ------
        ConfigurationFolderError
            If a file is invalid; the store is unchanged.
        EditConflictError
            If another operator changed one of the same files, or every attempt
            lost a race with another write; the store is unchanged.
        """
        files = read_folder(folder)
        merge_files(files)
        last_sync = read_sync_state(folder)
        local_change = diff_files(last_sync.files, files)
        for _ in range(APPLY_ATTEMPTS):
            stored = await self.read_configuration()
            merged = rebase(local_change, last_sync.files, stored.files)
            _check_merged(merged, files)
            generation = stored.generation
            if merged != stored.files:
                generation += 1
                spec = {"generation": generation, "files": merged}
                try:
                    await self._store.write(
                        CONFIGURATIONS, CONFIGURATION_NAME, spec, stored.version
                    )
                except ConflictError:
                    continue
            write_sync_state(folder, SyncState(generation, merged), only=files)
            return SyncResult(generation, tuple(local_change.lines(last_sync.files)))
        raise EditConflictError(
            f"{folder}: other operators changed the configuration during each of "
            f"{APPLY_ATTEMPTS} attempts; apply again"
        )

    async def pull(self, folder):
        """Update a folder from the store, keeping local edits; return a `SyncResult`.

        Raises
        ------
        EditConflictError
            If a file was edited in the folder and has also changed in the store.
        """
        files = read_folder(folder)
        last_sync = read_sync_state(folder)
        stored = await self.read_configuration()
        store_change = diff_files(last_sync.files, stored.files)
        updated = _rebase_pull(store_change, last_sync.files, files)
        for name in files.keys() - updated.keys():
            (Path(folder) / name).unlink()
        for name, text in updated.items():
            if files.get(name) != text:
                (Path(folder) / name).write_text(text, encoding="utf-8")
        write_sync_state(folder, SyncState(stored.generation, stored.files))
        return SyncResult(stored.generation, tuple(store_change.lines(last_sync.files)))

    async def members(self):
        """Return the members of all cells."""
        objects, _ = await self._store.list(CELLS)
        records = [msgspec.convert(obj.spec, CellRecord) for obj in objects]
        return [member for record in records for member in record.members]

    async def status(self):
        """Return the status of each node by name, None if it did not answer."""
        members = await self.members()
        bodies = await asyncio.gather(
            *(self._control.get(m.control, "/status") for m in members)
        )
        return {
            m.node: msgspec.json.decode(body) if body else None
            for m, body in zip(members, bodies)
        }

    async def trace(self, request_id):
        """Return the `Trace` of a request, collected from all agents."""
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


def read_sync_state(folder):
    """Return the `SyncState` of a folder, empty if it was never synchronised."""
    file = Path(folder) / SYNC_STATE_FILE
    try:
        return msgspec.json.decode(file.read_bytes(), type=SyncState)
    except FileNotFoundError:
        return SyncState()
    except (OSError, msgspec.DecodeError) as exc:
        raise ConfigurationFolderError(
            [f"{SYNC_STATE_FILE}: cannot be read ({exc}); remove it and run pull"]
        ) from exc


def write_sync_state(folder, state, only=None):
    """Record the configuration that a folder was synchronised with.

    Parameters
    ----------
    folder : path-like
        The configuration folder.
    state : SyncState
        Generation and files of the configuration in the store.
    only : container of str, optional
        Names of the files to record, all by default. A recorded file that is not in
        the folder would be taken for one that the operator removed.
    """
    if only is not None:
        kept = {name: text for name, text in state.files.items() if name in only}
        state = SyncState(state.generation, kept)
    (Path(folder) / SYNC_STATE_FILE).write_bytes(msgspec.json.encode(state))


def _check_merged(merged, local_files):
    try:
        merge_files(merged)
    except ConfigurationFolderError as exc:
        store_only = sorted(merged.keys() - local_files.keys())
        raise ConfigurationFolderError(
            [*exc.problems, f"(store): also holds {', '.join(store_only)}; run pull"]
        ) from exc


def _rebase_pull(store_change: FolderChange, base, local_files):
    try:
        return rebase(store_change, base, local_files)
    except EditConflictError as exc:
        name = str(exc).partition(":")[0]
        raise EditConflictError(
            f"{name}: edited here and changed in the store; move your edit aside, "
            "pull again, redo it"
        ) from exc
