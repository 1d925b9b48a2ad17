"""The agent beside a target whose flows end at that target."""

import asyncio
import logging
from collections import deque

from ryesaddle.internal.log import event
from ryesaddle.internal.target.flows import AnswerStarted, FlowOpened
from ryesaddle.internal.target.router import (
    Deliver,
    Drop,
    Enqueue,
    OfferTo,
    Reject,
    ReturnToBalancer,
)
from ryesaddle.internal.target.sent_packets import SentPackets
from ryesaddle.internal.wire.passing import (
    FlowLocation,
    ForwardedPacket,
    ReturnedPacket,
)

log = logging.getLogger(__name__)

EXPIRE_S = 1.0
WATCH_S = 0.02  # a fraction of a request; most are let in when an answer passes by
CONFIRM_S = 0.02  # a target beside its agent returns a packet within a millisecond


class PassingAgent:
    """Passes packets between balancers, the target and callers.

    Parameters
    ----------
    settings : PassingAgentSettings
        Settings of the process.
    packets : PacketProtocol
        Reads and builds packets.
    belief, flows, queue, holder : TargetState, TargetFlows, FlowQueue, AgentRouter
        The decisions.
    messages : MessageSocket
        To balancers and other agents.
    reporter : Reporter
        Tells the balancers of this agent.
    target : PacketSocket
        To the target and to callers.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        settings,
        packets,
        belief,
        flows,
        queue,
        holder,
        messages,
        reporter,
        target,
        metrics,
    ):
        self._settings = settings
        self._packets = packets
        self._belief = belief
        self._flows = flows
        self._queue = queue
        self._holder = holder
        self._messages = messages
        self._target = target
        self._metrics = metrics
        self._reporter = reporter
        self._awaited = SentPackets()
        self._unconfirmed = deque()
        self._target_silent = False
        messages.on(ForwardedPacket, self._on_carry)

    async def run(self):
        """Forget old flows until cancelled."""
        while True:
            self._expire(self._now())
            await asyncio.sleep(EXPIRE_S)

    def _expire(self, now):
        for flow in self._flows.expire(now, self._settings.flow_max_s):
            self._metrics.count("agent.unanswered")
            event(log, "unanswered", flow=flow, target=self._belief.target)

    def verify_flows(self):
        """Send the last packet of each waiting flow again, after the target started.

        The target before may have taken the flow with it. The present one returns
        what it does not hold, and the caller need not wait any longer.
        """
        for payload in self._flows.packets_awaiting_answer():
            self._to_target(payload, None)

    # Packets

    def _on_carry(self, forwarded, addr):
        self._reporter.heard(forwarded.balancer)
        packet = self._packets.read_caller(forwarded.payload)
        if packet is None:
            self._metrics.count("agent.malformed")
            return
        decision = self._holder.decide(forwarded, packet, self._now())
        self._perform(decision, forwarded, packet)

    def _perform(self, decision, forwarded, packet):
        match decision:
            case Deliver():
                self._deliver(decision, forwarded, packet)
            case Enqueue(reason=reason, notify_balancer=notify_balancer):
                if reason == "busy":
                    self._queue.put(packet.flow, forwarded, packet.copy, self._now())
                    self._log_decision("hold", packet, reason, "")
                if notify_balancer:
                    self._tell_held(forwarded, packet.flow)
            case Reject(reason=reason):
                self._reset(packet, reason)
            case Drop(reason=reason):
                self._drop(packet, reason)
            case OfferTo(candidate=candidate, forwarded=onward, reason=reason):
                self._messages.send(candidate.address, onward)
                self._metrics.count(f"agent.passed.{reason}")
                self._log_decision("pass", packet, reason, candidate.node)
            case ReturnToBalancer(forwarded=onward, reason=reason):
                back = ReturnedPacket(self._settings.node, reason, onward)
                self._messages.send(forwarded.balancer, back)
                self._metrics.count(f"agent.returned.{reason}")
                self._log_decision("give-back", packet, reason, forwarded.balancer)

    def _deliver(self, decision, forwarded, packet, waited_s=0.0):
        now = self._now()
        if packet.opens:
            self._flows.record_opening(
                packet.flow, now, forwarded, forwarded.timeout_ms / 1000
            )
            target, waited_ms = self._belief.target, round(waited_s * 1000)
            self._log_decision("accept", packet, decision.reason, target, waited_ms)
            if decision.notify_balancer:
                self._tell_held(forwarded, packet.flow)
        else:
            self._flows.record_caller_packet(packet, forwarded.payload, now)
        token = self._to_target(forwarded.payload, forwarded)
        if forwarded.wants_location and decision.reason == "held":
            self._tell_held(forwarded, packet.flow)
        elif decision.reason == "asked":
            self._unconfirmed.append((now, token, forwarded, packet.flow))
        self._metrics.count("agent.delivered")

    def _tell_held(self, forwarded, flow):
        held = FlowLocation(
            self._settings.node, forwarded.service, flow.caller, flow.front
        )
        self._messages.send(forwarded.balancer, held)

    async def watch(self):
        """Look after flows and the target until cancelled."""
        while True:
            await asyncio.sleep(WATCH_S)
            self.tick()

    def tick(self):
        """Do what time alone makes due."""
        self._watch_target()
        self._serve_waiting()
        self._confirm_held()

    def _confirm_held(self):
        """Tell balancers of flows whose packets the target has not returned."""
        now = self._now()
        while self._unconfirmed and now - self._unconfirmed[0][0] >= CONFIRM_S:
            _, token, forwarded, flow = self._unconfirmed.popleft()
            if self._awaited.find(token) is not None:
                self._flows.record_adopted(flow, now)
                self._tell_held(forwarded, flow)

    def _watch_target(self):
        """Place new flows elsewhere when the target has become silent."""
        is_silent = self._holder.is_target_unresponsive(self._now())
        if is_silent == self._target_silent:
            return
        self._target_silent = is_silent
        event(log, "target-silent" if is_silent else "target-answers")
        self._reporter.report()
        if is_silent:
            for forwarded in self._flows.pop_unanswered():
                packet = self._packets.read_caller(forwarded.payload)
                self._perform(
                    self._holder.decide_returned(forwarded), forwarded, packet
                )

    def _serve_waiting(self):
        if not self._queue:
            return
        now = self._now()
        for _, item in self._queue.pop_expired(self._flows.service_s, now):
            # A reset could end the flow at another agent that got a later copy. The
            # caller gives up by itself within the time of one request.
            self._drop(self._packets.read_caller(item.forwarded.payload), "too-late")
        while (found := self._holder.pop_next(now)) is not None:
            _, item = found
            packet = self._packets.read_caller(item.forwarded.payload)
            waited_s = now - item.queued_at
            self._metrics.observe("agent.wait", waited_s)
            self._deliver(Deliver("waited"), item.forwarded, packet, waited_s)
        if not self._holder.is_open(now):
            for _, item in self._queue.pop_all():
                packet = self._packets.read_caller(item.forwarded.payload)
                decision = self._holder.decide(item.forwarded, packet, now)
                self._perform(decision, item.forwarded, packet)

    def _to_target(self, payload, forwarded):
        token = self._awaited.add(payload, forwarded)
        data = self._packets.with_token(payload, token)
        self._target.send(data, self._settings.target_address)
        return token

    def on_target_packet(self, data, addr):
        """Take a datagram of the target."""
        packet = self._packets.read_target(data)
        if packet is None:
            self._metrics.count("agent.malformed")
            return
        if packet.returned:
            self._on_returned(packet)
            return
        match self._flows.record_target_packet(packet, self._now()):
            case FlowOpened(elapsed_s=elapsed_s):
                self._metrics.observe("agent.open", elapsed_s)
            case AnswerStarted(elapsed_s=elapsed_s):
                self._metrics.observe("agent.service", elapsed_s)
                event(
                    log,
                    "answered",
                    flow=packet.flow,
                    target=self._belief.target,
                    taken_ms=round(elapsed_s * 1000, 1),
                )
        self._to_caller(data, packet.flow)
        self._metrics.count("agent.answered")
        if self._queue and self._holder.has_capacity(self._now()):
            self._serve_waiting()

    def _on_returned(self, packet):
        awaited = self._awaited.find(packet.token)
        if awaited is None:
            self._metrics.count("agent.return_unknown")
            return
        sent = self._packets.read_caller(awaited.payload)
        if sent is None or sent.flow != packet.flow:
            self._metrics.count("agent.return_unknown")
            return
        self._awaited.remove(packet.token)
        self._flows.record_return(sent.flow)
        if sent.opens and self._holder.record_refusal(self._now()):
            event(log, "target-refuses", target=self._belief.target, flow=sent.flow)
            self._metrics.count("agent.target_refused")
            self._reporter.report()
            self.verify_flows()
        if awaited.forwarded is None:
            self._reset(sent, "target-ended")
        else:
            self._perform(
                self._holder.decide_returned(awaited.forwarded), awaited.forwarded, sent
            )

    def _reset(self, packet, reason):
        self._to_caller(self._packets.reset(packet), packet.flow)
        self._metrics.count(f"agent.reset.{reason}")
        event(log, "reset", flow=packet.flow, reason=reason, target=self._belief.target)

    def _drop(self, packet, reason):
        self._metrics.count(f"agent.dropped.{reason}")
        self._log_decision("drop", packet, reason, "")

    def _to_caller(self, data, flow):
        self._target.send(data, (flow.caller.host, self._settings.callers.port))

    def _log_decision(self, name, packet, reason, to, waited_ms=0):
        event(
            log,
            name,
            flow=packet.flow,
            copy=packet.copy,
            reason=reason,
            to=to,
            load=round(self._holder.load(self._now()), 2),
            waited_ms=waited_ms,
        )

    def _now(self):
        return asyncio.get_running_loop().time()
