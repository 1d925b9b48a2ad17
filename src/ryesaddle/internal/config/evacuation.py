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


class Evacuations:
    """Decides which reading of the evacuated data centres is in force.

    Addresses the moment at which callers are moved to the other data centres:
    readings reach a process from the store and from peers, in any order, and an older
    one must not bring back what a newer one has changed.

    Readings of an era that has not settled (`EraTracker`) do not replace a known
    state. A process without any state uses them, as a state of era 0 and revision 0,
    which every other one replaces. A state that a peer holds is used at once, since
    the peer has waited already.

    Attributes
    ----------
    state : EvacuationState or None
        The state in force; None if unknown.
    """

    def __init__(self):
        self.state = None
        self._unsettled_order = _order(None)

    @property
    def data_centres(self):
        """Names of the evacuated data centres; empty if unknown."""
        return self.state.data_centres if self.state is not None else ()

    def apply_reading(self, reading, is_settled):
        """Apply this process's own reading of the store.

        Parameters
        ----------
        reading : EvacuationState
            What the store answered.
        is_settled : bool
            Whether the era of the store had settled when it was asked.

        Returns
        -------
        bool
            Whether other data centres are evacuated now.
        """
        if is_settled:
            return self.merge(reading)
        if _order(self.state) > _order(EvacuationState()):
            return False
        if _order(reading) <= self._unsettled_order:
            return False
        self._unsettled_order = _order(reading)
        return self._replace(EvacuationState(data_centres=reading.data_centres))

    def merge(self, state):
        """Use the state of a peer if it is newer, or if none is known.

        Returns
        -------
        bool
            Whether other data centres are evacuated now.
        """
        if _order(state) <= _order(self.state):
            return False
        return self._replace(state)

    def _replace(self, state):
        before, self.state = self.data_centres, state
        return state.data_centres != before


def _order(state):
    return (-1, -1) if state is None else (state.era, state.revision)
