"""The flows that an agent has seen at its target, and the work they mean."""

import math
from collections import OrderedDict

import msgspec

INITIAL_SERVICE_S = 0.05  # before anything is measured; requests take 5 to 40 ms
INITIAL_OPENING_S = 0.01  # before anything is measured; callers are 3 ms away
SMOOTHING = 0.1  # the last twenty requests make nine tenths of the average
OPENINGS = 4  # a flow that takes so many times the usual to open is not coming
MIN_OPENING_S = 0.03  # a few wake-ups of a slow host
MAX_OPENING_S = 0.4  # twice the pause before a caller repeats its opening packet
DEFAULT_WORK_S = 10.0  # bounds a flow of which only the middle was seen
MAX_FLOWS = 20_000  # bounds memory; a target holds 2,000 connections
HALF_OF_POSITIONS = 1 << 31  # serial number arithmetic, RFC 1982


class Opened(msgspec.Struct, frozen=True):
    """The target has answered an opening packet, after so many seconds."""

    taken_s: float


class Served(msgspec.Struct, frozen=True):
    """The target has begun to answer a request, after so many seconds."""

    taken_s: float


class _Record:
    __slots__ = (
        "active_at",
        "answers",
        "at_work",
        "confirmed",
        "ended",
        "opening",
        "payload",
        "sent",
        "work_s",
        "worked_at",
    )

    def __init__(self, now, opening, work_s):
        self.active_at = now
        self.answers = 0
        self.at_work = True
        self.confirmed = False
        self.ended = False
        self.opening = opening
        self.payload = None
        self.sent = None
        self.work_s = work_s
        self.worked_at = now


