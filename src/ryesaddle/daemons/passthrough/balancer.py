"""Packet path of a balancer whose targets terminate the flows."""

import asyncio
import logging

from ryesaddle.internal.log import event
from ryesaddle.internal.routing.dispatcher import Discard, Dispatch
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.routing.search import (
    AwaitAnswers,
    Inconclusive,
    NotFound,
    ProbeAgent,
    QueryAgents,
    Searches,
)
from ryesaddle.internal.wire.passthrough import (
    Candidate,
    FlowLocation,
    FlowQuery,
    FlowUnknown,
    ForwardedPacket,
    ReturnedPacket,
)

log = logging.getLogger(__name__)

SEARCH_CHECK_INTERVAL_S = 0.05  # half of the time that an agent has for an answer


class PassthroughBalancer:
    """Forwards callers' packets to agents, and searches for the agent of a flow.

    A balancer that starts has no state of the open flows. It asks the agents which of
    them holds a flow.

    Parameters
    ----------
    settings : PassthroughBalancerSettings
        Settings of the process.
    packets : PacketProtocol
        Reads and builds packets.
    placement, directory : Placement, AgentDirectory
        Select the agent of a flow, from the known agents.
    route_updater : RouteUpdater
        Holds the current routes.
    messages : MessageSocket
        Exchanges messages with agents.
    callers_socket : PacketSocket
        Sends packets to callers.
    metrics : Metrics
        Counters of the process.

    Attributes
    ----------
    last_packet_at : float
        Time at which the last packet of a caller arrived.
    """

    def __init__(
        self,
        settings,
        packets,
        placement,
        directory,
        route_updater,
        messages,
        callers_socket,
        metrics,
    ):
        self._settings = settings
        self._packets = packets
        self._placement = placement
        self._directory = directory
        self._route_updater = route_updater
        self._messages = messages
        self._callers_socket = callers_socket
        self._metrics = metrics
        self._searches = Searches()
        self.last_packet_at = 0.0
        messages.on(ReturnedPacket, self._on_returned_packet)
        messages.on(FlowLocation, self._on_flow_location)
        messages.on(FlowUnknown, self._on_flow_unknown)

    async def run(self):
        """Continue delayed searches until cancelled."""
        while True:
            await asyncio.sleep(SEARCH_CHECK_INTERVAL_S)
            self.continue_searches()

    def continue_searches(self):
        """Continue searches that wait for a late answer or for the rate limit."""
        for flow in self._searches.expire_queries(self._now()):
            self._continue_search(flow)

    def on_caller_packet(self, data, addr):
        """Handle a datagram from a caller."""
        self.last_packet_at = self._now()
        packet = self._packets.read_caller(data)
        if packet is None:
            self._metrics.count("balancer.malformed")
            return
        if self._route_updater.routes is None:
            self._drop(packet, "no-configuration")
            return
        route = self._route_updater.routes.find(packet.flow.front)
        if route is None:
            self._send_reset(packet, "no-route")
            return
        service = route.services(packet.flow)[0]
        if packet.opens:
            self._open_flow(packet, data, service, route)
        else:
            self._forward(packet, data, service)

    # New flows

    def _open_flow(self, packet, data, service, route):
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
                self._send_opening_packet(packet, forwarded, member, reason)

    def _send_opening_packet(self, packet, forwarded, member, reason):
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
            **self._placement.explain(member, self._now()),
            configuration=self._route_updater.version,
        )

    def _retry_opening_packet(self, packet, forwarded):
        """Send a new flow to the next agent that has not returned it."""
        order = self._placement.rank_agents(
            forwarded.service, packet.flow, True, self._now()
        )
        member = next((m for m in order if m.node not in forwarded.asked), None)
        if member is None:
            self._drop(packet, "no-open-member")
        else:
            self._send_opening_packet(packet, forwarded, member, "returned")

    # Open flows

    def _forward(self, packet, data, service):
        now = self._now()
        member = self._placement.find(service, packet.flow)
        if member is not None:
            self._send_to_agent(member, service, data)
            if self._placement.is_alive(member, now):
                return
            # The agent may be unreachable, or may never have held the flow.
            if self._searches.add(packet, data, service, now):
                self._searches.skip_agent(packet.flow, member.node)
                self._continue_search(packet.flow)
        elif self._searches.add(packet, data, service, now):
            self._continue_search(packet.flow)

    def _send_to_agent(self, member, service, data, wants_location=False):
        forwarded = ForwardedPacket(
            service, self._settings.peer, data, wants_location=wants_location
        )
        self._messages.send(member.address, forwarded)
        self._placement.liveness.expect_answer(member.node, self._now())
        self._metrics.count("balancer.forwarded")

    def _continue_search(self, flow):
        now = self._now()
        search = self._searches[flow]
        if not search.packets:
            return
        waiting = search.packets[0]
        members = self._placement.rank_agents(search.service, flow, False, now)
        match self._searches.next_step(flow, members, self._directory.complete, now):
            case QueryAgents(nodes=nodes):
                self._query_agents(nodes, flow, search.service)
            case ProbeAgent(node=node, number=number):
                self._probe_agent(node, waiting, search.service, number)
            case NotFound():
                self._placement.forget(flow)
                self._send_reset(waiting.packet, "held-nowhere")
            case Inconclusive(reason=reason):
                self._placement.forget(flow)
                self._drop(waiting.packet, reason)
            case AwaitAnswers():
                pass

    def _query_agents(self, nodes, flow, service):
        query = FlowQuery(service, self._settings.peer, flow.caller, flow.front)
        addresses = [self._directory.find(node).address for node in nodes]
        self._messages.send_all(addresses, query)
        self._metrics.count("balancer.queried", len(nodes))
        event(log, "query", flow=flow, first=nodes[0], agents=len(nodes))

    def _probe_agent(self, node, waiting, service, number):
        member = self._directory.find(node)
        self._send_to_agent(member, service, waiting.payload, wants_location=True)
        self._metrics.count("balancer.probed")
        event(
            log,
            "probe",
            flow=waiting.packet.flow,
            agent=node,
            target=member.target,
            number=number,
        )

    def _on_returned_packet(self, msg, addr):
        self._placement.liveness.heard(msg.node)
        self._metrics.count(f"balancer.returned.{msg.reason}")
        forwarded = msg.forwarded
        packet = self._packets.read_caller(forwarded.payload)
        if packet is None:
            self._metrics.count("balancer.malformed")
        elif packet.opens:
            self._retry_opening_packet(packet, forwarded)
        else:
            self._placement.forget(packet.flow)
            if packet.flow not in self._searches:
                now = self._now()
                self._searches.add(packet, forwarded.payload, forwarded.service, now)
            if self._searches.record_refusal(packet.flow, msg.node):
                self._continue_search(packet.flow)

    def _on_flow_unknown(self, msg, addr):
        self._placement.liveness.heard(msg.node)
        flow = Flow(msg.caller, msg.front)
        record = (
            self._searches.record_refusal
            if msg.certain
            else self._searches.record_uncertain
        )
        if record(flow, msg.node):
            self._continue_search(flow)

    def _on_flow_location(self, msg, addr):
        self._placement.liveness.heard(msg.node)
        flow = Flow(msg.caller, msg.front)
        member = self._directory.find(msg.node)
        search = self._searches.finish(flow)
        if member is None:
            return
        self._placement.record_agent(flow, msg.node)
        if search is None:
            return
        event(log, "found", flow=flow, agent=msg.node, probes=search.probe_count)
        # A probe has already delivered the first packet.
        was_probed = search.probed_node == msg.node
        for waiting in search.packets[1:] if was_probed else search.packets:
            self._send_to_agent(member, search.service, waiting.payload)

    def _send_reset(self, packet, reason):
        if packet.resets:
            return
        answer = self._packets.reset(packet)
        host = packet.flow.caller.host
        self._callers_socket.send(answer, (host, self._settings.callers.port))
        self._metrics.count(f"balancer.reset.{reason}")
        event(
            log,
            "reset",
            flow=packet.flow,
            copy=packet.copy,
            reason=reason,
            configuration=self._route_updater.version,
        )

    def _drop(self, packet, reason):
        self._metrics.count(f"balancer.dropped.{reason}")
        event(log, "drop", flow=packet.flow, copy=packet.copy, reason=reason)

    def _now(self):
        return asyncio.get_running_loop().time()
