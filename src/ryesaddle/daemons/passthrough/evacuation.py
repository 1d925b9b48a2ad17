"""The evacuated data centres as a balancer knows them."""

import asyncio
import logging

from ryesaddle.internal.config.evacuation import Evacuations
from ryesaddle.internal.log import event
from ryesaddle.internal.membership.standstill import Standstill
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
        self._standstill = None

    @property
    def state(self):
        """The `EvacuationState` in force; None if unknown."""
        return self._evacuations.state

    def confirmed_state(self):
        """Return the state for other processes; None if it may have run out.

        It may have if this process has stood still, until the store or another
        balancer has confirmed it. Must be called several times a second.
        """
        now = self._now()
        if self._standstill is None:
            self._standstill = Standstill(now)
        return None if self._standstill.is_unconfirmed(now) else self.state

    def record_failed_reading(self, asked_at):
        """Record that the store has not answered; what is known then holds."""
        self._confirm(asked_at)

    def apply_reading(self, reading, asked_at):
        """Apply a reading of the store that was asked for at a time."""
        self._confirm(asked_at)
        is_settled = not self._eras.settle_delay_s(asked_at)
        if self._evacuations.apply_reading(reading, is_settled):
            self._announce("store")

    def merge(self, state, source):
        """Apply the state of another balancer; None if it has none."""
        if state is None:
            return
        self._confirm()
        if self._evacuations.merge(state):
            self._announce(source)

    def _confirm(self, asked_at=None):
        if self._standstill is not None:
            self._standstill.confirm(self._now(), asked_at)

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

    def _now(self):
        return asyncio.get_running_loop().time()
