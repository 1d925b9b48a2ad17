"""New flows that wait at an agent until its target can run their requests."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.wire.passing import ForwardedPacket

# When a caller sends the copies of its opening packet, and when it gives up, in
# seconds after the first (PROTOCOL of the users' platform, Flows).
COPY_AGES_S = (0.0, 0.2, 0.6)
GIVE_UP_S = 1.4
MAX_WAITING = 512  # bounds memory; a target serves far fewer before callers give up


class Waiting(msgspec.Struct, frozen=True):
    """A new flow that waits.

    Attributes
    ----------
    forwarded : ForwardedPacket
        Its opening packet and the envelope.
    arrived_at : float
        When it began to wait.
    sent_at : float
        When its caller began to try, at the latest.
    """

    forwarded: ForwardedPacket
    arrived_at: float
    sent_at: float

    @property
    def objective_at(self):
        """When its latency objective is missed."""
        return self.sent_at + self.forwarded.objective_ms / 1000

    @property
    def gives_up_at(self):
        """When its caller stops waiting for the flow to open."""
        return self.sent_at + GIVE_UP_S

    @property
    def deadline(self):
        """When an answer is of no use any more."""
        return self.sent_at + self.forwarded.timeout_ms / 1000


def sent_at(copy, now):
    """Return when the caller has sent the first copy of its opening packet.

    Parameters
    ----------
    copy : int
        Number of the copy that arrives at ``now``.
    """
    return now - COPY_AGES_S[min(copy, len(COPY_AGES_S) - 1)]


class FlowQueue:
    """Chooses the next flow for a target that has room.

    After an outage more flows wait than can be served within their objective. Those
    that can still be are served first, the more urgent before the less urgent and
    the newest before the oldest, so that each has time to spare; the others follow
    while there is room. A flow that cannot be served any more is given up at once.
    Reference: Maurer, "Fail at Scale", ACM Queue, 2015 (adaptive LIFO).
    """

    def __init__(self):
        self._waiting = OrderedDict()

    def __len__(self):
        return len(self._waiting)

    def __contains__(self, flow):
        return flow in self._waiting

    def put(self, flow, forwarded, copy, now):
        """Let a flow wait; a copy of one that waits already changes nothing."""
        if flow not in self._waiting:
            self._waiting[flow] = Waiting(forwarded, now, sent_at(copy, now))

    def can_wait(self, forwarded, copy, service_s, now):
        """Whether a new flow may yet be served.

        Only time counts, not how many wait: callers try again at once after a
        refusal, and the new try cannot be told from that of a caller who has just
        come, which it would push aside.
        """
        if len(self._waiting) >= MAX_WAITING:
            return False
        return _is_of_use(Waiting(forwarded, now, sent_at(copy, now)), now, service_s)

    def next(self, service_s, now):
        """Take the flow to be served now; return it and its `Waiting`, or None."""
        if not self._waiting:
            return None
        flow = min(
            self._waiting,
            key=lambda flow: _urgency(self._waiting[flow], service_s, now),
        )
        return flow, self._waiting.pop(flow)

    def give_up(self, service_s, now):
        """Take out and return the flows that cannot be served any more."""
        gone = [
            (flow, item)
            for flow, item in self._waiting.items()
            if not _is_of_use(item, now, service_s)
        ]
        for flow, _ in gone:
            del self._waiting[flow]
        return gone

    def clear(self):
        """Take out and return all flows."""
        items = list(self._waiting.items())
        self._waiting.clear()
        return items


def _is_of_use(item, start, service_s):
    return start < item.gives_up_at and start + service_s < item.deadline


def _urgency(item, service_s, now):
    is_late = now + service_s > item.objective_at
    order = item.arrived_at if is_late else -item.arrived_at
    return (is_late, item.forwarded.priority, order)
