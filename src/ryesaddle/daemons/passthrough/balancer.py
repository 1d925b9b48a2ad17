"""Packet path of a balancer whose targets terminate the flows."""

import asyncio
import logging

from ryesaddle.internal.log import event
from ryesaddle.internal.routing.dispatcher import Discard, Dispatch
from ryesaddle.internal.routing.lookup_batches import LookupBatches
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.routing.search import (
    AwaitAnswers,
    Inconclusive,
    LookUp,
    NotFound,
    PresumeHolder,
    ProbeAgent,
    QueryAgents,
    Searches,
)
from ryesaddle.internal.target.queue import COPY_DELAYS_S
from ryesaddle.internal.wire.passthrough import (
    Candidate,
    FlowLocation,
    FlowLookup,
    FlowLookupResult,
    FlowQuery,
    FlowUnknown,
    ForwardedPacket,
    LookupItem,
    ReturnedPacket,
)

log = logging.getLogger(__name__)

SEARCH_CHECK_INTERVAL_S = 0.05  # half of the time that an agent has for an answer
# Lookups of several flows are collected for this time, since they share datagrams. It
# is half of the time that an agent waits for its target.
LOOKUP_DELAY_S = 0.01


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
        self._lookups = LookupBatches()
        self._lookups_due = False
        self.last_packet_at = 0.0
        messages.on(ReturnedPacket, self._on_returned_packet)
        messages.on(FlowLocation, self._on_flow_location)
        messages.on(FlowUnknown, self._on_flow_unknown)
        messages.on(FlowLookupResult, self._on_lookup_result)

    async def run(self):
        """Continue delayed searches until cancelled."""
        while True:
            await asyncio.sleep(SEARCH_CHECK_INTERVAL_S)
            self.continue_searches()

    def continue_searches(self):
        """Continue searches that wait for a late answer or for the rate limit."""
        for flow in self._searches.expire_queries(self._now()):
            self._continue_search(flow)
        for flow, search in self._searches.pop_abandoned():
            self._metrics.count("balancer.searches_abandoned")
            event(log, "search-abandoned", flow=flow, asked=search.asked_count)

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
        if not packet.opens:
            self._forward(packet, data, route)
        elif route is not None:
            self._open_flow(packet, data, route.services(packet.flow)[0], route)
        elif packet.copy and not self._route_updater.was_removed(packet.flow.front):
            # A balancer that knows a newer configuration may have opened the flow.
            self._drop(packet, "no-route")
        else:
            self._send_reset(packet, "no-route")

    # New flows

    def _open_flow(self, packet, data, service, route):
        flow, now = packet.flow, self._now()
        # What agents said about an earlier flow of the same addresses no longer counts.
        self._searches.finish(flow)
        match self._placement.choose_agent(
            service, flow, packet.copy, now, route.repeatable
        ):
            case Discard(reason=reason):
                self._refuse(packet, service, reason, now)
            case Dispatch(member=member, reason=reason, others=others):
                forwarded = ForwardedPacket(
                    service=service,
                    balancer=self._settings.peer,
                    payload=data,
                    candidates=tuple(Candidate(m.node, m.address) for m in others),
                    priority=route.priority,
                    objective_ms=round(route.objective_s * 1000),
                    timeout_ms=round(route.timeout_s * 1000),
                    received_at=now,
                    repeatable=route.repeatable,
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
            self._refuse(
                packet,
                forwarded.service,
                "no-open-member",
                forwarded.received_at,
                forwarded.asked,
            )
        else:
            self._send_opening_packet(packet, forwarded, member, "returned")

    def _refuse(self, packet, service, reason, received_at, asked=()):
        """Reject a new flow whose service is evacuated; drop any other one."""
        member = self._placement.find(packet.flow)
        is_elsewhere = member is not None and member.node not in asked
        if self._placement.is_evacuated(service) and not is_elsewhere:
            self._reject(packet, "evacuated", received_at)
        else:
            self._drop(packet, reason)

    def _reject(self, packet, reason, received_at):
        """Reset a new flow, or drop the packet if another copy may have opened it.

        Only the first packet can be answered with a reset, and only until its caller
        sends the first copy. A reset ends the flow wherever it has been opened.
        """
        age_s = self._now() - received_at
        if packet.copy or age_s >= COPY_DELAYS_S[1]:
            self._drop(packet, reason)
        else:
            self._placement.forget(packet.flow)
            self._send_reset(packet, reason)

    # Open flows

    def _forward(self, packet, data, route):
        """Send a packet of an open flow to the agent of the flow, or search for it.

        The flow stays at its target whatever the present configuration says.
        """
        now = self._now()
        member = self._placement.find(packet.flow)
        if member is not None:
            is_alive = self._placement.is_alive(member, now)
            self._send_to_agent(member, data, wants_location=not is_alive)
            if is_alive:
                return
            # The agent may be unreachable, or may never have held the flow.
            due = self._searches.add(packet, data, now)
            self._searches.skip_agent(packet.flow, member.node)
            if due:
                self._continue_search(packet.flow)
        elif route is None and self._route_updater.was_removed(packet.flow.front):
            self._send_reset(packet, "no-route")
        elif self._searches.add(packet, data, now):
            self._continue_search(packet.flow)

    def _services(self, flow):
        """Return the services of the route of a flow; none if the route is unknown."""
        routes = self._route_updater.routes
        route = None if routes is None else routes.find(flow.front)
        return () if route is None else route.services(flow)

    def _send_to_agent(self, member, data, wants_location=False):
        forwarded = ForwardedPacket(
            member.service, self._settings.peer, data, wants_location=wants_location
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
        if search.first_round_over:
            members = self._directory.members()
        else:
            members = self._placement.rank_for_search(self._services(flow), flow, now)
        complete = self._directory.complete
        step = self._searches.next_step(
            flow, members, complete, now, self._directory.answers_lookups
        )
        match step:
            case QueryAgents(nodes=nodes):
                self._query_agents(nodes, flow)
            case LookUp(nodes=nodes, with_packet=with_packet):
                self._look_up(nodes, flow, waiting.payload if with_packet else b"")
            case ProbeAgent(node=node, number=number):
                self._probe_agent(node, waiting, number)
            case NotFound():
                self._metrics.observe("balancer.lost", now - search.started_at)
                self._placement.forget(flow)
                self._send_reset(
                    waiting.packet,
                    "held-nowhere",
                    search_ms=round((now - search.started_at) * 1000, 1),
                    refusals=len(search.refused_by),
                    # Mostly the agent that the flow was last sent to.
                    first_refusal=next(iter(search.refused_by), ""),
                    last_refusal=next(reversed(search.refused_by), ""),
                )
            case PresumeHolder(node=node):
                self._use_presumed_holder(flow, node, search)
            case Inconclusive(reason=reason):
                self._metrics.count(f"balancer.search_retried.{reason}")
                event(log, "search-continues", flow=flow, reason=reason)
            case AwaitAnswers():
                pass

    def _query_agents(self, nodes, flow):
        for node in nodes:
            member = self._directory.find(node)
            # Agents of an older version know a flow of their own service only.
            query = FlowQuery(
                member.service, self._settings.peer, flow.caller, flow.front
            )
            self._messages.send(member.address, query)
        self._metrics.count("balancer.queried", len(nodes))
        event(log, "query", flow=flow, first=nodes[0], agents=len(nodes))

    def _look_up(self, nodes, flow, payload):
        """Ask agents for a flow in datagrams that several flows share."""
        item = LookupItem(flow.caller, flow.front, payload)
        for node in nodes:
            if full := self._lookups.add(node, item):
                self._send_lookup(node, full)
        self._metrics.count("balancer.looked_up", len(nodes))
        event(log, "lookup", flow=flow, agents=len(nodes), with_packet=bool(payload))
        if len(self._searches) == 1:
            self._send_lookups()
        elif not self._lookups_due:
            self._lookups_due = True
            self._call_later(LOOKUP_DELAY_S, self._send_lookups)

    def _send_lookups(self):
        self._lookups_due = False
        for node, items in self._lookups.pop_all():
            self._send_lookup(node, items)

    def _send_lookup(self, node, items):
        member = self._directory.find(node)
        if member is None:
            return
        self._messages.send(member.address, FlowLookup(self._settings.peer, items))
        self._searches.charge_datagrams(1, self._now())
        self._metrics.count("balancer.lookup_datagrams")

    def _on_lookup_result(self, result, addr):
        node = result.node
        self._record_sign_of_life(node)
        for found in result.held:
            self._finish_search(Flow(found.caller, found.front), node, "held")
        for found in result.absent:
            flow = Flow(found.caller, found.front)
            if self._record_refusal(flow, node):
                self._continue_search(flow)
        for found in result.unsure:
            flow = Flow(found.caller, found.front)
            if self._searches.record_unanswered(flow, node):
                self._continue_search(flow)
        for found in result.presumed:
            flow = Flow(found.caller, found.front)
            if self._searches.record_presumed(flow, node):
                self._continue_search(flow)

    def _probe_agent(self, node, waiting, number):
        member = self._directory.find(node)
        self._send_to_agent(member, waiting.payload, wants_location=True)
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
        self._record_sign_of_life(msg.node)
        self._metrics.count(f"balancer.returned.{msg.reason}")
        forwarded = msg.forwarded
        packet = self._packets.read_caller(forwarded.payload)
        if packet is None:
            self._metrics.count("balancer.malformed")
        elif packet.opens and msg.reason == "too-many":
            self._reject(packet, msg.reason, forwarded.received_at)
        elif packet.opens:
            self._retry_opening_packet(packet, forwarded)
        else:
            self._placement.forget(packet.flow)
            if packet.flow not in self._searches:
                now = self._now()
                self._searches.add(packet, forwarded.payload, now)
            if msg.reason == "other-service":
                # From an agent of an older version, without a look at its records.
                due = self._searches.record_unanswered(packet.flow, msg.node)
            else:
                due = self._record_refusal(packet.flow, msg.node)
            if due:
                self._continue_search(packet.flow)

    def _record_sign_of_life(self, node):
        self._placement.liveness.heard(node)
        self._directory.record_sign_of_life(node, self._now())

    def _record_refusal(self, flow, node):
        member = self._directory.find(node)
        target = "" if member is None else member.target
        return self._searches.record_refusal(flow, node, target)

    def _on_flow_unknown(self, msg, addr):
        self._record_sign_of_life(msg.node)
        flow = Flow(msg.caller, msg.front)
        if msg.certain:
            due = self._record_refusal(flow, msg.node)
        else:
            due = self._searches.record_uncertain(flow, msg.node)
        if due:
            self._continue_search(flow)

    def _on_flow_location(self, msg, addr):
        self._record_sign_of_life(msg.node)
        self._finish_search(Flow(msg.caller, msg.front), msg.node, "located")

    def _use_presumed_holder(self, flow, node, search):
        member = self._directory.find(node)
        self._placement.record_agent(flow, node)
        # This and later packets of the flow do not wait for the search.
        search.skipped.add(node)
        event(log, "found", flow=flow, agent=node, reason="presumed")
        # The target was sent the first packet with the lookup.
        for waiting in search.packets[1:]:
            self._send_to_agent(member, waiting.payload)
        del search.packets[1:]

    def _finish_search(self, flow, node, reason):
        """Record the agent of a flow, and send it the packets that wait for that."""
        member = self._directory.find(node)
        search = self._searches.finish(flow)
        if member is None:
            return
        self._placement.record_agent(flow, node)
        if search is None:
            return
        self._metrics.observe("balancer.found", self._now() - search.started_at)
        event(
            log,
            "found",
            flow=flow,
            agent=node,
            reason=reason,
            asked=search.asked_count,
            probes=search.probe_count,
        )
        if node in search.skipped:
            return  # The packets were sent to this agent when they arrived.
        # The target was sent the first packet with the lookup or the probe.
        was_sent = node in search.sent_to and (
            reason != "located" or search.probed_node == node
        )
        for waiting in search.packets[1:] if was_sent else search.packets:
            self._send_to_agent(member, waiting.payload)

    def _send_reset(self, packet, reason, **details):
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
            **details,
        )

    def _drop(self, packet, reason):
        self._metrics.count(f"balancer.dropped.{reason}")
        event(log, "drop", flow=packet.flow, copy=packet.copy, reason=reason)

    def _now(self):
        return asyncio.get_running_loop().time()

    def _call_later(self, delay_s, function):
        asyncio.get_running_loop().call_later(delay_s, function)
