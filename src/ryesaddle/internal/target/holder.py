"""The decision of an agent whose flows end at the target beside it."""

from dataclasses import dataclass

import msgspec

from ryesaddle.internal.wire.passing import Candidate, Carry


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give the packet to the target.

    Attributes
    ----------
    reason : str
        For the decision log.
    moved : bool
        Whether the balancer expects the flow at another agent.
    """

    reason: str
    moved: bool = False


@dataclass(frozen=True, slots=True)
class OfferTo:
    """Send the new flow to another agent."""

    candidate: Candidate
    reason: str
    carry: Carry


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Return the packet to the balancer, which tries elsewhere."""

    reason: str
    carry: Carry


class Holder:
    """Routes the packets that reach one agent.

    Parameters
    ----------
    me : Candidate
        This agent.
    service : str
        The service of the target beside it.
    belief : TargetBelief
        What is known of the target.
    flows : TargetFlows
        The flows at the target.

    Attributes
    ----------
    draining : bool
        Whether this agent is about to stop.
    """

    def __init__(self, me, service, belief, flows):
        self._me = me
        self._service = service
        self._belief = belief
        self._flows = flows
        self.draining = False

    def is_open(self):
        """Whether new flows are taken."""
        return not self.draining and self._belief.is_open()

    def load(self):
        """Return the requests at the target for each of its slots."""
        return self._flows.at_work / self._belief.slots

    def decide(self, carry, packet):
        """Return `Deliver`, `OfferTo` or `GiveBack`.

        Parameters
        ----------
        carry : Carry
            The packet's envelope.
        packet : Packet
            The packet.
        """
        if carry.service != self._service:
            return self._give_back(carry, "other-service")
        if packet.flow in self._flows:
            return Deliver("held")
        if not packet.opens:
            return Deliver("asked")
        if not self.is_open():
            return self._hand_on(carry)
        if carry.settled:
            return Deliver("least-loaded", moved=True)
        moved = carry.best is not None or bool(carry.asked)
        if self.load() < 1:
            return Deliver("free", moved)
        return self._offer(carry, moved)

    def returned(self, carry):
        """Return what to do with a packet that the target did not take."""
        return self._give_back(carry, "not-held")

    def _offer(self, carry, moved):
        best, best_load = self._me, self.load()
        if carry.best is not None and carry.best_load <= best_load:
            best, best_load = carry.best, carry.best_load
        if carry.candidates:
            onward = msgspec.structs.replace(
                carry,
                candidates=carry.candidates[1:],
                best=best,
                best_load=best_load,
            )
            return OfferTo(carry.candidates[0], "offer", onward)
        if best.node == self._me.node:
            return Deliver("least-loaded", moved)
        onward = msgspec.structs.replace(carry, settled=True)
        return OfferTo(best, "declined", onward)

    def _hand_on(self, carry):
        if not carry.candidates and carry.best is not None and not carry.settled:
            settled = msgspec.structs.replace(carry, settled=True)
            return OfferTo(carry.best, "not-open", settled)
        if not carry.candidates:
            return self._give_back(carry, "not-open")
        onward = msgspec.structs.replace(
            carry,
            candidates=carry.candidates[1:],
            asked=(*carry.asked, self._me.node),
        )
        return OfferTo(carry.candidates[0], "not-open", onward)

    def _give_back(self, carry, reason):
        asked = (*carry.asked, self._me.node)
        return GiveBack(reason, msgspec.structs.replace(carry, asked=asked))
