"""The agent: owns the flows of the target beside it."""

import asyncio
import itertools
import logging

import msgspec
from aioquic.h3.connection import ErrorCode
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.events import (
    ConnectionTerminated,
    StopSendingReceived,
    StreamReset,
)

from ryesaddle.daemons.certificate import CertificateWatch
from ryesaddle.daemons.claims import Claims
from ryesaddle.daemons.control import json_answer
from ryesaddle.daemons.exchange import Exchange
from ryesaddle.daemons.gate import Gate
from ryesaddle.daemons.membership import running
from ryesaddle.daemons.node import compose_node, stop_event
from ryesaddle.daemons.relay import Relay
from ryesaddle.daemons.request import decode_request
from ryesaddle.daemons.stream import FlowStream
from ryesaddle.daemons.upstream import Upstream
from ryesaddle.daemons.views import ClaimViews
from ryesaddle.internal.admission.admission import Admission
from ryesaddle.internal.admission.health import Health
from ryesaddle.internal.config.model import Limits
from ryesaddle.internal.journal.journal import Journal
from ryesaddle.internal.journal.outcome import Outcome
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

INTRODUCE_S = 0.5
STOP_POLL_S = 0.05
STOP_LINGER_S = 1.0
CALLER_SILENCE_S = 3.0


