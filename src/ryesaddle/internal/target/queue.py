"""Queue of the new flows that wait at an agent for capacity of its target."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.wire.passthrough import ForwardedPacket

# When a caller sends each copy of its opening packet, and when it gives up, in
# seconds after the first copy (the platform's PROTOCOL, section Flows).
COPY_DELAYS_S = (0.0, 0.2, 0.6)
CALLER_GIVE_UP_S = 1.4
# Bounds memory; a target serves far fewer flows before their callers give up.
MAX_QUEUED_FLOWS = 512


class QueuedFlow(msgspec.Struct, frozen=True):
    """A new flow in the queue.

    Attributes
    ----------
    forwarded : ForwardedPacket
        The opening packet in its envelope.
    queued_at : float
        When it was queued.
    first_sent_at : float
        When its caller sent the first copy of the opening packet, at the latest.
    """

    forwarded: ForwardedPacket
    queued_at: float
    first_sent_at: float

    @property
    def objective_at(self):
        """Time by which the answer must begin to meet the latency objective."""
        return self.first_sent_at + self.forwarded.objective_ms / 1000

    @property
    def caller_gives_up_at(self):
        """Time at which the caller stops trying to open the flow."""
        return self.first_sent_at + CALLER_GIVE_UP_S

    @property
    def deadline(self):
        """Time after which an answer is useless to the caller."""
        return self.first_sent_at + self.forwarded.timeout_ms / 1000


def estimate_first_sent_at(copy, now):
    """Return when the caller sent the first copy of its opening packet, at the latest.

    Parameters
    ----------
    copy : int
        Number of the copy that arrives at ``now``, from 0.
    """
    return now - COPY_DELAYS_S[min(copy, len(COPY_DELAYS_S) - 1)]


class FlowQueue:
    """Chooses the next flow for a target that has capacity.

    After an outage more flows wait than can be served within their latency objective.
    Flows that can still meet it are served first, by priority and then newest first,
    which leaves each the most time to spare. The others follow while there is
    capacity, by priority and then oldest first. A flow that can no longer be served
    before its caller gives up is removed at once.
    Reference: Maurer, "Fail at Scale", ACM Queue, 2015 (adaptive LIFO).
    """

    def __init__(self):
        self._waiting = OrderedDict()

    def __len__(self):
        return len(self._waiting)

    def __contains__(self, flow):
        return flow in self._waiting

    def put(self, flow, forwarded, copy, now):
        """Queue a flow; a further copy of a queued flow changes nothing."""
        if flow not in self._waiting:
            self._waiting[flow] = QueuedFlow(
                forwarded, now, estimate_first_sent_at(copy, now)
            )

    def can_accept(self, forwarded, copy, service_s, now):
        """Whether a new flow may be queued.

        Below `MAX_QUEUED_FLOWS` only the time left decides, not the queue length.
        Callers retry at once after a refusal, and a retry looks like a first attempt,
        so that refused callers would displace callers that have just arrived.
        """
        if len(self._waiting) >= MAX_QUEUED_FLOWS:
            return False
        return _can_finish_in_time(
            QueuedFlow(forwarded, now, estimate_first_sent_at(copy, now)),
            now,
            service_s,
        )

    def pop_next(self, service_s, now):
        """Remove the flow to serve next; return it and its `QueuedFlow`, or None."""
        if not self._waiting:
            return None
        flow = min(
            self._waiting,
            key=lambda flow: _service_order(self._waiting[flow], service_s, now),
        )
        return flow, self._waiting.pop(flow)

    def pop_expired(self, service_s, now):
        """Remove and return the flows that can no longer be served in time."""
        expired = [
            (flow, item)
            for flow, item in self._waiting.items()
            if not _can_finish_in_time(item, now, service_s)
        ]
        for flow, _ in expired:
            del self._waiting[flow]
        return expired

    def pop_all(self):
        """Remove and return all flows."""
        items = list(self._waiting.items())
        self._waiting.clear()
        return items


def _can_finish_in_time(item, start, service_s):
    return start < item.caller_gives_up_at and start + service_s < item.deadline


def _service_order(item, service_s, now):
    is_late = now + service_s > item.objective_at
    order = item.queued_at if is_late else -item.queued_at
    return (is_late, item.forwarded.priority, order)
