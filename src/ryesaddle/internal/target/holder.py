"""The decision of an agent whose flows end at the target beside it."""

import msgspec

from ryesaddle.internal.wire.passing import Candidate, ForwardedPacket

# A target beside its agent answers an opening packet within a millisecond
# (agent.open in the metrics of a run).
SILENT_S = 0.1
AHEAD = 2  # flows that open while all slots work; see bench/surge.py
REFUSED_S = 0.25  # until a target that returned an opening packet is tried again


class Deliver(msgspec.Struct, frozen=True):
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


class OfferTo(msgspec.Struct, frozen=True):
    """Send the new flow to another agent."""

    candidate: Candidate
    reason: str
    forwarded: ForwardedPacket


class Hold(msgspec.Struct, frozen=True):
    """Let the new flow wait here until the target has room.

    Attributes
    ----------
    reason : str
        For the decision log.
    moved : bool
        Whether the balancer expects the flow at another agent.
    """

    reason: str
    moved: bool = False


class Reject(msgspec.Struct, frozen=True):
    """Tell the caller at once that the flow cannot be served."""

    reason: str


class Drop(msgspec.Struct, frozen=True):
    """Do nothing: another copy of the packet may have opened the flow elsewhere."""

    reason: str


class GiveBack(msgspec.Struct, frozen=True):
    """Return the packet to the balancer, which tries elsewhere."""

    reason: str
    forwarded: ForwardedPacket


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
    queue : FlowQueue
        The flows that wait.

    Attributes
    ----------
    draining : bool
        Whether this agent is about to stop.
    introduced : bool
        Whether the balancers know this agent.
    """

    def __init__(self, me, service, belief, flows, queue):
        self._me = me
        self._service = service
        self._belief = belief
        self._flows = flows
        self._queue = queue
        self._refused_until = 0.0
        self.draining = False
        self.introduced = True

    def is_open(self, now):
        """Whether new flows are taken."""
        if self.draining or not self.introduced or now < self._refused_until:
            return False
        if not self._belief.is_open():
            return False
        return not self.is_silent(now)

    def is_silent(self, now):
        """Whether the target leaves opening packets unanswered."""
        return self._flows.silent_s(now) > SILENT_S

    def load(self, now):
        """Return the requests at the target and waiting, for each of its slots."""
        return (self._flows.at_work(now) + len(self._queue)) / self._belief.slots

    def has_room(self, now):
        """Whether the target can run one more request soon.

        A request arrives only a round trip after its flow was let in.
        """
        return self._flows.at_work(now) < self._belief.slots + AHEAD

    def decide(self, forwarded, packet, now):
        """Return `Deliver`, `Hold`, `OfferTo`, `GiveBack`, `Reject` or `Drop`.

        Parameters
        ----------
        forwarded : ForwardedPacket
            The packet's envelope.
        packet : Packet
            The packet.
        now : float
            Seconds on a monotonic clock.
        """
        if forwarded.service != self._service:
            return self._give_back(forwarded, "other-service")
        if packet.flow in self._flows:
            return Deliver("held")
        if not packet.opens:
            return Deliver("asked")
        if packet.flow in self._queue:
            return Hold("waits")
        if not self.is_open(now):
            return self._hand_on(forwarded)
        if forwarded.assigned:
            return self._take(forwarded, packet, True, now)
        moved = forwarded.best is not None or bool(forwarded.asked)
        if self.load(now) < 1:
            return Deliver("free", moved)
        return self._offer(forwarded, packet, moved, now)

    def refused(self, now):
        """Note that the target returned an opening packet: it is full or has ended.

        Returns
        -------
        bool
            Whether it is news.
        """
        is_news = now >= self._refused_until
        self._refused_until = now + REFUSED_S
        return is_news

    def returned(self, forwarded):
        """Return what to do with a packet that the target did not take."""
        return self._give_back(forwarded, "not-held")

    def next(self, now):
        """Return the next flow for the target and its `Waiting`, or None."""
        if not self.is_open(now) or not self.has_room(now):
            return None
        return self._queue.next(self._flows.service_s, now)

    def _take(self, forwarded, packet, moved, now):
        if self.has_room(now):
            return Deliver("least-loaded", moved)
        if self._queue.can_wait(forwarded, packet.copy, self._flows.service_s, now):
            return Hold("busy", moved)
        # Only the first copy is known to have been nowhere else.
        return Drop("too-late") if packet.copy else Reject("too-many")

    def _offer(self, forwarded, packet, moved, now):
        best, best_load = self._me, self.load(now)
        if forwarded.best is not None and forwarded.best_load <= best_load:
            best, best_load = forwarded.best, forwarded.best_load
        if forwarded.candidates:
            onward = msgspec.structs.replace(
                forwarded,
                candidates=forwarded.candidates[1:],
                best=best,
                best_load=best_load,
            )
            return OfferTo(forwarded.candidates[0], "offer", onward)
        if best.node == self._me.node:
            return self._take(forwarded, packet, moved, now)
        onward = msgspec.structs.replace(forwarded, assigned=True)
        return OfferTo(best, "declined", onward)

    def _hand_on(self, forwarded):
        if (
            not forwarded.candidates
            and forwarded.best is not None
            and not forwarded.assigned
        ):
            assigned = msgspec.structs.replace(forwarded, assigned=True)
            return OfferTo(forwarded.best, "not-open", assigned)
        if not forwarded.candidates:
            return self._give_back(forwarded, "not-open")
        onward = msgspec.structs.replace(
            forwarded,
            candidates=forwarded.candidates[1:],
            asked=(*forwarded.asked, self._me.node),
        )
        return OfferTo(forwarded.candidates[0], "not-open", onward)

    def _give_back(self, forwarded, reason):
        asked = (*forwarded.asked, self._me.node)
        return GiveBack(reason, msgspec.structs.replace(forwarded, asked=asked))
