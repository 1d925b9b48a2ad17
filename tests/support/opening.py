"""Simulates the opening of one flow whose packets may arrive in any order."""

import heapq
from collections import deque

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.wire.passthrough import (
    FlowLocation,
    FlowLookup,
    FlowLookupResult,
    FlowQuery,
    FlowUnknown,
    ForwardedPacket,
    ReturnedPacket,
    decode_message,
)
from ryesaddle.platform.packet import PlatformPackets
from tests.support.packets import (
    ACK,
    FIN,
    HEADER,
    SYN,
    packet,
    returned,
    without_mutable_fields,
)
from tests.support.passthrough import (
    FRONT,
    SERVICE,
    PacketSimulation,
    Target,
)

FLOW_MESSAGES = (
    FlowLocation,
    FlowLookup,
    FlowLookupResult,
    FlowQuery,
    FlowUnknown,
    ForwardedPacket,
    ReturnedPacket,
)
COPY_DELAYS_S = (0.0, 0.2, 0.6)
CALLER = Address("100.64.0.7", 10_000)
FLOW = Flow(CALLER, FRONT)
INITIAL_SEQUENCE_NUMBER = 1_000


def _process_at(address):
    role = {"1": "edge", "2": "side"}[address.host.split(".")[2]]
    return f"{role}-{address.host.split('.')[3]}"


class HandshakeTarget(Target):
    """A target that opens a flow when its own sequence number is acknowledged.

    Attributes
    ----------
    half_open : dict of Flow to int
        Sequence number that the target has chosen for each flow it has accepted.
    working : list of Flow
        Flows with a request that is not answered yet.
    refuses : bool
        Whether the target returns the opening packets of flows it does not hold.
    """

    def __init__(self, name, service, number):
        super().__init__(name, service)
        self.half_open = {}
        self.working = []
        self.refuses = False
        self._next_sequence_number = 1_000_000 * number

    def receive(self, data):
        """Return the answer to a packet, or None."""
        fields = HEADER.unpack_from(data)
        found = PlatformPackets().read_caller(without_mutable_fields(data))
        flow, front = found.flow, found.flow.front
        if found.opens:
            if flow not in self.half_open:
                if self.refuses:
                    return returned(data)
                self._next_sequence_number += 1_000
                self.half_open[flow] = self._next_sequence_number
            number = self.half_open[flow]
            return packet(front, flow.caller, SYN | ACK, number, fields[0] + 1)
        if self.half_open.get(flow, -2) + 1 != found.ack_number:
            return returned(data)
        self.flows.add(flow)
        if found.has_data and flow not in self.working:
            self.working.append(flow)
        return packet(front, flow.caller, ACK, found.ack_number, fields[0] + 1)

    def answer(self, flow):
        """Return the answer to the request of a flow."""
        self.working.remove(flow)
        return packet(flow.front, flow.caller, ACK, self.half_open[flow] + 1, 0, b"x")


