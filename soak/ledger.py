"""Checks the promises from what callers and targets saw; performs no I/O."""

import msgspec

from tests.support.packets import (
    ACK,
    HEADER,
    RST,
    SYN,
    ends_of,
    flags_of,
    without_marks,
)

DRAIN_S = 5.0  # `drainMs` of the users' sites


class Violation(msgspec.Struct, frozen=True):
    """A broken promise: when, which, and what was seen."""

    at_s: float
    promise: str
    seen: str


class Flow(msgspec.Struct):
    """What is known of one flow.

    Attributes
    ----------
    service : str
        Its service.
    floors : list of int
        For each copy of its opening packet, the newest version that the balancer
        which got it had shown.
    answered_syn : bool
        Whether the caller has sent more than opening packets.
    opened_at : tuple or None
        Target and its start at which it opened.
    """

    service: str
    floors: list[int]
    answered_syn: bool = False
    opened_at: tuple[str, int] | None = None


class Ledger:
    """Takes everything that callers, targets and the operator see.

    Parameters
    ----------
    fronts : dict of str to tuple
        Address and port of each service.
    """

    def __init__(self, fronts):
        self._services = {front: name for name, front in fronts.items()}
        self.flows = {}
        self.violations = []
        self._from_callers, self._from_targets = set(), set()
        self._starts, self._draining = {}, {}
        self._versions = [(0, frozenset(fronts))]
        self._shown = {}

    # The operator

    def configured(self, version, services):
        """Note that the store has accepted a configuration."""
        self._versions.append((version, frozenset(services)))

    def balancer_started(self, balancer):
        """Note a new run of a balancer: it may have to learn again."""
        self._shown[balancer] = 0

    # Targets

    def target_started(self, target):
        """Note that a target has started; the flows of its last start are gone."""
        self._starts[target] = self._starts.get(target, 0) + 1
        self._draining.pop(target, None)

    def drain_acknowledged(self, target, now):
        """Note the first confirmation that a target is draining."""
        self._draining.setdefault(target, now)

    def target_sent(self, data):
        """Note a packet that a target sent to a caller."""
        self._from_targets.add(without_marks(data))

    def target_received(self, target, service, data, now):
        """Check a packet that arrived at a target."""
        if without_marks(data) not in self._from_callers:
            self._broken(now, "unasked", f"{target} got {data.hex()}")
        caller, front = ends_of(data)
        if self._services.get(front) != service:
            self._broken(now, "route", f"{target} of {service} got a flow of {front}")
        drained_at = self._draining.get(target)
        late_s = 0.0 if drained_at is None else now - drained_at
        if flags_of(data) & SYN and late_s > DRAIN_S:
            self._broken(now, "drain", f"{target} took {caller} {late_s:.1f} s late")

    def opened(self, target, caller):
        """Note that a flow is open at a target: it has the end of the handshake."""
        self.flows[caller].opened_at = (target, self._starts[target])

    # Callers

    def caller_sent(self, data, balancer):
        """Note a packet that a caller sent by a balancer."""
        self._from_callers.add(without_marks(data))
        caller, front = ends_of(data)
        flow = self.flows.get(caller)
        if flow is None:
            flow = self.flows[caller] = Flow(self._services[front], [])
        if flags_of(data) & SYN:
            flow.floors.append(self._shown.get(balancer, 0))
        else:
            flow.answered_syn = True

    def caller_received(self, data, source, now):
        """Check a packet that arrived at a caller."""
        _, caller = ends_of(data)
        flow = self.flows.get(caller)
        if flow is None:
            self._broken(now, "mixed", f"{caller} has sent nothing")
            return
        if flags_of(data) == RST and HEADER.unpack_from(data)[4] == 0:
            self._check_reset(flow, caller, source, now)
            return
        if without_marks(data) not in self._from_targets:
            self._broken(now, "mixed", f"{caller} got {data.hex()}")
        if flags_of(data) == SYN | ACK:
            self._check_version(flow, source, True, f"{caller} was accepted", now)

    def _check_reset(self, flow, caller, source, now):
        if flow.opened_at is None:
            # Later packets are also reset because no target holds their flow.
            if source in self._shown and not flow.answered_syn:
                self._check_version(flow, source, False, f"{caller} was reset", now)
            return
        target = self.lives_at(caller)
        allowed = all(flow.service in services for _, services in self._versions)
        if target is not None and allowed:
            self._broken(now, "flow", f"{caller} at {target} was reset by {source}")

    def _check_version(self, flow, source, is_present, seen, now):
        """Check that no balancer went back; note what this one has shown."""
        allowed = [
            v for v, names in self._versions if (flow.service in names) == is_present
        ]
        floor = min(flow.floors, default=0)
        shown = [version for version in allowed if version >= floor]
        if not shown:
            self._broken(now, "configuration", f"{seen}; version {floor} was shown")
        elif source in self._shown and len(flow.floors) == 1:
            self._shown[source] = max(self._shown[source], shown[0])

    def lives_at(self, caller):
        """Return the target that holds a flow, or None if it has lost it."""
        flow = self.flows[caller]
        if flow.opened_at is None:
            return None
        target, start = flow.opened_at
        return target if self._starts[target] == start else None

    def _broken(self, now, promise, seen):
        self.violations.append(Violation(round(now, 3), promise, seen))
