"""Simulated targets and callers that report their packets to the checker."""

import asyncio
import itertools
import json
import random
import time

from soak.invariants import InvariantChecker
from tests.support.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    endpoints_of,
    flags_of,
    packet,
    returned,
)
from tests.support.platform_deployment import SERVICE_ADDRESSES, Caller, Target

SYN_SEND_TIMES_S = (0.0, 0.2, 0.6)  # when a caller sends its SYN, if not yet answered
OPEN_TIMEOUT_S = 1.4
MIN_RESEND_DELAY_S, MAX_RESEND_DELAY_S = 0.2, 1.6  # doubles with each resend
FIN_SEND_TIMES_S = (0.0, 0.2, 0.6)  # when a caller sends its FIN, if not yet answered
# Longer than a process is paused, so that no packet of the earlier flow arrives later.
PORT_REUSE_DELAY_S = 4.0
PORT_REUSE_SHARE = 0.5  # of the flows for which a port can be reused
# Distance of the initial sequence numbers of successive flows of a port.
SEQ_STEP = 1_000_000
HEADER_BYTES = 36


class SoakTarget(Target):
    """A target that can restart, drain, hang and fail its requests.

    Each flow gets its own initial sequence number, so that an acknowledgement for
    another target or another start of this one opens no flow.
    """

    def __init__(self, name, service, app, outbound, admin, checker: InvariantChecker):
        super().__init__(name, service, app, outbound, admin)
        self.host = app.host
        self._checker = checker
        self._initial_seqs = itertools.count(random.Random(name).getrandbits(20), 1000)
        self._half_open = {}
        self.start_number = 0
        self.is_hung = False
        self.is_failing = False
        self._falls_silent = False
        self.restart()

    def restart(self, same_name=False):
        """Start again without any flows, under a new name unless ``same_name``."""
        self.start_number += 1
        if not same_name:
            self.name = f"i-{self.host}-{self.start_number}"
        self.started_at_ms = time.time_ns() // 1_000_000
        self.flows, self._half_open = {}, {}  # flow: sequence number of the target
        self._syn_seqs = {}
        self.state, self.sequence = "ready", 0
        self.is_silent = self._falls_silent = False
        self.drain_acknowledged = False
        self._checker.target_started(self.host)

    def drain(self, silently=False):
        """Report the draining state in all further heartbeats.

        With ``silently``, the first acknowledged one is the last heartbeat.
        """
        self.state, self._falls_silent = "draining", silently

    async def heartbeat(self):
        if self.is_silent:
            return
        is_draining, start_number = self.state == "draining", self.start_number
        acknowledged_before = self.acknowledged
        await super().heartbeat()
        if (
            is_draining
            and self.acknowledged > acknowledged_before
            and start_number == self.start_number
        ):
            now = asyncio.get_running_loop().time()
            self._checker.drain_acknowledged(self.host, now)
            self.drain_acknowledged = True
            self.is_silent = self._falls_silent

    def report(self):
        """Return the body of a heartbeat."""
        return {**super().report(), "born": self.started_at_ms}

    async def send_invalid_heartbeats(self):
        """Send stale, foreign and malformed heartbeats, as other processes may."""
        now = self.report()
        invalid = (
            {**now, "seq": max(0, now["seq"] - 3), "state": "draining"},
            {**now, "seq": max(0, now["seq"] - 3), "state": "ready"},
            {**now, "born": self.started_at_ms - 5_000, "state": "draining"},
            {**now, "service": "elsewhere", "seq": now["seq"] + 100},
            {**now, "slots": "many"},
            {"seq": None},
        )
        bodies = [json.dumps(body).encode() for body in invalid]
        for body in (*bodies, b"\xff{", b""):
            await self.post_heartbeat(body)

    def datagram_received(self, data, addr):
        now = asyncio.get_running_loop().time()
        self._checker.target_received(self.host, self.service, data, now)
        caller, service_address = endpoints_of(data)
        flow, flags = (caller, service_address), flags_of(data)
        if self.is_hung:
            return
        if flags & SYN:
            self._receive_syn(flow, int.from_bytes(data[:4], "big"))
            return
        acknowledged = int.from_bytes(data[4:8], "big")
        if flow not in self.flows and self._half_open.get(flow) == acknowledged:
            self.flows[flow] = self._half_open.pop(flow)
            self._checker.flow_opened(self.host, caller)
        if flow not in self.flows:
            self.send(returned(data))
        elif self.flows[flow] != acknowledged:
            return  # a packet of an earlier flow of the port
        elif len(data) > HEADER_BYTES and self.is_failing:
            del self.flows[flow]
            self._checker.flow_closed(caller)
            self.reply(packet(service_address, caller, RST, acknowledged, 1))
        elif len(data) > HEADER_BYTES:
            body = f"{self.host}:".encode() + data[HEADER_BYTES:]
            self.reply(packet(service_address, caller, ACK, acknowledged, 1, body))
        elif flags & FIN:
            del self.flows[flow]
            self._checker.flow_closed(caller)
            self.reply(packet(service_address, caller, ACK | FIN, acknowledged, 1))

    def _receive_syn(self, flow, seq):
        if self._syn_seqs.get(flow) != seq:  # not a copy
            self._syn_seqs[flow] = seq
            self.flows.pop(flow, None)
            self._half_open[flow] = next(self._initial_seqs)
        if flow in self._half_open:
            caller, service_address = flow
            self.reply(
                packet(service_address, caller, SYN | ACK, self._half_open[flow])
            )

    def reply(self, data):
        """Send a packet to its caller and record it."""
        self._checker.target_sent(data)
        self.send(data)


