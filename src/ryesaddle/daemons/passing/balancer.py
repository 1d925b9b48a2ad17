"""The packet path of a balancer in front of targets that hold their flows."""

import asyncio
import logging

from ryesaddle.internal.log import event
from ryesaddle.internal.routing.dispatcher import Discard, Dispatch
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.routing.search import (
    Inconclusive,
    NotFound,
    QueryAgent,
    Searches,
)
from ryesaddle.internal.wire.passing import (
    Candidate,
    FlowLocation,
    ForwardedPacket,
    ReturnedPacket,
)

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
    placement, directory : Placement, AgentDirectory
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
        placement,
        directory,
        follower,
        messages,
        callers,
        metrics,
    ):
        self._settings = settings
        self._packets = packets
        self._placement = placement
        self._directory = directory
        self._follower = follower
        self._messages = messages
        self._callers = callers
        self._metrics = metrics
        self._searches = Searches()
        self.received_at = 0.0
        messages.on(ReturnedPacket, self._on_return)
        messages.on(FlowLocation, self._on_held)

    async def run(self):
        """Continue searches whose agent does not answer, until cancelled."""
        while True:
            await asyncio.sleep(CONTINUE_S)
            self.continue_searches()

    def continue_searches(self):
        """Ask the next agent for each flow whose agent has not answered."""
        for flow in self._searches.expire_queries(self._now()):
            self._ask_next(flow)

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
        service = route.services(packet.flow)[0]
        if packet.opens:
            self._open(packet, data, service, route)
        else:
            self._forward(packet, data, service)

    # New flows

    def _open(self, packet, data, service, route):
        flow, now = packet.flow, self._now()
        match self._placement.choose_agent(service, flow, packet.copy, now):
            case Discard(reason=reason):
                self._drop(packet, reason)
            case Dispatch(member=member, reason=reason, others=others):
                forwarded = ForwardedPacket(
                    service=service,
                    balancer=self._settings.peer,
                    payload=data,
                    candidates=tuple(Candidate(m.node, m.address) for m in others),
                    priority=route.priority,
                    objective_ms=round(route.objective_s * 1000),
                    timeout_ms=round(route.timeout_s * 1000),
                )
                self._place(packet, forwarded, member, reason)

    def _place(self, packet, forwarded, member, reason):
        self._messages.send(member.address, forwarded)
        self._metrics.count("balancer.opened")
        self._placement.record_agent(packet.flow, member.node)
        if reason != "cached":
            self._directory.count_flow(member.node)
        event(
            log,
            "route",
            flow=packet.flow,
            copy=packet.copy,
            service=forwarded.service,
            agent=member.node,
            target=member.target,
            reason=reason,
            load=round(self._directory.load(member), 2),
            configuration=self._follower.version,
        )

    def _place_again(self, packet, forwarded):
        """Offer a new flow to an agent that has not returned it."""
        order = self._placement.rank_agents(
            forwarded.service, packet.flow, True, self._now()
        )
        member = next((m for m in order if m.node not in forwarded.asked), None)
        if member is None:
            self._drop(packet, "no-open-member")
        else:
            self._place(packet, forwarded, member, "returned")

    # Open flows

    def _forward(self, packet, data, service):
        now = self._now()
        member = self._placement.find(service, packet.flow)
        if member is not None:
            self._send(member, service, data)
            if self._placement.is_alive(member, now):
                return
            # It may be dark, or the flow may never have been there.
            if self._searches.add(packet, data, service, now):
                self._searches.skip_agent(packet.flow, member.node)
                self._ask_next(packet.flow)
        elif self._searches.add(packet, data, service, now):
            self._ask_next(packet.flow)

    def _send(self, member, service, data, wants_location=False):
        forwarded = ForwardedPacket(
            service, self._settings.peer, data, wants_location=wants_location
        )
        self._messages.send(member.address, forwarded)
        self._placement.liveness.expect_answer(member.node, self._now())
        self._metrics.count("balancer.forwarded")

    def _ask_next(self, flow):
        now = self._now()
        search = self._searches[flow]
        waiting = search.packets[0] if search.packets else None
        if waiting is None:
            return
        members = self._placement.rank_agents(search.service, flow, False, now)
        match self._searches.next_step(flow, members, self._directory.complete, now):
            case QueryAgent(node=node, number=number):
                member = self._directory.find(node)
                self._send(member, search.service, waiting.payload, wants_location=True)
                self._metrics.count("balancer.asked")
                event(
                    log,
                    "ask",
                    flow=flow,
                    agent=node,
                    target=member.target,
                    number=number,
                    of=len(members),
                )
            case NotFound():
                self._placement.forget(flow)
                self._reset(waiting.packet, "held-nowhere")
            case Inconclusive(reason=reason):
                self._placement.forget(flow)
                self._drop(waiting.packet, reason)

    def _on_return(self, msg, addr):
        self._placement.liveness.heard(msg.node)
        self._metrics.count(f"balancer.returned.{msg.reason}")
        forwarded = msg.forwarded
        packet = self._packets.read_caller(forwarded.payload)
        if packet is None:
            self._metrics.count("balancer.malformed")
        elif packet.opens:
            self._place_again(packet, forwarded)
        else:
            self._placement.forget(packet.flow)
            if packet.flow not in self._searches:
                now = self._now()
                self._searches.add(packet, forwarded.payload, forwarded.service, now)
            if self._searches.record_refusal(packet.flow, msg.node):
                self._ask_next(packet.flow)

    def _on_held(self, msg, addr):
        self._placement.liveness.heard(msg.node)
        flow = Flow(msg.caller, msg.front)
        member = self._directory.find(msg.node)
        search = self._searches.finish(flow)
        if member is None:
            return
        self._placement.record_agent(flow, msg.node)
        if search is None:
            return
        event(log, "found", flow=flow, agent=msg.node, asked=len(search.refused_by))
        # The first of them is what the agent was asked with.
        for waiting in search.packets[1:]:
            self._send(member, search.service, waiting.payload)

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
