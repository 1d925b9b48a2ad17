"""The shared state that each process holds a replica of."""

from collections import deque
from dataclasses import dataclass, field

import msgspec
import xxhash

from ryesaddle.internal.config.change import diff_files
from ryesaddle.internal.config.configuration import Configuration
from ryesaddle.internal.config.folder import merge_files
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.view import ServiceView

MAX_HISTORY = 64


class CellRecord(msgspec.Struct, frozen=True):
    """The members that one cell has announced.

    Attributes
    ----------
    cell : str
        Name of the cell.
    term : int
        Term of the leader that wrote the record.
    generation : int
        Grows with each write.
    members : tuple of Member
        Members believed to be running.
    """

    cell: str
    term: int = 0
    generation: int = 0
    members: tuple[Member, ...] = ()


class FilesChange(msgspec.Struct, frozen=True):
    """The configuration files that differ between two generations.

    Attributes
    ----------
    base, generation : int
        Generation that the change applies to, and the one it leads to.
    put : dict of str to str
        New text by file name, of added and altered files.
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
    generation, so replicas that exchange snapshots in any order, any number of
    times, agree, and none ever returns to an older configuration.
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
        In place of ``files``, the changes that lead to ``generation``; only in
        what one replica sends to another.
    """

    generation: int = 0
    files: dict[str, str] = {}
    cells: dict[str, CellRecord] = {}
    changes: tuple[FilesChange, ...] = ()

    def join(self, other):
        """Return the least snapshot that includes both.

        Changes of ``other`` that do not apply to these files are left out.
        """
        newer = self
        if other.generation > self.generation:
            newer = self._changed(other.changes) if other.changes else other
        cells = dict(self.cells)
        for name, record in other.cells.items():
            held = cells.get(name)
            if held is None or record.generation > held.generation:
                cells[name] = record
        return Snapshot(newer.generation, newer.files, cells)

    def _changed(self, changes):
        generation, files = self.generation, self.files
        for change in changes:
            if change.base == generation:
                kept = {k: v for k, v in files.items() if k not in change.removed}
                generation, files = change.generation, {**kept, **change.put}
        return Snapshot(generation, files)

    def digest(self):
        """Return an integer that differs between different snapshots."""
        parts = [f"config={self.generation}"]
        parts += [f"{c.cell}={c.generation}" for _, c in sorted(self.cells.items())]
        return xxhash.xxh3_64_intdigest("|".join(parts).encode())

    def members(self):
        """Yield every announced `Member`."""
        for _, record in sorted(self.cells.items()):
            yield from record.members


class Delta(msgspec.Struct, frozen=True):
    """What a replica has learned since a version of it.

    Attributes
    ----------
    incarnation, version : int
        The run of the process that holds the replica, and its version now.
    snapshot : Snapshot
        The newer parts only; joining it is as good as joining the whole.
    """

    incarnation: int
    version: int
    snapshot: Snapshot


@dataclass
class Replica:
    """The snapshot of one process and what follows from it.

    Attributes
    ----------
    snapshot : Snapshot
        Join of all snapshots seen.
    cfg : Configuration
        Merged configuration of the snapshot.
    version : int
        Counts the changes that this process has seen.
    views : dict of str to ServiceView
        View of each service that has members.
    """

    snapshot: Snapshot = field(default_factory=Snapshot)
    cfg: Configuration = field(default_factory=Configuration)
    version: int = 0
    views: dict[str, ServiceView] = field(default_factory=dict)
    _learned_cells: dict[str, int] = field(default_factory=dict)
    _learned_files: int = 0
    _history: deque = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))

    def absorb(self, other):
        """Join ``other`` into the replica; return whether anything changed."""
        joined = self.snapshot.join(other)
        if joined == self.snapshot:
            return False
        if joined.generation != self.snapshot.generation:
            self.cfg = merge_files(joined.files, joined.generation)
            self._learned_files = self.version + 1
            change = _files_change(self.snapshot, joined)
            self._history.append((self._learned_files, change))
        for name, record in joined.cells.items():
            if record != self.snapshot.cells.get(name):
                self._learned_cells[name] = self.version + 1
        self.snapshot = joined
        self.version += 1
        self.views = self._views()
        return True

    def since(self, version):
        """Return the `Snapshot` of what was learned after ``version``.

        Sending only this is sound because the parts join one by one. Reference:
        Almeida, Shoker and Baquero, "Delta state replicated data types", 2018.
        """
        snapshot = self.snapshot
        cells = {
            name: record
            for name, record in snapshot.cells.items()
            if self._learned_cells[name] > version
        }
        if self._learned_files <= version:
            return Snapshot(cells=cells)
        changes = tuple(change for at, change in self._history if at > version)
        # The changes lead on from what the other replica has only if it has seen
        # this one before and none of them was pushed out.
        if version and len(changes) < MAX_HISTORY:
            return Snapshot(snapshot.generation, {}, cells, changes)
        return Snapshot(snapshot.generation, snapshot.files, cells)

    def _views(self):
        grouped = {}
        for member in self.snapshot.members():
            if member.service:
                grouped.setdefault(member.service, []).append(member)
        return {name: self._view(name, grouped[name]) for name in grouped}

    def _view(self, service, members):
        closed = frozenset(
            m.node
            for m in members
            if not self.cfg.admits(service, m.target, m.data_centre)
        )
        generations = {c.cell: c.generation for c in self.snapshot.cells.values()}
        return ServiceView(service, self.version, tuple(members), closed, generations)


def _files_change(old, new):
    change = diff_files(old.files, new.files)
    return FilesChange(
        old.generation, new.generation, change.put, tuple(sorted(change.removed))
    )
