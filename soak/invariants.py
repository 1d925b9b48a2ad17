"""Checks the system's invariants against the observed packets; performs no I/O."""

import msgspec

from tests.support.packets import (
    ACK,
    HEADER,
    RST,
    SYN,
    endpoints_of,
    flags_of,
    without_mutable_fields,
)

DRAIN_PERIOD_S = 5.0  # `drainMs` in production


class Violation(msgspec.Struct, frozen=True):
    """An invariant that did not hold.

    Attributes
    ----------
    at_s : float
        When the violation was observed, in seconds.
    invariant : str
        Name of the invariant: ``unasked`` (a target received a packet that no caller
        sent), ``mixed`` (a caller received a packet that is not of its flow),
        ``route`` (a packet reached a target of another service), ``drain`` (a target
        received a SYN after its drain period), ``configuration`` (a balancer went
        back to an older version), ``flow`` (an open flow was lost), ``recovery`` (the
        deployment did not recover), ``process`` (a process ended), ``stop`` (a stop
        was not clean).
    details : str
        What was observed.
    """

    at_s: float
    invariant: str = msgspec.field(name="promise")
    details: str = msgspec.field(name="seen")


class Flow(msgspec.Struct):
    """What has been observed of one flow.

    Attributes
    ----------
    service : str
        The service that the caller asked for.
    known_versions : list of int
        For each transmission of the SYN, the configuration version that the
        receiving balancer was already known to have applied.
    sent_after_syn : bool
        Whether the caller has sent packets other than SYNs.
    accepted_by : tuple or None
        The target that completed the handshake, and the number of its start.
    """

    service: str
    known_versions: list[int]
    sent_after_syn: bool = False
    accepted_by: tuple[str, int] | None = None


class InvariantChecker:
    """Records what callers, targets and the operator observe, and checks it.

    Parameters
    ----------
    service_addresses : dict of str to tuple
        Address and port of each service.
    """

    def __init__(self, service_addresses):
        self._services_by_address = {
            address: name for name, address in service_addresses.items()
        }
        self.flows = {}
        self.violations = []
        self._caller_packets, self._target_packets = set(), set()
        self._start_counts, self._drain_acknowledged_at = {}, {}
        self._configurations = [(0, frozenset(service_addresses))]
        self._applied_versions = {}

    # The operator

    def configuration_written(self, version, services):
        """Record a configuration that the operator writes to the store."""
        self._configurations.append((version, frozenset(services)))

    def balancer_started(self, balancer):
        """Record a start of a balancer.

        A restarted balancer may lag behind the version that it had applied before.
        """
        self._applied_versions[balancer] = 0

    # Targets

    def target_started(self, target):
        """Record a start of a target; a restart loses all of its flows."""
        self._start_counts[target] = self._start_counts.get(target, 0) + 1
        self._drain_acknowledged_at.pop(target, None)

    def drain_acknowledged(self, target, now):
        """Record when the first heartbeat with the draining state was acknowledged."""
        self._drain_acknowledged_at.setdefault(target, now)

    def target_sent(self, data):
        """Record a packet that a target sent to a caller."""
        self._target_packets.add(without_mutable_fields(data))

    def target_received(self, target, service, data, now):
        """Check a packet that a target received."""
        if without_mutable_fields(data) not in self._caller_packets:
            self._record_violation(
                now, "unasked", f"{target} received {data.hex()}, which no caller sent"
            )
        caller, address = endpoints_of(data)
        if self._services_by_address.get(address) != service:
            self._record_violation(
                now, "route", f"{target} of {service} received a packet for {address}"
            )
        acknowledged_at = self._drain_acknowledged_at.get(target)
        since_drain_s = 0.0 if acknowledged_at is None else now - acknowledged_at
        if flags_of(data) & SYN and since_drain_s > DRAIN_PERIOD_S:
            self._record_violation(
                now,
                "drain",
                f"{target} received a SYN of {caller} {since_drain_s:.1f} s "
                "after its drain was acknowledged",
            )

    def flow_opened(self, target, caller):
        """Record that a target completed the handshake of a flow."""
        self.flows[caller].accepted_by = (target, self._start_counts[target])

    def flow_closed(self, caller):
        """Record that a target has closed a flow at the request of its caller."""
        self.flows[caller].accepted_by = None

    # Callers

    def port_reused(self, caller):
        """Record that a caller opens another flow from a port."""
        del self.flows[caller]

    def caller_sent(self, data, balancer):
        """Record a packet that a caller sent to a balancer."""
        self._caller_packets.add(without_mutable_fields(data))
        caller, address = endpoints_of(data)
        flow = self.flows.get(caller)
        if flow is None:
            flow = self.flows[caller] = Flow(self._services_by_address[address], [])
        if flags_of(data) & SYN:
            flow.known_versions.append(self._applied_versions.get(balancer, 0))
        else:
            flow.sent_after_syn = True

    def caller_received(self, data, source, now):
        """Check a packet that a caller received."""
        _, caller = endpoints_of(data)
        flow = self.flows.get(caller)
        if flow is None:
            self._record_violation(
                now, "mixed", f"{caller} received a packet but has sent none"
            )
            return
        # Targets never write 0 in this field, so this is a reset by the system itself.
        if flags_of(data) == RST and HEADER.unpack_from(data)[4] == 0:
            self._check_reset(flow, caller, source, now)
            return
        if without_mutable_fields(data) not in self._target_packets:
            self._record_violation(
                now, "mixed", f"{caller} received {data.hex()}, which no target sent"
            )
        if flags_of(data) == SYN | ACK:
            self._check_version(flow, source, True, f"{caller} was accepted", now)

    def _check_reset(self, flow, caller, source, now):
        if flow.accepted_by is None:
            # Only a reset of a SYN shows that the service has no route: later packets
            # are also reset because no target holds their flow.
            if source in self._applied_versions and not flow.sent_after_syn:
                self._check_version(flow, source, False, f"{caller} was reset", now)
            return
        # A flow may be reset if any configuration dropped the route of its service.
        target = self.live_target(caller)
        is_always_routed = all(
            flow.service in services for _, services in self._configurations
        )
        if target is not None and is_always_routed:
            self._record_violation(
                now, "flow", f"{caller} at {target} was reset by {source}"
            )

    def _check_version(self, flow, source, is_routed, observed, now):
        """Check that no balancer went back to an older configuration.

        A SYN that is accepted or reset shows whether the configuration in use has a
        route of the service. If the reset comes from a balancer and the SYN was sent
        only once, the oldest version that fits is recorded as applied by it.
        """
        matching_versions = [
            v
            for v, names in self._configurations
            if (flow.service in names) == is_routed
        ]
        min_version = min(flow.known_versions, default=0)
        possible_versions = [
            version for version in matching_versions if version >= min_version
        ]
        if not possible_versions:
            self._record_violation(
                now,
                "configuration",
                f"{observed}, but its balancers had applied version {min_version}",
            )
        elif source in self._applied_versions and len(flow.known_versions) == 1:
            self._applied_versions[source] = max(
                self._applied_versions[source], possible_versions[0]
            )

    def live_target(self, caller):
        """Return the target that holds a flow, or None if a restart lost the flow."""
        flow = self.flows[caller]
        if flow.accepted_by is None:
            return None
        target, start = flow.accepted_by
        return target if self._start_counts[target] == start else None

    def _record_violation(self, now, invariant, details):
        self.violations.append(Violation(round(now, 3), invariant, details))
