"""Decides what an agent does with each packet that a balancer sends it."""

import msgspec

from ryesaddle.internal.admission.health import FAILING_LOAD, OnProbation, Serving
from ryesaddle.internal.membership.standstill import Standstill
from ryesaddle.internal.wire.passthrough import Candidate, ForwardedPacket

# A target runs beside its agent and answers an opening packet within a millisecond
# (metric agent.open).
UNRESPONSIVE_AFTER_S = 0.1
OVERCOMMIT_FLOWS = 2  # accepted while all slots are in use; see bench/surge.py
REFUSAL_BACKOFF_S = 0.25  # pause after the target has refused an opening packet


class Deliver(msgspec.Struct, frozen=True):
    """Send the packet to the target.

    Attributes
    ----------
    reason : str
        For the decision log.
    notify_balancer : bool
        Whether to tell the balancer that this agent holds the flow, because the
        balancer may expect it at another agent.
    """

    reason: str
    notify_balancer: bool = False


class OfferTo(msgspec.Struct, frozen=True):
    """Forward the opening packet to another agent, which decides about the flow."""

    candidate: Candidate
    reason: str
    forwarded: ForwardedPacket


class Enqueue(msgspec.Struct, frozen=True):
    """Queue the new flow at this agent until the target has capacity.

    Attributes
    ----------
    reason : str
        For the decision log.
    notify_balancer : bool
        Whether to tell the balancer that this agent holds the flow, because the
        balancer may expect it at another agent.
    """

    reason: str
    notify_balancer: bool = False


class Drop(msgspec.Struct, frozen=True):
    """Discard the packet silently.

    A reset could end a flow that another copy of the packet has opened.
    """

    reason: str


class ReturnToBalancer(msgspec.Struct, frozen=True):
    """Return the packet to the balancer, which tries another agent or rejects it."""

    reason: str
    forwarded: ForwardedPacket


