"""The data centres whose targets must get no new flows."""

import msgspec

from ryesaddle.internal.store.era import ERA_SETTLE_S


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

    Readings of the first `ERA_SETTLE_S` of an era do not replace a known state. A
    process without any state uses them, as a state of era 0 and revision 0, which
    every other one replaces. A state that a peer holds is used at once, since the
    peer has waited already.

    Attributes
    ----------
    state : EvacuationState or None
        The state in force; None if unknown.
    """

    def __init__(self):
        self.state = None
        self._era = 0
        self._era_seen_at = None
        self._unsettled_revision = -1

    @property
    def data_centres(self):
        """Names of the evacuated data centres; empty if unknown."""
        return self.state.data_centres if self.state is not None else ()

    def record_era(self, era, now):
        """Record the era in an answer of the store or in a message of a peer."""
        if era > self._era:
            self._era, self._era_seen_at = era, now
            self._unsettled_revision = -1

    def apply_reading(self, reading, asked_at, now):
        """Apply this process's own reading of the store.

        Parameters
        ----------
        reading : EvacuationState
            What the store answered.
        asked_at, now : float
            When the store was asked and when it answered, in seconds on a monotonic
            clock.

        Returns
        -------
        bool
            Whether other data centres are evacuated now.
        """
        self.record_era(reading.era, now)
        if reading.era < self._era:
            return False
        if self._is_settled(asked_at):
            return self.merge(reading)
        if _order(self.state) > _order(EvacuationState()):
            return False
        if reading.revision <= self._unsettled_revision:
            return False
        self._unsettled_revision = reading.revision
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

    def _is_settled(self, now):
        # Era 0 is that of a store that has never lost a change.
        return self._era_seen_at is None or now - self._era_seen_at >= ERA_SETTLE_S


def _order(state):
    return (-1, -1) if state is None else (state.era, state.revision)
