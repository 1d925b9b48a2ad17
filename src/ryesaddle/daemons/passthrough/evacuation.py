"""The evacuated data centres as a balancer knows them."""

import logging

from ryesaddle.internal.config.evacuation import Evacuations
from ryesaddle.internal.log import event
from ryesaddle.internal.wire.passthrough import EvacuationUpdate

log = logging.getLogger(__name__)


class EvacuationMonitor:
    """Merges the evacuated data centres; tells changes to placement and agents.

    Parameters
    ----------
    messages : MessageSocket
        Sends the changes to agents.
    directory : AgentDirectory
        The known agents.
    placement : Placement
        Places no new flows in evacuated data centres.
    eras : EraTracker
        Tracks the eras of the store.
    """

    def __init__(self, messages, directory, placement, eras):
        self._messages = messages
        self._directory = directory
        self._placement = placement
        self._eras = eras
        self._evacuations = Evacuations()

    @property
    def state(self):
        """The `EvacuationState` in force; None if unknown."""
        return self._evacuations.state

    def apply_reading(self, reading, asked_at):
        """Apply a reading of the store that was asked for at a time."""
        is_settled = not self._eras.settle_delay_s(asked_at)
        if self._evacuations.apply_reading(reading, is_settled):
            self._announce("store")

    def merge(self, state, source):
        """Apply the state of another balancer; None if it has none."""
        if state is not None and self._evacuations.merge(state):
            self._announce(source)

    def _announce(self, source):
        state = self._evacuations.state
        event(
            log,
            "evacuations",
            data_centres=",".join(state.data_centres),
            revision=state.revision,
            era=state.era,
            source=source,
        )
        self._placement.set_evacuated(state.data_centres)
        # An agent that misses this message learns the state from the next
        # acknowledgement of one of its reports.
        addresses = [member.address for member in self._directory.members()]
        self._messages.send_all(addresses, EvacuationUpdate(state))
