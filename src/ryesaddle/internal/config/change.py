"""Diffs of a configuration folder, and rebasing them on the stored version."""

from dataclasses import dataclass

from ryesaddle.errors import EditConflictError


@dataclass(frozen=True)
class FolderChange:
    """Difference between two versions of a configuration folder.

    Attributes
    ----------
    put : dict of str to str
        Text of the added and modified files by file name.
    removed : frozenset of str
        Names of the removed files.
    """

    put: dict[str, str]
    removed: frozenset

    def __bool__(self):
        return bool(self.put or self.removed)

    def lines(self, base):
        """Return a summary of one line for each file, sorted by name.

        The line is ``+ name`` for an added file, ``~ name`` for a modified one
        and ``- name`` for a removed one.

        Parameters
        ----------
        base : dict of str to str
            The files before the change.
        """
        prefixes = {name: "~" if name in base else "+" for name in self.put}
        prefixes.update(dict.fromkeys(self.removed, "-"))
        return [f"{prefixes[name]} {name}" for name in sorted(prefixes)]


def diff_files(base, files):
    """Return the `FolderChange` that turns ``base`` into ``files``."""
    put = {name: text for name, text in files.items() if base.get(name) != text}
    return FolderChange(put, frozenset(base.keys() - files.keys()))


def rebase(change, base, current):
    """Return ``current`` with ``change`` applied.

    Parameters
    ----------
    change : FolderChange
        The operator's change, made against ``base``.
    base, current : dict of str to str
        The files of the operator's last synchronisation, and those in the store.

    Raises
    ------
    EditConflictError
        If another operator has since changed one of the same files differently.
    """
    touched = change.put.keys() | change.removed
    conflicting = [
        name
        for name in sorted(touched)
        if current.get(name) != base.get(name)
        and current.get(name) != change.put.get(name)
    ]
    if conflicting:
        raise EditConflictError(
            f"{', '.join(conflicting)}: changed by another operator since you last "
            "synchronised; run 'ryesaddle pull', redo your edit, apply again"
        )
    kept = {k: v for k, v in current.items() if k not in change.removed}
    return {**kept, **change.put}