class TargetFlows:
    """Counts the requests at a target from the packets that pass by.

    A flow counts as work from its opening packet, or from new data of the caller,
    to the first data of the target. Packets get lost, so each count has an end of
    its own: the figure heals by itself.

    Attributes
    ----------
    service_s : float
        Smoothed time from passing a request on to the first of its answer.
    """

    def __init__(self):
        self._flows = OrderedDict()
        self._opening = OrderedDict()
        self._at_work = 0
        self._unanswered_at = None
        self._opening_s = INITIAL_OPENING_S
        self.service_s = INITIAL_SERVICE_S

    def __len__(self):
        return len(self._flows)

    def __contains__(self, flow):
        return flow in self._flows

    def at_work(self, now):
        """Return how many requests the target seems to have."""
        limit_s = self._opening_limit_s()
        while self._opening:
            flow, opened_at = next(iter(self._opening.items()))
            if now - opened_at < limit_s:
                break
            del self._opening[flow]
            self._work(self._flows[flow], False)
        return self._at_work

    def opened(self, flow, now, opening=None, work_s=DEFAULT_WORK_S):
        """Note that an opening packet was passed to the target.

        Parameters
        ----------
        flow : Flow
            The flow.
        now : float
            Seconds on a monotonic clock.
        opening : ForwardedPacket, optional
            The packet, to be placed elsewhere if the target is silent.
        work_s : float
            Longest time for which a request of it counts, in seconds.
        """
        if self._unanswered_at is None:
            self._unanswered_at = now
        if flow in self._flows:
            return
        self._flows[flow] = _Record(now, opening, work_s)
        self._opening[flow] = now
        self._at_work += 1
        if len(self._flows) > MAX_FLOWS:
            self._drop(next(iter(self._flows)))

    def adopted(self, flow, now):
        """Note that the target holds a flow whose opening was not seen."""
        if flow not in self._flows:
            record = self._flows[flow] = _Record(now, None, DEFAULT_WORK_S)
            record.at_work, record.confirmed = False, True

    def from_caller(self, packet, payload, now):
        """Note a packet of an open flow that was passed to the target."""
        record = self._flows.get(packet.flow)
        if record is None:
            return
        self._touch(packet.flow, record, now)
        opened_at = self._opening.pop(packet.flow, None)
        if opened_at is not None:
            self._opening_s += SMOOTHING * (now - opened_at - self._opening_s)
        record.confirmed = True
        if packet.has_data and self._is_new(record, packet):
            record.sent = packet.sequence_number
            if not record.at_work and not record.ended:
                self._work(record, True)
                record.worked_at = now
        if record.at_work:
            record.payload = payload
        if packet.resets:
            self._drop(packet.flow)

    def from_target(self, packet, now):
        """Note a packet of the target.

        Returns
        -------
        Opened, Served or None
            What it completes.
        """
        self._unanswered_at = None
        record = self._flows.get(packet.flow)
        if record is None:
            return None
        self._touch(packet.flow, record, now)
        is_first = record.opening is not None
        record.opening = None
        record.ended = record.ended or packet.ends
        taken_s = now - record.worked_at
        is_served = (packet.has_data or packet.ends) and record.at_work
        if is_served:
            record.answers += 1
            self.service_s += SMOOTHING * (taken_s - self.service_s)
            self._opening.pop(packet.flow, None)
            self._work(record, False)
        if packet.resets:
            self._drop(packet.flow)
        if is_served:
            return Served(taken_s)
        return Opened(taken_s) if is_first else None

    def returned(self, flow):
        """Note that the target does not hold a flow."""
        self._unanswered_at = None
        self._drop(flow)

    def silent_s(self, now):
        """Return for how long the target has left opening packets unanswered."""
        return 0.0 if self._unanswered_at is None else now - self._unanswered_at

    def target_lives(self):
        """Note a sign of life other than a packet."""
        self._unanswered_at = None

    def unanswered(self):
        """Take out the flows that the target has not answered; return their packets."""
        flows = [f for f, r in self._flows.items() if r.opening is not None]
        openings = [self._flows[flow].opening for flow in flows]
        for flow in flows:
            self._drop(flow)
        return openings

    def expire(self, now, idle_s):
        """Forget flows that were idle for ``idle_s``, and count again.

        Returns
        -------
        list of Flow
            Those whose request the target has not answered in its time.
        """
        while self._flows:
            flow, record = next(iter(self._flows.items()))
            if now - record.active_at < idle_s:
                break
            self._drop(flow)
        unanswered = []
        for flow, record in self._flows.items():
            if record.at_work and now - record.worked_at > record.work_s:
                self._work(record, False)
                if record.confirmed:
                    unanswered.append(flow)
        return unanswered

    def waiting(self):
        """Return the last packet of each flow whose caller waits for the target."""
        return [r.payload for r in self._flows.values() if r.at_work and r.payload]

    def describe(self, caller, now):
        """Return what was seen of a caller's flows, one dict for each."""
        return [
            {
                "flow": str(flow),
                "opened": record.confirmed,
                "waits_for_answer": record.at_work,
                "answers_begun": record.answers,
                "ended_by_target": record.ended,
                "last_packet_s_ago": round(now - record.active_at, 3),
            }
            for flow, record in self._flows.items()
            if str(flow.caller) == caller
        ]

    def quiet_s(self, now):
        """Return the time since the last packet of any flow, in seconds."""
        if not self._flows:
            return math.inf
        return now - self._flows[next(reversed(self._flows))].active_at

    def _opening_limit_s(self):
        return min(MAX_OPENING_S, max(MIN_OPENING_S, OPENINGS * self._opening_s))

    @staticmethod
    def _is_new(record, packet):
        if record.sent is None:
            return True
        ahead = (packet.sequence_number - record.sent) & 0xFFFFFFFF
        return 0 < ahead < HALF_OF_POSITIONS

    def _touch(self, flow, record, now):
        record.active_at = now
        self._flows.move_to_end(flow)

    def _work(self, record, at_work):
        if not at_work:
            record.payload = None
        if record.at_work != at_work:
            record.at_work = at_work
            self._at_work += 1 if at_work else -1

    def _drop(self, flow):
        self._opening.pop(flow, None)
        record = self._flows.pop(flow, None)
        if record is not None:
            self._work(record, False)