class SoakCaller(Caller):
    """A host of callers whose packets pass through the simulated network.

    Parameters
    ----------
    address : Address
        Where packets for callers arrive.
    network : Network
        Applies the faults of the links.
    router : Router
        Chooses the balancer for each packet.
    checker : InvariantChecker
        Records and checks all packets.
    """

    def __init__(self, address, network, router, checker):
        super().__init__(address)
        self._network, self._router, self._checker = network, router, checker
        self._rng = random.Random(address.port)
        self.reused_ports = 0
        self._arrival_events = {}
        self._initial_seqs = {}
        self._closed = []  # (time, port, service) of each flow, oldest first

    def datagram_received(self, data, addr):
        # The faults depend on the host that sent the packet.
        self._network.forward(addr[0], "callers", self._receive, data, addr[0])

    def _receive(self, data, source):
        now = asyncio.get_running_loop().time()
        self._checker.caller_received(data, source, now)
        _, caller = endpoints_of(data)
        self.received.setdefault(caller[1], []).append(data)
        if caller[1] in self._arrival_events:
            self._arrival_events[caller[1]].set()

    def transmit(self, port, flags, service_address, data=b"", seq=1, ack=0):
        """Send one packet of a flow to the balancer that the router chooses."""
        balancer = self._router.choose_balancer((self.address.host, port))
        datagram = packet(
            (self.address.host, port), service_address, flags, seq, ack, data
        )
        self._checker.caller_sent(datagram, balancer.host)
        self._network.forward(
            "callers", balancer.host, self._transport.sendto, datagram, balancer
        )

    async def open_flow(self, service):
        """Try to open a flow; return its port, or None after a timeout or a reset."""
        port, service_address = self._choose_port(service), SERVICE_ADDRESSES[service]
        self._arrival_events[port] = asyncio.Event()
        started_at = asyncio.get_running_loop().time()
        for attempt, at_s in enumerate(SYN_SEND_TIMES_S):
            await self._wait_for_packet(port, started_at + at_s)
            if self.received.get(port):
                break
            self.transmit(
                port, SYN, service_address, seq=self._initial_seqs[port], ack=attempt
            )
        await self._wait_for_packet(port, started_at + OPEN_TIMEOUT_S)
        if not self.is_open(port) or self.is_reset(port):
            return None
        self.transmit(
            port,
            ACK,
            service_address,
            seq=self._initial_seqs[port] + 1,
            ack=self._target_seq(port),
        )
        return port

    def _choose_port(self, service):
        """Return a port whose last flow to the service has ended, or a new one."""
        now = asyncio.get_running_loop().time()
        reusable = [
            item
            for item in self._closed
            if item[2] == service and now - item[0] > PORT_REUSE_DELAY_S
        ]
        if not reusable or self._rng.random() > PORT_REUSE_SHARE:
            port = self.new_port()
            self._initial_seqs[port] = port
            return port
        self._closed.remove(reusable[0])
        port = reusable[0][1]
        self._initial_seqs[port] += SEQ_STEP
        self.received[port] = []
        self.reused_ports += 1
        self._checker.port_reused((self.address.host, port))
        return port

    async def request(self, port, service, body, timeout_s):
        """Send data until it is answered; return whether that is in time."""
        loop = asyncio.get_running_loop()
        deadline, resend_delay_s = loop.time() + timeout_s, MIN_RESEND_DELAY_S
        seq = self._initial_seqs[port] + 1 + 100 * (1 + len(self.answers(port)))
        while loop.time() < deadline and not self.is_reset(port):
            self.transmit(
                port, ACK, SERVICE_ADDRESSES[service], body, seq, self._target_seq(port)
            )
            await self._wait_for_packet(
                port, min(deadline, loop.time() + resend_delay_s), body
            )
            if self._has_answer(port, body):
                return True
            resend_delay_s = min(MAX_RESEND_DELAY_S, resend_delay_s * 2)
        return self._has_answer(port, body)

    async def end_flow(self, port, service):
        """Close a flow; its port may be reused if the target answers."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for at_s in (*FIN_SEND_TIMES_S, OPEN_TIMEOUT_S):
            while loop.time() < started_at + at_s and not self._is_closed(port):
                await asyncio.sleep(0.02)
            if self._is_closed(port) or self.is_reset(port):
                break
            self.transmit(
                port,
                ACK | FIN,
                SERVICE_ADDRESSES[service],
                seq=self._initial_seqs[port],
                ack=self._target_seq(port),
            )
        if self._is_closed(port):
            self._closed.append((loop.time(), port, service))

    def _is_closed(self, port):
        return any(flags_of(data) & FIN for data in self.received[port])

    def _target_seq(self, port):
        """Return the initial sequence number that the target chose."""
        syn_ack = next(d for d in self.received[port] if flags_of(d) == SYN | ACK)
        return int.from_bytes(syn_ack[:4], "big")

    def _has_answer(self, port, body):
        return any(answer.endswith(b":" + body) for answer in self.answers(port))

    async def _wait_for_packet(self, port, deadline, body=None):
        """Wait for an answer, a reset or the deadline.

        The answer is that to ``body``, or the SYN-ACK if there is no body.
        """
        arrival, loop = self._arrival_events[port], asyncio.get_running_loop()
        while loop.time() < deadline and not self.is_reset(port):
            if self._has_answer(port, body) if body else self.is_open(port):
                return
            arrival.clear()
            try:
                async with asyncio.timeout_at(deadline):
                    await arrival.wait()
            except TimeoutError:
                return
