"""Targets and callers of the soak; what they see goes into the ledger."""

import asyncio
import itertools
import json
import random
import time

from soak.ledger import Ledger
from tests.support.packets import (
    ACK,
    FIN,
    SYN,
    ends_of,
    flags_of,
    packet,
    returned,
)
from tests.support.platform_deployment import FRONTS, Caller, Target

COPIES_S = (0.0, 0.2, 0.6)  # when a caller sends its opening packet
OPEN_LIMIT_S = 1.4  # then it gives the attempt up
RESEND_S, RESEND_MAX_S = 0.2, 1.6  # waits between copies of a packet
HEADER_BYTES = 36


class SoakTarget(Target):
    """A target that restarts, drains and hangs, and gives each flow a number."""

    def __init__(self, name, service, app, outbound, admin, ledger: Ledger):
        super().__init__(name, service, app, outbound, admin)
        self.host = app.host
        self._ledger = ledger
        self._numbers = itertools.count(random.Random(name).getrandbits(20), 1000)
        self._half_open = {}
        self.start_number = 0
        self.hangs = False
        self.started()

    def started(self, same_name=False):
        """Begin anew: nothing of before is held."""
        self.start_number += 1
        if not same_name:
            self.name = f"i-{self.host}-{self.start_number}"
        self.born_ms = time.time_ns() // 1_000_000
        self.flows, self._half_open = set(), {}
        self.state, self.sequence = "ready", 0
        self._ledger.target_started(self.host)

    def drain(self):
        """Say from now on that this target is about to stop."""
        self.state = "draining"

    async def heartbeat(self):
        draining, number = self.state == "draining", self.start_number
        before = self.acknowledged
        await super().heartbeat()
        if draining and self.acknowledged > before and number == self.start_number:
            now = asyncio.get_running_loop().time()
            self._ledger.drain_acknowledged(self.host, now)

    def report(self):
        """Return the body of a heartbeat."""
        return {**super().report(), "born": self.born_ms}

    async def send_odd_heartbeats(self):
        """Send late, foreign and malformed heartbeats, as other writers do."""
        now = self.report()
        odd = (
            {**now, "seq": max(0, now["seq"] - 3), "state": "draining"},
            {**now, "born": self.born_ms - 5_000, "state": "draining"},
            {**now, "service": "elsewhere", "seq": now["seq"] + 100},
            {**now, "slots": "many"},
            {"seq": None},
        )
        bodies = [json.dumps(body).encode() for body in odd]
        for body in (*bodies, b"\xff{", b""):
            await self.post_heartbeat(body)

    def datagram_received(self, data, addr):
        now = asyncio.get_running_loop().time()
        self._ledger.target_received(self.host, self.service, data, now)
        caller, front = ends_of(data)
        flow, flags = (caller, front), flags_of(data)
        if self.hangs:
            return
        if flags & SYN:
            if flow not in self.flows:
                number = self._half_open.setdefault(flow, next(self._numbers))
                self.reply(packet(front, caller, SYN | ACK, number))
            return
        acknowledged = int.from_bytes(data[4:8], "big")
        if flow not in self.flows and self._half_open.get(flow) == acknowledged:
            self.flows.add(flow)
            del self._half_open[flow]
            self._ledger.opened(self.host, caller)
        if flow not in self.flows:
            self.send(returned(data))
        elif len(data) > HEADER_BYTES:
            body = f"{self.host}:".encode() + data[HEADER_BYTES:]
            self.reply(packet(front, caller, ACK, acknowledged, 1, body))
        elif flags & FIN:
            self.reply(packet(front, caller, ACK | FIN, acknowledged, 1))

    def reply(self, data):
        """Send a packet to its caller."""
        self._ledger.target_sent(data)
        self.send(data)


class SoakCaller(Caller):
    """A host of callers whose packets pass through the network.

    Parameters
    ----------
    address : Address
        Where packets for callers arrive.
    network : Network
        Decides what becomes of them.
    router : Router
        Names the balancer of each packet.
    ledger : Ledger
        What is seen.
    """

    def __init__(self, address, network, router, ledger):
        super().__init__(address)
        self._network, self._router, self._ledger = network, router, ledger
        self._arrived = {}

    def datagram_received(self, data, addr):
        # From whom it came decides whether the network lets it pass.
        self._network.carry(addr[0], "callers", self._take, data, addr[0])

    def _take(self, data, source):
        now = asyncio.get_running_loop().time()
        self._ledger.caller_received(data, source, now)
        _, caller = ends_of(data)
        self.received.setdefault(caller[1], []).append(data)
        if caller[1] in self._arrived:
            self._arrived[caller[1]].set()

    def transmit(self, port, flags, front, data=b"", seq=1, ack=0):
        """Send one packet of a flow by the balancer that the router names."""
        balancer = self._router.balancer((self.address.host, port))
        made = packet((self.address.host, port), front, flags, seq, ack, data)
        self._ledger.caller_sent(made, balancer.host)
        self._network.carry(
            "callers", balancer.host, self._transport.sendto, made, balancer
        )

    async def open_flow(self, service):
        """Try once to open a flow; return its port, or None."""
        port, front = self.new_port(), FRONTS[service]
        self._arrived[port] = asyncio.Event()
        begun = asyncio.get_running_loop().time()
        for number, at_s in enumerate(COPIES_S):
            await self._wait(port, begun + at_s)
            if self.received.get(port):
                break
            self.transmit(port, SYN, front, seq=port, ack=number)
        await self._wait(port, begun + OPEN_LIMIT_S)
        if not self.is_open(port) or self.is_reset(port):
            return None
        self.transmit(port, ACK, front, seq=port + 1, ack=self._number(port))
        return port

    async def request(self, port, service, body, limit_s):
        """Send data until its answer comes; return whether it has come in time."""
        loop = asyncio.get_running_loop()
        end, wait_s = loop.time() + limit_s, RESEND_S
        seq = port + 1 + 100 * (1 + len(self.answers(port)))
        while loop.time() < end and not self.is_reset(port):
            self.transmit(port, ACK, FRONTS[service], body, seq, self._number(port))
            await self._wait(port, min(end, loop.time() + wait_s), body)
            if self._has_answer(port, body):
                return True
            wait_s = min(RESEND_MAX_S, wait_s * 2)
        return self._has_answer(port, body)

    def end_flow(self, port, service):
        """Close a flow; its last packet may be lost."""
        self.transmit(
            port, ACK | FIN, FRONTS[service], seq=port, ack=self._number(port)
        )

    def _number(self, port):
        first = next(d for d in self.received[port] if flags_of(d) == SYN | ACK)
        return int.from_bytes(first[:4], "big")

    def _has_answer(self, port, body):
        return any(answer.endswith(b":" + body) for answer in self.answers(port))

    async def _wait(self, port, until, body=None):
        """Wait for a time, or for the first packet, a reset or the answer."""
        arrived, loop = self._arrived[port], asyncio.get_running_loop()
        while loop.time() < until and not self.is_reset(port):
            if self._has_answer(port, body) if body else self.is_open(port):
                return
            arrived.clear()
            try:
                async with asyncio.timeout_at(until):
                    await arrived.wait()
            except TimeoutError:
                return