class OpeningSimulation(PacketSimulation):
    """One caller that opens a flow, and every message a separate event.

    A link carries the messages between two processes in order. Which link delivers
    next is up to the test, as are the time between two events and whether a target has
    a free slot. The agents know all flows of their targets. The processes tell each
    other at once what does not concern the flow.

    Attributes
    ----------
    resets_of_open_flow : list of str
        When the flow was reset after its caller had an answer.
    """

    def __init__(self, busy, balancers=(1, 2)):
        super().__init__()
        self._is_ordered = True
        self._links = {}
        self.copies_sent = 0
        self.chosen = None  # sequence number of the target whose answer came first
        self.was_reset = False
        self.resets_of_open_flow = []
        self._data_sent = 0
        self._other_flows = 0
        self._reported_at = 0.0
        for number in balancers:
            self.start_balancer(number)
        for number in range(1, len(busy) + 1):
            target = HandshakeTarget(f"i-{number}", SERVICE, number)
            self.start_agent(number, SERVICE, target)
            self.heartbeat(number)
        self.now += 2.0
        for number, is_busy in enumerate(busy, 1):
            self.report(number)
            if is_busy:
                self.fill(number)
        self.started_at = self.now
        self._is_ordered = False

    def fill(self, number):
        """Give a target requests that it works on until the test lets it answer."""
        agent, target = self.agents[number]
        previous = self._is_ordered, target.refuses
        self._is_ordered, target.refuses = True, False
        router = agent._router
        while router.is_open(self.now) and router.has_capacity(self.now):
            opening = self._open_other_flow(agent)
            flow = PlatformPackets().read_caller(opening).flow
            request = packet(
                flow.caller, FRONT, ACK, 1_001, target.half_open[flow] + 1, b"x"
            )
            self._hand_over(agent, request)
        self._is_ordered, target.refuses = previous

    def open_other_flow(self, number):
        """Let another caller open a flow at a target."""
        self._open_other_flow(self.agents[number][0])

    def _open_other_flow(self, agent):
        self._other_flows += 1
        address = Address("100.64.0.8", self._other_flows)
        self.allowed_services[Flow(address, FRONT)].add(SERVICE)
        opening = packet(address, FRONT, SYN, INITIAL_SEQUENCE_NUMBER)
        self._hand_over(agent, opening)
        return opening

    def _hand_over(self, agent, data):
        self.sent_by_callers.add(data)
        balancer = self.balancer_entries["edge-1"].address
        forwarded = ForwardedPacket(
            SERVICE, balancer, data, assigned=True, timeout_ms=10_000
        )
        agent._on_forwarded_packet(forwarded, balancer)

    # Events

    @property
    def links(self):
        """The links on which a message is under way, in a fixed order."""
        return sorted(link for link, waiting in self._links.items() if waiting)

    def deliver(self, link):
        """Deliver the oldest message of a link, a (sender, receiver) pair."""
        self._links[link].popleft()()

    def deliver_except(self, *receivers):
        """Deliver messages until none is under way but to these processes."""
        for _ in range(10_000):
            link = next((k for k in self.links if k[1] not in receivers), None)
            if link is None:
                return
            self.deliver(link)
        raise AssertionError("messages still circulate after 10,000 steps")

    def send_copy(self, balancer):
        """Send the next copy of the opening packet when it is due."""
        due = self.started_at + COPY_DELAYS_S[self.copies_sent]
        if due > self.now:
            self.advance(due - self.now)
        if not self.may_send_copy:
            return
        data = packet(CALLER, FRONT, SYN, INITIAL_SEQUENCE_NUMBER, self.copies_sent)
        self.copies_sent += 1
        self._send(balancer, data)

    @property
    def may_send_copy(self):
        """Whether the caller still has copies of its opening packet to send."""
        if self.chosen is not None or self.was_reset:
            return False
        return self.copies_sent < len(COPY_DELAYS_S)

    @property
    def may_send_data(self):
        """Whether the caller has an answer and no reset."""
        return self.chosen is not None and not self.was_reset

    def send_data(self, balancer):
        """Send the next packet of the flow, after its first answer."""
        self._data_sent += 1
        number = INITIAL_SEQUENCE_NUMBER + self._data_sent
        self._send(balancer, packet(CALLER, FRONT, ACK, number, self.chosen + 1, b"x"))

    def answer_request(self, number):
        """Let a target answer its oldest request."""
        target = self.agents[number][1]
        if target.working:
            self._from_target(number, target.answer(target.working[0]))

    def drain(self, number):
        """Let a target say that it is about to stop."""
        self.agents[number][1].draining = True
        self.heartbeat(number)

    def restart_agent(self, number):
        """Restart an agent, which loses its records and its queue."""
        self._is_ordered = True
        self.start_agent(number, SERVICE, self.agents[number][1])
        self._is_ordered = False

    def restart_balancer(self, number):
        """Restart a balancer, which loses all it knows of flows."""
        self._is_ordered = True
        self.start_balancer(number)
        self._is_ordered = False

    def end_flow(self, number):
        """Let a target end the flow after its answer; the caller has yet to."""
        target = self.agents[number][1]
        if FLOW in target.flows:
            seq = target.half_open[FLOW] + 2
            self._from_target(number, packet(FRONT, CALLER, ACK | FIN, seq))

    def evacuate(self):
        """Let all processes know that the data centre of all targets is evacuated."""
        for balancer in self.balancers.values():
            balancer._placement.set_evacuated(["dc"])
        for agent, _ in self.agents.values():
            agent._router.set_evacuated(True, self.now)

    def advance(self, seconds):
        """Let time pass, with the periodic work of the processes."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.02)
            while self._timers and self._timers[0][0] <= self.now:
                heapq.heappop(self._timers)[2]()
            for agent, _ in self.agents.values():
                agent.run_periodic_checks()
            if self.now >= self._reported_at + 0.2:
                self._reported_at = self.now
                for number in self.agents:
                    self.report(number)
                for evacuations in self.evacuations.values():
                    evacuations.confirmed_state()
            for balancer in self.balancers.values():
                balancer.continue_searches()

    # Transport

    def enqueue(self, source, address, data):
        is_about_flow = isinstance(decode_message(data), FLOW_MESSAGES)
        if self._is_ordered or not is_about_flow:
            super().enqueue(source, address, data)
            return
        link = (_process_at(source), _process_at(address))
        self._put(link, lambda: self._handle(source, address, data))

    def _handle(self, source, address, data):
        messages = self._by_address.get(address)
        if messages is not None:
            msg = decode_message(data)
            messages.handlers[type(msg)](msg, source)

    def settle(self):
        if self._is_ordered:
            super().settle()
            return
        timers, self._timers = self._timers, []
        super().settle()
        self._timers = sorted([*timers, *self._timers], key=lambda timer: timer[:2])

    def to_target(self, number, data):
        assert without_mutable_fields(data) in self.sent_by_callers
        link = (f"side-{number}", f"target-{number}")
        self._put(link, lambda: self._target_receives(number, data))

    def _target_receives(self, number, data):
        answer = self.agents[number][1].receive(data)
        if answer is not None:
            self._from_target(number, answer)

    def _from_target(self, number, data):
        self._put(
            (f"target-{number}", f"side-{number}"),
            lambda: self.agents[number][0].on_target_packet(data, None),
        )

    def to_caller(self, data, address):
        found = PlatformPackets().read_target(data)
        if found.flow != FLOW:
            return
        if not found.resets:
            self._put(("", "caller"), lambda: self._caller_receives(data, found))
            return
        if self.chosen is not None:
            self.resets_of_open_flow.append(f"reset at {self.now:.3f}")
        self.was_reset = True

    def _caller_receives(self, data, found):
        if found.accepts and self.chosen is None and not self.was_reset:
            self.chosen = HEADER.unpack_from(data)[0]

    def _put(self, link, function):
        if self._is_ordered:
            function()
        else:
            self._links.setdefault(link, deque()).append(function)

    def _send(self, balancer, data):
        self.sent_by_callers.add(data)
        self.balancers[balancer].on_caller_packet(data, CALLER)
