"""The agent: terminates the QUIC flows of its target and routes datagrams."""

import asyncio
import logging
from http import HTTPStatus

import msgspec

from ryesaddle.daemons.quic.admission_queue import AdmissionQueue
from ryesaddle.daemons.quic.certificate import CertificateReloader
from ryesaddle.daemons.quic.claim_views import ClaimViewCoordinator
from ryesaddle.daemons.quic.claims import ClaimManager
from ryesaddle.daemons.quic.control import json_response
from ryesaddle.daemons.quic.flow_manager import FlowManager
from ryesaddle.daemons.quic.membership import background_tasks
from ryesaddle.daemons.quic.node import build_node, create_stop_event
from ryesaddle.daemons.quic.relay import Relay
from ryesaddle.daemons.quic.upstream import Upstream
from ryesaddle.internal.admission.admission import Admission
from ryesaddle.internal.admission.health import Health, OnProbation, describe_health
from ryesaddle.internal.config.model import Limits
from ryesaddle.internal.journal.journal import Journal
from ryesaddle.internal.log import event
from ryesaddle.internal.quic.endpoint import Endpoint, make_configuration
from ryesaddle.internal.quic.packet import read_packet
from ryesaddle.internal.quic.reset import ResetTokens
from ryesaddle.internal.routing.owner import (
    Accept,
    Arrival,
    Owner,
    PassOn,
    Refuse,
    Silence,
)
from ryesaddle.internal.wire.control import Introduce, IntroduceAck
from ryesaddle.internal.wire.message import Answer, Forward

log = logging.getLogger(__name__)

ANNOUNCE_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
DRAIN_DELAY_S = 1.0


