"""The replicated state that every process holds."""

from collections import deque
from dataclasses import dataclass, field

import msgspec
import xxhash

from ryesaddle.internal.config.change import diff_files
from ryesaddle.internal.config.configuration import Configuration
from ryesaddle.internal.config.folder import merge_files
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.view import ServiceView

MAX_HISTORY_CHANGES = 64


class CellRecord(msgspec.Struct, frozen=True):
    """The members that one cell has announced.

    Attributes
    ----------
    cell : str
        Name of the cell.
    term : int
        Term of the leader that wrote the record.
    generation : int
        Incremented with each write.
    members : tuple of Member
        Members believed to be running.
    """

    cell: str
    term: int = 0
    generation: int = 0
    members: tuple[Member, ...] = ()


class FilesChange(msgspec.Struct, frozen=True):
    """Difference between the configuration files of two generations.

    Attributes
    ----------
    base, generation : int
        Generation that the change applies to, and the resulting generation.
    put : dict of str to str
        Content of added and modified files by file name.
    removed : tuple of str
        Names of removed files.
    """

    base: int
    generation: int
    put: dict[str, str]
    removed: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """The configuration files and the records of all cells.

    Snapshots form a join semilattice: `join` keeps the record of the higher
    generation. Replicas that exchange snapshots in any order and any number of
    times therefore converge, and none ever returns to an older configuration.
    Reference: Shapiro et al., "Conflict-free replicated data types", 2011.

    Attributes
    ----------
    generation : int
        Generation of the configuration.
    files : dict of str to str
        Configuration files by name.
    cells : dict of str to CellRecord
        Cell records by cell name.
    changes : tuple of FilesChange
        Changes that lead to ``generation``, in place of ``files``. Used only in
        snapshots that one replica sends to another.
    """

    generation: int = 0
    files: dict[str, str] = {}
    cells: dict[str, CellRecord] = {}
    changes: tuple[FilesChange, ...] = ()

    def join(self, other):
        """Return the least snapshot that includes both.

        Changes of ``other`` that do not apply to these files are ignored.
        """
        newer = self
        if other.generation > self.generation:
            newer = self._apply_changes(other.changes) if other.changes else other
        cells = dict(self.cells)
        for name, record in other.cells.items():
            held = cells.get(name)
            if held is None or record.generation > held.generation:
                cells[name] = record
        return Snapshot(newer.generation, newer.files, cells)

    def _apply_changes(self, changes):
        generation, files = self.generation, self.files
        for change in changes:
            if change.base == generation:
                kept = {k: v for k, v in files.items() if k not in change.removed}
                generation, files = change.generation, {**kept, **change.put}
        return Snapshot(generation, files)

    def digest(self):
        """Return a hash of the generations of the configuration and of all records."""
        parts = [f"config={self.generation}"]
        parts += [f"{c.cell}={c.generation}" for _, c in sorted(self.cells.items())]
        return xxhash.xxh3_64_intdigest("|".join(parts).encode())

    def members(self):
        """Yield the `Member` items of all cells."""
        for _, record in sorted(self.cells.items()):
            yield from record.members


class Delta(msgspec.Struct, frozen=True):
    """Changes of a replica since one of its earlier versions.

    Attributes
    ----------
    incarnation, version : int
        Incarnation of the process that holds the replica, and its current version.
    snapshot : Snapshot
        Only the newer parts; joining it has the same effect as joining the whole.
    """

    incarnation: int
    version: int
    snapshot: Snapshot


@dataclass
class Replica:
    """The snapshot of one process and the state derived from it.

    Attributes
    ----------
    snapshot : Snapshot
        Join of all snapshots received.
    cfg : Configuration
        Merged configuration of the snapshot.
    version : int
        Number of changes applied by this process.
    views : dict of str to ServiceView
        View of each service that has members.
    """

    snapshot: Snapshot = field(default_factory=Snapshot)
    cfg: Configuration = field(default_factory=Configuration)
    version: int = 0
    views: dict[str, ServiceView] = field(default_factory=dict)
    _cell_versions: dict[str, int] = field(default_factory=dict)
    _files_version: int = 0
    _history: deque = field(default_factory=lambda: deque(maxlen=MAX_HISTORY_CHANGES))

    def absorb(self, other):
        """Join ``other`` into this replica; return whether anything changed."""
        joined = self.snapshot.join(other)
        if joined == self.snapshot:
            return False
        if joined.generation != self.snapshot.generation:
            self.cfg = merge_files(joined.files, joined.generation)
            self._files_version = self.version + 1
            change = _diff_files(self.snapshot, joined)
            self._history.append((self._files_version, change))
        for name, record in joined.cells.items():
            if record != self.snapshot.cells.get(name):
                self._cell_versions[name] = self.version + 1
        self.snapshot = joined
        self.version += 1
        self.views = self._build_views()
        return True

    def since(self, version):
        """Return a `Snapshot` of the changes after ``version``.

        This delta is sufficient because the parts of a snapshot join independently.
        Reference: Almeida, Shoker and Baquero, "Delta state replicated data types",
        2018.
        """
        snapshot = self.snapshot
        cells = {
            name: record
            for name, record in snapshot.cells.items()
            if self._cell_versions[name] > version
        }
        if self._files_version <= version:
            return Snapshot(cells=cells)
        changes = tuple(change for at, change in self._history if at > version)
        # The changes apply at the other replica only if it has fetched from this one
        # before and none of them has been evicted from the history.
        if version and len(changes) < MAX_HISTORY_CHANGES:
            return Snapshot(snapshot.generation, {}, cells, changes)
        return Snapshot(snapshot.generation, snapshot.files, cells)

    def _build_views(self):
        grouped = {}
        for member in self.snapshot.members():
            if member.service:
                grouped.setdefault(member.service, []).append(member)
        return {name: self._build_view(name, grouped[name]) for name in grouped}

    def _build_view(self, service, members):
        closed = frozenset(
            m.node
            for m in members
            if not self.cfg.admits(service, m.target, m.data_centre)
        )
        generations = {c.cell: c.generation for c in self.snapshot.cells.values()}
        return ServiceView(service, self.version, tuple(members), closed, generations)


def _diff_files(old, new):
    change = diff_files(old.files, new.files)
    return FilesChange(
        old.generation, new.generation, change.put, tuple(sorted(change.removed))
    )
