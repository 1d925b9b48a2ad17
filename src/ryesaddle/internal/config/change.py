"""What an operator changed, and whether it fits what the store holds now."""

from dataclasses import dataclass

from ryesaddle.errors import EditConflictError


@dataclass(frozen=True)
class Change:
    """Files that differ from the version the operator last saw.

    Attributes
    ----------
    put : dict of str to str
        New text by file name, of added and altered files.
    removed : frozenset of str
        Names of removed files.
    """

    put: dict[str, str]
    removed: frozenset

    def __bool__(self):
        return bool(self.put or self.removed)

    def lines(self, base):
        """Return one ``+ name``, ``~ name`` or ``- name`` line for each file."""
        marks = {name: "~" if name in base else "+" for name in self.put}
        marks.update(dict.fromkeys(self.removed, "-"))
        return [f"{marks[name]} {name}" for name in sorted(marks)]


def compare(base, files):
    """Return the `Change` that leads from ``base`` to ``files``."""
    put = {name: text for name, text in files.items() if base.get(name) != text}
    return Change(put, frozenset(base.keys() - files.keys()))


def rebase(change, base, current):
    """Return ``current`` with ``change`` applied.

    Parameters
    ----------
    change : Change
        Made by the operator against ``base``.
    base, current : dict of str to str
        The files the operator last saw, and those the store holds now.

    Raises
    ------
    EditConflictError
        If another operator has changed one of the same files since.
    """
    touched = change.put.keys() | change.removed
    raced = [
        name
        for name in sorted(touched)
        if current.get(name) != base.get(name)
        and current.get(name) != change.put.get(name)
    ]
    if raced:
        raise EditConflictError(
            f"{', '.join(raced)}: changed by another operator since you last "
            "synchronised; run 'ryesaddle pull', redo your edit, apply again"
        )
    kept = {k: v for k, v in current.items() if k not in change.removed}
    return {**kept, **change.put}