class Agent:
    """Terminates QUIC and HTTP/3 for the callers of one target.

    Parameters
    ----------
    node : Node
        The member parts.
    endpoint : Endpoint
        QUIC connections.
    owner : Owner
        Decides whose datagram it is.
    gate : Gate
        Admission to the target.
    upstream : Upstream
        HTTP/1.1 to the target.
    claims : Claims
        Idempotency keys.
    relay : Relay
        Hands requests to other agents while the target drains.
    """

    def __init__(self, node, endpoint, owner, gate, upstream, claims, relay):
        self.node = node
        self.relay = relay
        self.claims = claims
        self.gate = gate
        self.upstream = upstream
        self.journal = Journal()
        self.health = Health()
        self._endpoint = endpoint
        self._owner = owner
        self._announced = node.me
        self._tokens = ResetTokens(node.peer_key)
        self._attempts = itertools.count(1)
        self._timers = {}
        self._tasks = set()
        node.peer.on(Forward, self._on_forward)
        node.peer.on(Introduce, self._on_introduce)
        node.peer.on(IntroduceAck, self._on_introduce_ack)
        node.server.route("GET", "/status", self._status)
        node.server.route("GET", "/requests/{request_id}", self._trace)
        node.membership.listen(self._on_change)
        relay.serve(self)

    def next_attempt(self):
        """Return a number that names an attempt in this run of the agent."""
        return next(self._attempts)

    def takes_new_work(self):
        """Whether the target may be handed a new request."""
        if self._owner.draining or self._owner.view is None:
            return False
        view, me = self._owner.view, self.node.me
        return me.node in view.by_node and view.is_open(view.by_node[me.node])

    def note_failure(self):
        """Count a request that the target failed."""
        self.health.failed(self._now())

    def transmit(self, flow):
        """Send what a flow has queued and arm its timer."""
        now = self._now()
        through = self._balancer_for(flow, now)
        for payload, _ in flow.conn.datagrams_to_send(now):
            answer = Answer(self.node.me.service, flow.caller, payload)
            self.node.peer.send(through, answer)
            self.node.metrics.count("agent.answered")
        self._endpoint.index(flow)
        self._arm(flow)

    async def introduce(self):
        """Make this agent known to the others of its service, until cancelled."""
        while True:
            self._introduce_once()
            self._announce_health()
            await asyncio.sleep(INTRODUCE_S)

    def _announce_health(self):
        failing = self.health.is_failing(self._now())
        if failing != self._announced.failing:
            self._announce(failing=failing)
            event(log, "health", target=self.node.me.target, failing=failing)

    def _announce(self, **changes):
        self._announced = msgspec.structs.replace(self._announced, **changes)
        self.node.membership.announce(self._announced)

    def _introduce_once(self):
        node = self.node
        cell = node.settings.cell
        record = node.membership.replica.snapshot.cells.get(cell)
        if record is None or node.me.node not in {m.node for m in record.members}:
            return
        msg = Introduce(node.me, cell, record.generation)
        for member in self._owner.unacknowledged():
            node.peer.send_control(member.address, msg)

    async def drain(self, limit_s):
        """Take no new work and wait for requests in progress.

        Parameters
        ----------
        limit_s : float
            Longest time to wait, in seconds.

        Returns
        -------
        int
            Flows with requests still in progress at the limit.
        """
        self._owner.draining = True
        self._announce(draining=True)
        deadline = self._now() + limit_s
        await asyncio.sleep(STOP_LINGER_S)
        while self._is_busy() and self._now() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        left = sum(self._in_progress(flow) for flow in self._endpoint.flows)
        for flow in self._endpoint.flows:
            flow.conn.close(error_code=ErrorCode.H3_NO_ERROR)
            self.transmit(flow)
        return left

    def _is_busy(self):
        # A member of the claim view stays until its claims are handed over, if
        # there is another agent to take them.
        view = self._owner.view
        alone = view is None or all(m.draining for m in view.members)
        holds = self.claims.acceptor.is_active(self._now()) and not alone
        return holds or any(self._in_progress(flow) for flow in self._endpoint.flows)

    def _in_progress(self, flow):
        # A caller that acknowledges nothing although its answer is being sent
        # again has gone; only its connection's time-out is left to wait for.
        if self._now() - flow.heard_at < CALLER_SILENCE_S:
            return bool(flow.exchanges)
        outcomes = [exchange.outcome for exchange, _ in flow.exchanges.values()]
        return Outcome.PENDING in outcomes

    def close(self):
        """Stop all timers and tasks."""
        for timer in self._timers.values():
            timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _now(self):
        return asyncio.get_running_loop().time()

    def _on_forward(self, datagram, fwd, addr):
        info = read_packet(fwd.payload)
        if info is None:
            self.node.metrics.count("agent.not_quic")
            return
        flow = self._endpoint.find(info.flow_id)
        arrival = Arrival(fwd, flow is not None, info.opens, info.flow_id)
        decision = self._owner.decide(arrival, self.gate.admission.load)
        match decision:
            case Accept():
                self._accept(flow, info, fwd, decision)
            case PassOn():
                self._pass_on(fwd, decision)
            case Refuse():
                self._refuse(info, fwd)
            case Silence():
                self.node.metrics.count(f"agent.silent.{decision.reason}")
        if decision.reason != "owned":
            self._log_decision(fwd, decision)

    def _accept(self, flow, info, fwd, decision):
        now = self._now()
        if flow is None:
            version_answer = self._endpoint.negotiate_version(info)
            if version_answer is not None:
                self._answer(fwd, version_answer)
                return
            flow = self._endpoint.open(info, fwd.caller, fwd.balancer, now)
            self.node.metrics.count("agent.opened")
        flow.receive(fwd.payload, fwd.caller, fwd.balancer, now)
        self._pump(flow)

    def _pass_on(self, fwd, decision):
        member = decision.member
        passed = Forward(
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
        self.node.peer.send(member.address, passed)
        self.node.metrics.count(f"agent.passed.{decision.reason}")

    def _refuse(self, info, fwd):
        self.node.metrics.count("agent.refused")
        if not info.is_short:
            return
        reset = self._tokens.datagram(info.flow_id, len(fwd.payload))
        if reset is not None:
            self._answer(fwd, reset)

    def _answer(self, fwd, payload):
        answer = Answer(fwd.service, fwd.caller, payload)
        self.node.peer.send(fwd.balancer, answer)

    def _pump(self, flow):
        for item in flow.events():
            match item:
                case HeadersReceived():
                    self._on_headers(flow, item)
                case DataReceived():
                    exchange = flow.exchanges.get(item.stream_id)
                    if exchange is not None:
                        exchange[0].feed(item.data, item.stream_ended)
                case StreamReset() | StopSendingReceived():
                    self._cancel(flow, item.stream_id)
                case ConnectionTerminated():
                    for stream_id in list(flow.exchanges):
                        self._cancel(flow, stream_id)
        self.transmit(flow)

    def _on_headers(self, flow, item):
        if item.stream_id in flow.exchanges:
            flow.exchanges[item.stream_id][0].feed(b"", item.stream_ended)
            return
        limits = self.gate.admission.limits
        req = decode_request(item.headers, limits.request_timeout_s)
        stream = FlowStream(flow, item.stream_id, self.transmit)
        exchange = Exchange(self, stream, req, self.next_attempt())
        if item.stream_ended:
            exchange.feed(b"", True)
        task = asyncio.get_running_loop().create_task(exchange.run())
        flow.exchanges[item.stream_id] = (exchange, task)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_done(flow, item.stream_id, done))

    def _on_done(self, flow, stream_id, task):
        self._tasks.discard(task)
        flow.exchanges.pop(stream_id, None)
        if not task.cancelled() and task.exception() is not None:
            log.error("exchange-failed", exc_info=task.exception())

    def _cancel(self, flow, stream_id):
        found = flow.exchanges.get(stream_id)
        if found is not None and not found[0].abandon():
            found[1].cancel()

    def _balancer_for(self, flow, now):
        if not flow.answers_stalled(now):
            return flow.balancer
        members = self.node.membership.replica.snapshot.members()
        others = [
            m.address
            for m in members
            if not m.service and not m.draining and m.address != flow.balancer
        ]
        return self.node.rng.choice(others) if others else flow.balancer

    def _arm(self, flow):
        timer = self._timers.pop(flow, None)
        if timer is not None:
            timer.cancel()
        when = flow.conn.get_timer()
        if when is not None and not flow.closed:
            loop = asyncio.get_running_loop()
            self._timers[flow] = loop.call_at(when, self._on_timer, flow)

    def _on_timer(self, flow):
        self._timers.pop(flow, None)
        flow.conn.handle_timer(self._now())
        self._pump(flow)

    def _on_introduce(self, datagram, body, addr):
        if self._owner.introduced(body.member, body.cell, body.generation):
            me = self.node.me
            self.node.peer.send_control(addr, IntroduceAck(me.node, me.incarnation))

    def _on_introduce_ack(self, datagram, body, addr):
        self._owner.acknowledged((body.node, body.incarnation))

    def _on_change(self):
        replica = self.node.membership.replica
        view = replica.views.get(self.node.me.service)
        if view is not None:
            self._owner.update(view)
        limits = replica.cfg.limits(self.node.me.service)
        self.gate.admission.limits = limits
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

    async def _status(self, req):
        replica = self.node.membership.replica
        admission = self.gate.admission
        return json_answer(
            {
                "node": self.node.me.node,
                "role": "agent",
                "service": self.node.me.service,
                "target": self.node.me.target,
                "config": replica.snapshot.generation,
                "open": self._owner.is_open(),
                "holds_claims": self.claims.acceptor.is_active(self._now()),
                "draining": not self.takes_new_work(),
                "flows": len(self._endpoint.flows),
                "running": admission.running,
                "load": admission.load,
                "leads": self.node.membership.cell.leads,
                "counts": dict(self.node.metrics.counts),
                "store_calls": self.node.store.calls,
            }
        )

    async def _trace(self, req):
        return json_answer(self.journal.find(req.match_info["request_id"]))


