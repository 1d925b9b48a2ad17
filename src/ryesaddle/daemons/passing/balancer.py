"""The packet path of a balancer in front of targets that hold their flows."""

import asyncio
import logging

import msgspec

from ryesaddle.internal.log import event
from ryesaddle.internal.routing.dispatcher import Discard
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.routing.search import Searches
from ryesaddle.internal.wire.passing import Candidate, Carry, Held, Return

log = logging.getLogger(__name__)

CONTINUE_S = 0.05  # half of the time after which an agent is passed over


class PassingBalancer:
    """Sends the packets of callers to agents, and searches for lost flows.

    Parameters
    ----------
    settings : PassingBalancerSettings
        Settings of the process.
    packets : PacketProtocol
        Reads and builds packets.
    dispatcher, directory : Dispatcher, Directory
        The decisions.
    follower : RouteFollower
        The configuration.
    messages : MessageSocket
        To agents.
    callers : PacketSocket
        To callers.
    metrics : Metrics
        Counters.

    Attributes
    ----------
    received_at : float
        When the last packet of a caller arrived.
    """

    def __init__(
        self,
        settings,
        packets,
        dispatcher,
        directory,
        follower,
        messages,
        callers,
        metrics,
    ):
        self._settings = settings
        self._packets = packets
        self._dispatcher = dispatcher
        self._directory = directory
        self._follower = follower
        self._messages = messages
        self._callers = callers
        self._metrics = metrics
        self._searches = Searches()
        self.received_at = 0.0
        messages.on(Return, self._on_return)
        messages.on(Held, self._on_held)

    def on_caller_packet(self, data, addr):
        """Take a datagram of a caller."""
        self.received_at = self._now()
        packet = self._packets.read_caller(data)
        if packet is None:
            self._metrics.count("balancer.malformed")
            return
        if self._follower.routes is None:
            self._drop(packet, "no-configuration")
            return
        route = self._follower.routes.find(packet.flow.front)
        if route is None:
            self._reset(packet, "no-route")
            return
        self._dispatch(packet, route, data)

    def _dispatch(self, packet, route, data):
        service = route.services(packet.flow)[0]
        decision = self._dispatcher.route(
            service,
            packet.flow,
            packet.opens,
            self._directory.view(service),
            self._now(),
            packet.copy,
            self._directory.load,
            self._lives,
        )
        if isinstance(decision, Discard):
            self._drop(packet, decision.reason)
            return
        carry = Carry(
            service=service,
            balancer=self._settings.peer,
            payload=data,
            candidates=tuple(Candidate(m.node, m.address) for m in decision.others),
            priority=route.priority,
            objective_ms=round(route.objective_s * 1000),
            timeout_ms=round(route.timeout_s * 1000),
        )
        self._send(decision, carry, packet)
        if decision.reason == "cached" and self._dispatcher.is_suspect(
            decision.member, self._now()
        ):
            # It may be dark, or the flow may never have been there.
            asked = (decision.member.node,)
            self._search(msgspec.structs.replace(carry, asked=asked), packet)

    def _send(self, decision, carry, packet):
        member = decision.member
        self._messages.send(member.address, carry)
        self._metrics.count("balancer.forwarded")
        if decision.reason == "cached":
            return
        self._dispatcher.placed(carry.service, packet.flow, member)
        if packet.opens:
            self._directory.sent(member.node)
        else:
            self._searches.asked(packet, carry, member.node, self._now())
        event(
            log,
            "route",
            flow=packet.flow,
            copy=packet.copy,
            service=carry.service,
            agent=member.node,
            target=member.target,
            reason=decision.reason,
            load=round(self._directory.load(member), 2),
            asked=len(carry.asked),
            configuration=self._follower.version,
        )

    async def run(self):
        """Continue searches whose agent does not answer, until cancelled."""
        while True:
            await asyncio.sleep(CONTINUE_S)
            self.continue_searches()

    def continue_searches(self):
        """Ask the next agent for each flow whose agent has not answered."""
        for search in self._searches.overdue(self._now()):
            asked = (*search.carry.asked, search.node)
            carry = msgspec.structs.replace(search.carry, asked=asked, unsure=True)
            self._search(carry, search.packet)

    def _on_return(self, msg, addr):
        self._dispatcher.heard(msg.node)
        packet = self._packets.read_caller(msg.carry.payload)
        if packet is None:
            self._metrics.count("balancer.malformed")
            return
        self._metrics.count(f"balancer.returned.{msg.reason}")
        self._searches.answered(packet.flow)
        self._search(msg.carry, packet)

    def _search(self, carry, packet):
        now = self._now()
        view = self._directory.view(carry.service)
        found = None
        if view is not None:
            found = self._dispatcher.search(
                carry.service,
                packet.flow,
                packet.opens,
                carry.asked,
                view,
                now,
                self._lives,
            )
        if found is not None:
            self._send(found, carry, packet)
        elif packet.opens:
            self._drop(packet, "no-open-member")
        elif not carry.unsure and self._directory.is_settled(
            carry.service, carry.asked
        ):
            self._reset(packet, "held-nowhere")
        else:
            self._dispatcher.forget_flow(carry.service, packet.flow)
            self._drop(packet, "holder-unknown")

    def _lives(self, member):
        return self._directory.lives(member.node, self._now())

    def _on_held(self, msg, addr):
        self._dispatcher.heard(msg.node)
        member = self._directory.find(msg.node)
        if member is not None:
            flow = Flow(msg.caller, msg.front)
            self._searches.answered(flow)
            self._dispatcher.placed(msg.service, flow, member)

    def _reset(self, packet, reason):
        if packet.resets:
            return
        answer = self._packets.reset(packet)
        host = packet.flow.caller.host
        self._callers.send(answer, (host, self._settings.callers.port))
        self._metrics.count(f"balancer.reset.{reason}")
        event(
            log,
            "reset",
            flow=packet.flow,
            copy=packet.copy,
            reason=reason,
            configuration=self._follower.version,
        )

    def _drop(self, packet, reason):
        self._metrics.count(f"balancer.dropped.{reason}")
        event(log, "drop", flow=packet.flow, copy=packet.copy, reason=reason)

    def _now(self):
        return asyncio.get_running_loop().time()
