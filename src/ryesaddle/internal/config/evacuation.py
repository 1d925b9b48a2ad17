"""The data centres whose targets must get no new flows."""

import msgspec


class EvacuationState(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated data centres, as one reading of the store gave them.

    Attributes
    ----------
    era : int
        Era of the store; it rises when the store has lost its latest changes.
    revision : int
        Revision of the store at the reading. Of two readings, the one with the
        higher era and then the higher revision is newer.
    data_centres : tuple of str
        Names of the evacuated data centres, sorted.
    """

    era: int = 0
    revision: int = 0
    data_centres: tuple[str, ...] = ()