class AgentRouter:
    """Decides where the packets that reach one agent go.

    A packet of an open flow goes to the target. A new flow goes to the target if a
    slot is free; otherwise the agents that the balancer listed as candidates are
    asked in turn, and the least loaded of them delivers or queues it.

    Parameters
    ----------
    this_agent : Candidate
        Name and address of this agent.
    service : str
        The service of the target beside it.
    target_state : TargetState
        State of the target, as known from its heartbeats.
    flows : TargetFlows
        The flows at the target.
    queue : FlowQueue
        The new flows that wait for the target.
    warm_up : WarmUpBudget, optional
        Limits new flows while the target warms up.

    Attributes
    ----------
    draining : bool
        Whether this agent is about to stop.
    known_to_balancers : bool
        Whether the balancers know this agent.
    evacuated : bool
        Whether the data centre of this agent is evacuated.
    """

    def __init__(self, this_agent, service, target_state, flows, queue, warm_up=None):
        self._this_agent = this_agent
        self._service = service
        self._target_state = target_state
        self._flows = flows
        self._queue = queue
        self._warm_up = warm_up
        self._refused_until = 0.0
        self.draining = False
        self.known_to_balancers = True
        self.evacuated = False
        self._standstill = None

    def confirm_evacuations(self, now):
        """Record that a balancer has told which data centres are evacuated.

        From the first time on, this agent takes no new flow after it has stood still,
        until a balancer has told it again.
        """
        if self._standstill is None:
            self._standstill = Standstill(now)
        self._standstill.confirm(now)

    def awaits_evacuations(self, now):
        """Whether a balancer must tell first which data centres are evacuated.

        It must be called several times a second.
        """
        return self._standstill is not None and self._standstill.is_unconfirmed(now)

    def set_evacuated(self, evacuated, now):
        """Record whether the data centre of this agent is evacuated."""
        if self.evacuated and not evacuated and self._warm_up is not None:
            self._warm_up.presume_warming_up(now)
        self.evacuated = evacuated

    def set_warm_up_limit(self, balancer, per_s, now):
        """Set the limit for a target that warms up, as a balancer has told it."""
        if self._warm_up is not None:
            self._warm_up.set_limit(balancer, per_s, now)

    def is_open(self, now):
        """Whether this agent accepts new flows."""
        if self.draining or self.evacuated or not self.known_to_balancers:
            return False
        if self.awaits_evacuations(now):
            return False
        if now < self._refused_until:
            return False
        if not self._target_state.is_open():
            return False
        return not self.is_target_unresponsive(now)

    def is_target_unresponsive(self, now):
        """Whether the target has left opening packets unanswered for too long."""
        return self._flows.unanswered_s(now) > UNRESPONSIVE_AFTER_S

    def load(self, now):
        """Return the number of requests at the target or queued, per slot.

        A target that must get no further flow while it warms up counts as full. The
        time that a flow would wait there is counted as the requests that a slot runs
        in that time.
        """
        in_flight, slots = self._flows.in_flight(now), self._target_state.slots
        if self._is_warm_up_limited(now):
            wait_s = self._warm_up.expected_wait_s(len(self._queue))
            full = max(in_flight, slots + OVERCOMMIT_FLOWS)
            return full / slots + wait_s / self._flows.service_s
        return (in_flight + len(self._queue)) / slots

    @property
    def outcomes(self):
        """How the target has answered its requests, as `RequestOutcomes`."""
        return self._flows.outcomes

    @property
    def knows_warm_up_limit(self):
        """Whether this agent knows how many new flows a cold target bears."""
        return self._warm_up is None or self._warm_up.knows_limit

    def work_s(self, now):
        """Return the expected time of a request at the target, 0 if not known."""
        return self._flows.work_s(now)

    def forecast(self, now):
        """Return the expected requests in flight from open flows, per slot."""
        return self._flows.forecast(now) / self._target_state.slots

    def has_capacity(self, now):
        """Whether one more flow may be sent to the target.

        The request of a new flow arrives one round trip after its opening packet. To
        keep all slots busy, a few more flows than slots are sent.
        """
        if self._is_warm_up_limited(now):
            return False
        return self._flows.in_flight(now) < self._target_state.slots + OVERCOMMIT_FLOWS

    def decide(self, forwarded, packet, now):
        """Return the decision for a packet, one of the structs in this module.

        Parameters
        ----------
        forwarded : ForwardedPacket
            The envelope in which a balancer or another agent sent the packet.
        packet : Packet
            The caller's packet.
        now : float
            Seconds on a monotonic clock.
        """
        decision = self._decide(forwarded, packet, now)
        if packet.opens and isinstance(decision, Deliver):
            self._record_opening(now)
        return decision

    def _decide(self, forwarded, packet, now):
        # The service restricts new flows only. An open flow may be held by this target
        # whatever the balancer believes about the service of this agent.
        if packet.opens and forwarded.service != self._service:
            return self._return_to_balancer(forwarded, "other-service")
        if packet.opens:
            if self._flows.is_copy(packet, now):
                return Deliver("held")
            if self._flows.has_ended(packet, now):
                return Drop("ended")
        elif packet.flow in self._flows:
            return Deliver("held")
        elif self.is_absent(now):
            return self._return_to_balancer(forwarded, "not-held")
        else:
            return Deliver("asked")
        if packet.flow in self._queue:
            return Enqueue("waits")
        if not self.is_open(now):
            return self._forward_while_closed(forwarded)
        if forwarded.assigned:
            return self._deliver_or_queue(forwarded, packet, True, now)
        notify_balancer = forwarded.best is not None or bool(forwarded.asked)
        is_free = self.load(now) < 1
        match self.outcomes.health.state(now):
            case Serving() if is_free:
                return Deliver("free", notify_balancer)
            case OnProbation() if is_free and self._may_probe(forwarded, now):
                return Deliver("probe", notify_balancer)
        return self._offer_to_next(forwarded, packet, notify_balancer, now)

    def is_absent(self, now):
        """Whether the target certainly does not hold a flow that is not known here."""
        return self._flows.is_complete(now)

    def record_refusal(self, now):
        """Record that the target refused an opening packet: it is full or has ended.

        Returns
        -------
        bool
            False if an earlier refusal still keeps new flows away.
        """
        is_first = now >= self._refused_until
        self._refused_until = now + REFUSAL_BACKOFF_S
        return is_first

    def decide_returned(self, forwarded):
        """Return the decision for a packet that the target did not accept."""
        return self._return_to_balancer(forwarded, "not-held")

    def decide_unanswered(self, forwarded):
        """Return the decision for an opening packet that a silent target has."""
        forwarded = msgspec.structs.replace(forwarded, received_at=0.0)
        return self._return_to_balancer(forwarded, "target-silent")

    def pop_next(self, now):
        """Return the next queued flow for the target and its `QueuedFlow`, or None."""
        if not self.is_open(now) or not self.has_capacity(now):
            return None
        found = self._queue.pop_next(self._flows.service_s, now)
        if found is not None:
            self._record_opening(now)
        return found

    def _record_opening(self, now):
        if self._warm_up is not None:
            self._warm_up.record_opening(now)

    def _is_warm_up_limited(self, now):
        if self._warm_up is None:
            return False
        report, warm_up_until = self._target_state.last_report, None
        if report is not None:
            warm_up_until = self._target_state.last_heartbeat_at + report.warm_up_s
        knows_all_flows = self._flows.is_complete(now)
        return self._warm_up.is_used_up(warm_up_until, knows_all_flows, now)

    def _may_probe(self, forwarded, now):
        """Whether a flow may test a target that has failed its requests before.

        Its caller may get an error, and must be able to repeat the request.
        """
        return forwarded.repeatable and self._flows.in_flight(now) == 0

    def _offered_load(self, now):
        """Return the load that is compared with that of the other candidates."""
        is_failing = self.outcomes.health.is_failing(now)
        return self.load(now) + FAILING_LOAD * is_failing

    def _deliver_or_queue(self, forwarded, packet, notify_balancer, now):
        if self.has_capacity(now):
            return Deliver("least-loaded", notify_balancer)
        if self._queue.can_accept(forwarded, packet.copy, self._flows.service_s, now):
            return Enqueue("busy", notify_balancer)
        if packet.copy:
            return Drop("too-late")
        return self._return_to_balancer(forwarded, "too-many")

    def _offer_to_next(self, forwarded, packet, notify_balancer, now):
        best, best_load = self._this_agent, self._offered_load(now)
        if forwarded.best is not None and forwarded.best_load <= best_load:
            best, best_load = forwarded.best, forwarded.best_load
        if forwarded.candidates:
            offered = msgspec.structs.replace(
                forwarded,
                candidates=forwarded.candidates[1:],
                best=best,
                best_load=best_load,
            )
            return OfferTo(forwarded.candidates[0], "offer", offered)
        if best.node == self._this_agent.node:
            return self._deliver_or_queue(forwarded, packet, notify_balancer, now)
        offered = msgspec.structs.replace(forwarded, assigned=True)
        return OfferTo(best, "declined", offered)

    def _forward_while_closed(self, forwarded):
        if (
            not forwarded.candidates
            and forwarded.best is not None
            and not forwarded.assigned
        ):
            assigned = msgspec.structs.replace(forwarded, assigned=True)
            return OfferTo(forwarded.best, "not-open", assigned)
        if not forwarded.candidates:
            return self._return_to_balancer(forwarded, "not-open")
        offered = msgspec.structs.replace(
            forwarded,
            candidates=forwarded.candidates[1:],
            asked=(*forwarded.asked, self._this_agent.node),
        )
        return OfferTo(forwarded.candidates[0], "not-open", offered)

    def _return_to_balancer(self, forwarded, reason):
        asked = (*forwarded.asked, self._this_agent.node)
        return ReturnToBalancer(reason, msgspec.structs.replace(forwarded, asked=asked))
