"""The flows that an agent has seen at its target, and the work they mean."""

import math
from collections import OrderedDict

OPENING_S = 0.4  # twice the pause before a caller repeats its opening packet
MAX_FLOWS = 20_000  # bounds memory; a target holds 2,000 connections


class _Record:
    __slots__ = ("active_at", "at_work", "confirmed", "payload")

    def __init__(self, now):
        self.active_at = now
        self.at_work = True
        self.confirmed = False
        self.payload = None


class TargetFlows:
    """Counts the requests at a target from the packets that pass by.

    A flow counts as work from its opening packet, or from data of the caller, to the
    first data of the target. Lost packets make it miscount, so a flow that has been
    quiet for some time no longer counts: the figure heals by itself.

    Parameters
    ----------
    work_limit_s : float
        A flow without packets for so long is not at work, in seconds.
    """

    def __init__(self, work_limit_s=10.0):
        self._work_limit_s = work_limit_s
        self._flows = OrderedDict()
        self._at_work = 0

    def __len__(self):
        return len(self._flows)

    def __contains__(self, flow):
        return flow in self._flows

    @property
    def at_work(self):
        """Requests that the target seems to have."""
        return self._at_work

    def opened(self, flow, now):
        """Note that an opening packet was passed to the target."""
        if flow in self._flows:
            return
        self._flows[flow] = _Record(now)
        self._at_work += 1
        if len(self._flows) > MAX_FLOWS:
            self._drop(next(iter(self._flows)))

    def from_caller(self, packet, payload, now):
        """Note a packet passed to the target."""
        record = self._flows.get(packet.flow)
        if record is None:
            return
        self._touch(packet.flow, record, now)
        record.confirmed = True
        if packet.has_data:
            self._work(record, True)
        if record.at_work:
            record.payload = payload
        if packet.resets:
            self._drop(packet.flow)

    def from_target(self, packet, now):
        """Note a packet of the target."""
        record = self._flows.get(packet.flow)
        if record is None:
            return
        self._touch(packet.flow, record, now)
        if packet.has_data or packet.ends:
            self._work(record, False)
        if packet.resets:
            self._drop(packet.flow)

    def returned(self, flow):
        """Note that the target does not hold a flow."""
        self._drop(flow)

    def expire(self, now, idle_s):
        """Forget flows that were idle for ``idle_s``, and count again."""
        while self._flows:
            flow, record = next(iter(self._flows.items()))
            if now - record.active_at < idle_s:
                break
            self._drop(flow)
        for record in self._flows.values():
            quiet_s = now - record.active_at
            if record.at_work and quiet_s > self._limit(record):
                self._work(record, False)

    def waiting(self):
        """Return the last packet of each flow whose caller waits for the target."""
        return [r.payload for r in self._flows.values() if r.at_work and r.payload]

    def quiet_s(self, now):
        """Return the time since the last packet of any flow, in seconds."""
        if not self._flows:
            return math.inf
        return now - self._flows[next(reversed(self._flows))].active_at

    def _limit(self, record):
        return self._work_limit_s if record.confirmed else OPENING_S

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
        record = self._flows.pop(flow, None)
        if record is not None:
            self._work(record, False)