class Agent:
    """Routes datagrams among the agents of a service, and serves its own flows.

    Parameters
    ----------
    node : Node
        The components shared by balancers and agents.
    endpoint : Endpoint
        Holds the QUIC connections.
    owner : Owner
        Decides which agent handles a datagram.
    admission_queue : AdmissionQueue
        Limits the requests in progress at the target.
    upstream : Upstream
        HTTP/1.1 client of the target.
    claims : ClaimManager
        Claims idempotency keys.
    relay : Relay
        Forwards requests to other agents while the target drains.
    """

    def __init__(self, node, endpoint, owner, admission_queue, upstream, claims, relay):
        self.node = node
        self.relay = relay
        self.claims = claims
        self.admission_queue = admission_queue
        self.upstream = upstream
        self.journal = Journal()
        self.health = Health()
        self.flows = FlowManager(self, endpoint)
        self._owner = owner
        self._announcement = node.me
        self._reset_tokens = ResetTokens(node.peer_key)
        node.peer.add_handler(Forward, self._on_forward)
        node.peer.add_handler(Introduce, self._on_introduce)
        node.peer.add_handler(IntroduceAck, self._on_introduce_ack)
        node.server.route("GET", "/status", self._serve_status)
        node.server.route("GET", "/requests/{request_id}", self._serve_trace)
        node.membership.add_listener(self._on_replica_change)
        relay.register_handler(self.flows.run_relayed)

    def accepts_requests(self, repeatable=False):
        """Whether new requests may be sent to the target.

        Parameters
        ----------
        repeatable : bool
            Whether the caller may repeat the request. Such requests, on the flows that
            are open, test a target on probation.
        """
        if self._owner.draining or self._owner.view is None:
            return False
        view, me = self._owner.view, self.node.me
        if me.node not in view.by_node:
            return False
        member = view.by_node[me.node]
        if repeatable and member in view.excluded_members:
            return isinstance(self.health.state(self._now()), OnProbation)
        return view.is_open(member)

    def record_target_failure(self):
        """Record for the health check that the target failed a request."""
        self.health.failed(self._now())

    def record_target_answer(self, status):
        """Record for the health check how the target has answered a request.

        A target that is full answers with status 503, which is no failure.
        """
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.health.succeeded(self._now())
        elif status != HTTPStatus.SERVICE_UNAVAILABLE:
            self.health.failed(self._now())

    async def announce_periodically(self):
        """Introduce this agent to others and publish its health, until cancelled."""
        while True:
            self._send_introductions()
            self._announce_health()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def drain(self, limit_s):
        """Stop accepting requests and wait for those in progress.

        Parameters
        ----------
        limit_s : float
            Longest time to wait, in seconds.

        Returns
        -------
        int
            Requests that were still in progress at the limit.
        """
        self._owner.draining = True
        self._announce(draining=True)
        deadline = self._now() + limit_s
        await asyncio.sleep(DRAIN_DELAY_S)
        while self._must_keep_running() and self._now() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        unfinished = self.flows.count_in_progress()
        self.flows.close_flows()
        return unfinished

    def _must_keep_running(self):
        # A member of the claim view must run until its claims are handed over,
        # unless there is no other agent to take them.
        view = self._owner.view
        has_no_successor = view is None or all(m.draining for m in view.members)
        holds_claims = self.claims.acceptor.is_active(self._now())
        return (
            holds_claims and not has_no_successor
        ) or self.flows.count_in_progress() > 0

    def _now(self):
        return asyncio.get_running_loop().time()

    def _on_forward(self, datagram, fwd, addr):
        info = read_packet(fwd.payload)
        if info is None:
            self.node.metrics.count("agent.not_quic")
            return
        is_owned = self.flows.find(info) is not None
        arrival = Arrival(fwd, is_owned, info.may_open_flow, info.flow_id)
        decision = self._owner.decide(arrival, self.admission_queue.admission.load)
        match decision:
            case Accept():
                self.flows.receive(info, fwd)
            case PassOn():
                self._forward_to_member(fwd, decision)
            case Refuse():
                self._send_stateless_reset(info, fwd)
            case Silence():
                self.node.metrics.count(f"agent.silent.{decision.reason}")
        if decision.reason != "owned":
            self._log_decision(fwd, decision)

    def _forward_to_member(self, fwd, decision):
        member = decision.member
        forward = Forward(
            fwd.service,
            fwd.caller,
            fwd.balancer,
            member.node,
            member.incarnation,
            fwd.payload,
            decision.visited,
            decision.pending,
            decision.offer_load,
            decision.returned,
        )
        self.node.peer.send(member.address, forward)
        self.node.metrics.count(f"agent.passed.{decision.reason}")

    def _send_stateless_reset(self, info, fwd):
        self.node.metrics.count("agent.refused")
        if not info.has_short_header:
            return
        reset = self._reset_tokens.build_reset(info.flow_id, len(fwd.payload))
        if reset is not None:
            answer = Answer(fwd.service, fwd.caller, reset)
            self.node.peer.send(fwd.balancer, answer)

    def _announce(self, **changes):
        self._announcement = msgspec.structs.replace(self._announcement, **changes)
        self.node.membership.announce(self._announcement)

    def _announce_health(self):
        failing = self.health.is_failing(self._now())
        if failing != self._announcement.failing:
            self._announce(failing=failing)
            event(log, "health", target=self.node.me.target, failing=failing)

    def _send_introductions(self):
        node = self.node
        cell = node.settings.cell
        record = node.membership.replica.snapshot.cells.get(cell)
        if record is None or node.me.node not in {m.node for m in record.members}:
            return
        msg = Introduce(node.me, cell, record.generation)
        for member in self._owner.unacknowledged():
            node.peer.send_control(member.address, msg)

    def _on_introduce(self, datagram, body, addr):
        if self._owner.introduced(body.member, body.cell, body.generation):
            me = self.node.me
            self.node.peer.send_control(addr, IntroduceAck(me.node, me.incarnation))

    def _on_introduce_ack(self, datagram, body, addr):
        self._owner.acknowledged((body.node, body.incarnation))

    def _on_replica_change(self):
        replica = self.node.membership.replica
        view = replica.views.get(self.node.me.service)
        if view is not None:
            self._owner.update(view)
        limits = replica.cfg.limits(self.node.me.service)
        self.admission_queue.admission.limits = limits
        self._owner.free_below = limits.slots
        self.claims.acceptor.key_ttl_s = limits.key_ttl_s

    def _log_decision(self, fwd, decision):
        event(
            log,
            type(decision).__name__.lower(),
            flow=fwd.caller,
            service=fwd.service,
            target=self.node.me.target,
            reason=decision.reason,
            to=decision.member.node if isinstance(decision, PassOn) else "-",
            view=self._owner.view.version if self._owner.view else 0,
        )

    async def _serve_status(self, req):
        admission = self.admission_queue.admission
        return json_response(
            {
                **self.node.status("agent"),
                "service": self.node.me.service,
                "target": self.node.me.target,
                "open": self._owner.is_open(),
                "health": describe_health(self.health.state(self._now())),
                "holds_claims": self.claims.acceptor.is_active(self._now()),
                "draining": not self.accepts_requests(),
                "flows": len(self.flows),
                "running": admission.running,
                "load": admission.load,
            }
        )

    async def _serve_trace(self, req):
        return json_response(self.journal.find(req.match_info["request_id"]))


async def run_agent(settings):
    """Run an agent until SIGTERM or SIGINT."""
    cfg = make_configuration(settings.certificate_file, settings.private_key_file)
    node = build_node(settings, settings.service, settings.target)
    now = asyncio.get_running_loop().time()
    endpoint = Endpoint(cfg, ResetTokens(node.peer_key))
    admission_queue = AdmissionQueue(Admission(Limits(), now))
    upstream = Upstream(settings.target_address)
    owner = Owner(node.me)
    claims = ClaimManager(node, owner, Limits().key_ttl_s)
    view_coordinator = ClaimViewCoordinator(node, owner, claims)
    relay = Relay(node, owner)
    agent = Agent(node, endpoint, owner, admission_queue, upstream, claims, relay)
    certificate_reloader = CertificateReloader(settings, endpoint)
    stop_event = create_stop_event()
    try:
        await node.open()
        async with background_tasks(
            node.membership.run(),
            node.metrics.run(),
            admission_queue.run(),
            agent.announce_periodically(),
            claims.run(),
            view_coordinator.run(),
            certificate_reloader.run(),
        ):
            event(log, "started", node=node.me.node, role="agent")
            await stop_event.wait()
            event(log, "stopping", node=node.me.node)
            unfinished = await agent.drain(
                admission_queue.admission.limits.stop_limit_s
            )
            event(log, "drained", node=node.me.node, cut=unfinished)
        # The membership task has stopped and can no longer renew the lease.
        await node.membership.resign()
    finally:
        agent.flows.close()
        await upstream.close()
        await node.close()
    event(log, "stopped", node=node.me.node)