async def run_agent(settings):
    """Run an agent until it is told to stop."""
    cfg = make_configuration(settings.certificate_file, settings.private_key_file)
    node = compose_node(settings, settings.service, settings.target)
    now = asyncio.get_running_loop().time()
    endpoint = Endpoint(cfg, ResetTokens(node.peer_key))
    gate = Gate(Admission(Limits(), now))
    upstream = Upstream(settings.target_address)
    owner = Owner(node.me)
    claims = Claims(node, owner, Limits().key_ttl_s)
    views = ClaimViews(node, owner, claims)
    relay = Relay(node, owner)
    agent = Agent(node, endpoint, owner, gate, upstream, claims, relay)
    certificates = CertificateWatch(settings, endpoint)
    stop = stop_event()
    try:
        await node.open()
        async with running(
            node.membership.run(),
            node.metrics.run(),
            gate.run(),
            agent.introduce(),
            claims.run(),
            views.run(),
            certificates.run(),
        ):
            event(log, "started", node=node.me.node, role="agent")
            await stop.wait()
            event(log, "stopping", node=node.me.node)
            left = await agent.drain(gate.admission.limits.stop_limit_s)
            event(log, "drained", node=node.me.node, cut=left)
        # The cell's tasks have ended, so the lease is not renewed after this.
        await node.membership.resign()
    finally:
        agent.close()
        await upstream.close()
        await node.close()
    event(log, "stopped", node=node.me.node)
