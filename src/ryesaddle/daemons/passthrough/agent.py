"""Packet path of an agent whose target terminates the flows."""

import asyncio
import logging
from collections import deque

from ryesaddle.daemons.passthrough.target_probe import is_listening
from ryesaddle.internal.admission.health import Ejected, OnProbation, Serving
from ryesaddle.internal.log import event
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.target.flows import AnswerStarted, FlowAdopted, FlowOpened
from ryesaddle.internal.target.lookups import FlowLookups
from ryesaddle.internal.target.router import (
    Deliver,
    Drop,
    Enqueue,
    OfferTo,
    ReturnToBalancer,
)
from ryesaddle.internal.target.sent_packets import SentPackets
from ryesaddle.internal.wire.passthrough import (
    FlowLocation,
    FlowLookup,
    FlowQuery,
    FlowUnknown,
    ForwardedPacket,
    ReturnedPacket,
)

log = logging.getLogger(__name__)

EXPIRY_INTERVAL_S = 1.0
# A fraction of the duration of a request. Most queued flows are delivered earlier, when
# an answer of the target passes the agent.
CHECK_INTERVAL_S = 0.02
# A target, which runs on the agent's host, returns a packet within a millisecond.
CONFIRMATION_DELAY_S = 0.02
# Answers to lookups are collected for this time, unless none is left to come.
LOOKUP_RESULT_DELAY_S = 0.002
TARGET_CHECK_INTERVAL_S = 0.25  # of a target that is silent, until it is known to run
# A target that has missed so many heartbeats may have crashed.
MAX_MISSED_HEARTBEATS = 2


class PassthroughAgent:
    """Forwards packets between balancers, the target and callers.

    Parameters
    ----------
    settings : PassthroughAgentSettings
        Settings of the process.
    packets : PacketProtocol
        Reads and builds packets.
    target_state, flows : TargetState, TargetFlows
        State of the target and of its flows.
    queue, router : FlowQueue, AgentRouter
        Queued flows, and decisions about packets.
    messages : MessageSocket
        Exchanges messages with balancers and other agents.
    reporter : Reporter
        Reports the state of this agent to the balancers.
    target_socket : PacketSocket
        Exchanges packets with the target, and sends packets to callers.
    metrics : Metrics
        Counters of the process.
    """

    def __init__(
        self,
        settings,
        packets,
        target_state,
        flows,
        queue,
        router,
        messages,
        reporter,
        target_socket,
        metrics,
    ):
        self._settings = settings
        self._packets = packets
        self._target_state = target_state
        self._flows = flows
        self._queue = queue
        self._router = router
        self._messages = messages
        self._target_socket = target_socket
        self._metrics = metrics
        self._reporter = reporter
        self._sent_packets = SentPackets()
        self._pending_confirmations = deque()
        self._lookups = FlowLookups()
        self._lookup_results_due = False
        self._target_silent = False
        self._was_awaiting_evacuations = False
        self._health_state = Serving()
        messages.on(ForwardedPacket, self._on_forwarded_packet)
        messages.on(FlowQuery, self._on_flow_query)
        messages.on(FlowLookup, self._on_flow_lookup)
        reporter.on_evacuated = self._process_queue

    async def run(self):
        """Remove expired flows until cancelled."""
        while True:
            self._expire(self._now())
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    def _expire(self, now):
        for flow in self._flows.expire(now, self._settings.flow_max_s):
            self._metrics.count("agent.unanswered")
            event(log, "unanswered", flow=flow, target=self._target_state.target)

    def verify_flows(self):
        """Resend the last packet of each flow that awaits an answer.

        Called when a target has started or refuses flows. The flow may have been lost
        with the previous target. A target returns the packets of flows that it does
        not hold, so that the agent can reset them and the callers need not wait for a
        timeout. A flow that may have opened at another target, from a copy of its
        opening packet, is returned to the balancer instead.
        """
        for forwarded in self._flows.packets_awaiting_answer():
            flow = self._packets.read_caller(forwarded.payload).flow
            is_established = self._flows.is_established(flow)
            self._send_to_target(
                forwarded.payload, None if is_established else forwarded
            )
        # What the previous target would have returned does not count for this one.
        self._lookups.ask_again()
        self._continue_lookups()

    # Packets

    def _on_forwarded_packet(self, forwarded, addr):
        self._reporter.record_contact(forwarded.balancer)
        packet = self._packets.read_caller(forwarded.payload)
        if packet is None:
            self._metrics.count("agent.malformed")
            return
        now = self._now()
        decision = self._router.decide(forwarded, packet, now)
        if packet.opens and self._flows.remove_superseded(packet):
            self._metrics.count("agent.superseded")
            event(log, "forget", flow=packet.flow, reason="superseded")
        self._execute_decision(decision, forwarded, packet)

    def _on_flow_query(self, query, addr):
        self._reporter.record_contact(query.balancer)
        node, service = self._settings.node, self._settings.service
        verdict = self._recorded_verdict(Flow(query.caller, query.front))
        if verdict == "held":
            answer = FlowLocation(node, service, query.caller, query.front)
        else:
            certain = verdict == "absent"
            answer = FlowUnknown(node, query.caller, query.front, certain)
        self._messages.send(query.balancer, answer)

    def _recorded_verdict(self, flow):
        """Return what the records tell of a flow: held, absent or unsure."""
        if flow in self._flows:
            return "held"
        return "absent" if self._router.is_absent(self._now()) else "unsure"

    # Lookups

    def _on_flow_lookup(self, lookup, addr):
        self._reporter.record_contact(lookup.balancer)
        for item in lookup.items:
            flow = Flow(item.caller, item.front)
            if not item.payload:
                verdict = self._recorded_verdict(flow)
                self._lookups.record_answer(flow, lookup.balancer, verdict)
                continue
            packet = self._packets.read_caller(item.payload)
            if packet is None or packet.opens or packet.flow != flow:
                self._metrics.count("agent.malformed")
                self._lookups.record_answer(flow, lookup.balancer, "unsure")
            else:
                self._lookups.add(flow, item.payload, lookup.balancer)
        self._continue_lookups()

    def _continue_lookups(self):
        """Answer from the records, or send the packet of a flow to the target."""
        now = self._now()
        while (found := self._lookups.next_waiting()) is not None:
            flow, payload, balancer = found
            verdict = self._recorded_verdict(flow)
            if verdict == "held":
                # The balancer need not send the packet again: "held" means that the
                # target has been sent it, whether or not it had to be asked.
                self._lookups.resolve(flow, "held")
                forwarded = ForwardedPacket(self._settings.service, balancer, payload)
                packet = self._packets.read_caller(payload)
                self._deliver(Deliver("held"), forwarded, packet)
            elif verdict == "absent":
                self._lookups.resolve(flow, "absent")
            else:
                token = self._sent_packets.new_token()
                self._lookups.record_asked(flow, token, now)
                self._metrics.count("agent.lookup_asked")
                data = self._packets.with_token(payload, token)
                self._target_socket.send(data, self._settings.target_address)
        if not self._lookups:
            self._send_lookup_results()
        elif not self._lookup_results_due:
            self._lookup_results_due = True
            self._call_later(LOOKUP_RESULT_DELAY_S, self._send_lookup_results)

    def _expire_lookups(self):
        if not self._lookups:
            return
        now = self._now()
        self._lookups.expire(now, CONFIRMATION_DELAY_S, self._target_appears_alive(now))
        self._continue_lookups()

    async def watch_target_process(self):
        """Check whether a silent target still runs, until cancelled.

        After a power loss a target may not come back. Without this check its agent
        could not tell that its flows have ended, and their callers would wait.
        """
        while True:
            await asyncio.sleep(TARGET_CHECK_INTERVAL_S)
            now = self._now()
            if self._router.is_absent(now) or self._target_appears_alive(now):
                continue
            if not await is_listening(self._settings.target_address):
                self.record_target_not_running()

    def record_target_not_running(self):
        """Record that no process listens where the target does."""
        event(log, "target-not-running", target=self._target_state.target)
        self._metrics.count("agent.target_not_running")
        self._flows.record_target_start(self._now())
        self._lookups.ask_again()
        self._continue_lookups()

    def _target_appears_alive(self, now):
        """Whether it follows from a packet not returned that the target has kept it.

        A target that has crashed, or has not started yet, returns nothing either.
        """
        return not (
            self._target_state.has_missed_heartbeats(now, MAX_MISSED_HEARTBEATS)
            or self._router.is_target_unresponsive(now)
        )

    def _send_lookup_results(self):
        self._lookup_results_due = False
        for balancer, result in self._lookups.pop_results(self._settings.node):
            self._messages.send(balancer, result)
            for verdict in ("held", "absent", "unsure", "presumed"):
                flows = getattr(result, verdict)
                if flows:
                    self._metrics.count(f"agent.looked_up.{verdict}", len(flows))

    def _execute_decision(self, decision, forwarded, packet):
        match decision:
            case Deliver():
                self._deliver(decision, forwarded, packet)
            case Enqueue(reason=reason, notify_balancer=notify_balancer):
                if reason == "busy":
                    self._queue.put(packet.flow, forwarded, packet.copy, self._now())
                    self._log_decision("hold", packet, reason, "")
                if notify_balancer:
                    self._send_flow_location(forwarded, packet.flow)
            case Drop(reason=reason):
                self._drop(packet, reason)
            case OfferTo(candidate=candidate, forwarded=onward, reason=reason):
                self._messages.send(candidate.address, onward)
                self._metrics.count(f"agent.passed.{reason}")
                self._log_decision("pass", packet, reason, candidate.node)
            case ReturnToBalancer(forwarded=onward, reason=reason):
                returned = ReturnedPacket(self._settings.node, reason, onward)
                self._messages.send(forwarded.balancer, returned)
                self._metrics.count(f"agent.returned.{reason}")
                self._log_decision("give-back", packet, reason, forwarded.balancer)

    def _deliver(self, decision, forwarded, packet, waited_s=0.0):
        now = self._now()
        if packet.opens:
            self._flows.record_opening(
                packet.flow,
                now,
                forwarded,
                forwarded.timeout_ms / 1000,
                packet.sequence_number,
            )
            target, waited_ms = self._target_state.target, round(waited_s * 1000)
            self._log_decision("accept", packet, decision.reason, target, waited_ms)
            if decision.notify_balancer:
                self._send_flow_location(forwarded, packet.flow)
        else:
            self._flows.record_caller_packet(
                packet, forwarded, now, self._target_state.slots
            )
        token = self._send_to_target(forwarded.payload, forwarded)
        if forwarded.wants_location and decision.reason == "held":
            self._send_flow_location(forwarded, packet.flow)
        elif decision.reason == "asked":
            self._pending_confirmations.append((now, token, forwarded, packet.flow))
        self._metrics.count("agent.delivered")

    def _send_flow_location(self, forwarded, flow):
        location = FlowLocation(
            self._settings.node, forwarded.service, flow.caller, flow.front
        )
        self._messages.send(forwarded.balancer, location)

    async def watch(self):
        """Run the periodic checks until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.run_periodic_checks()

    def run_periodic_checks(self):
        """Check the target, the queue and adopted flows once."""
        self._check_standstill()
        self._check_target()
        self._check_health()
        self._process_queue()
        self._confirm_adopted_flows()
        self._expire_lookups()

    def _confirm_adopted_flows(self):
        """Confirm to balancers the flows whose packets the target has not returned."""
        now = self._now()
        while (
            self._pending_confirmations
            and now - self._pending_confirmations[0][0] >= CONFIRMATION_DELAY_S
        ):
            _, token, forwarded, flow = self._pending_confirmations.popleft()
            is_kept = self._sent_packets.find(token) is not None
            if is_kept and self._target_appears_alive(now):
                self._flows.record_adopted(flow, now)
                self._send_flow_location(forwarded, flow)

    def _check_standstill(self):
        """Report that this process has stood still, and what ends it."""
        awaits_evacuations = self._router.awaits_evacuations(self._now())
        if awaits_evacuations == self._was_awaiting_evacuations:
            return
        self._was_awaiting_evacuations = awaits_evacuations
        event(log, "stood-still" if awaits_evacuations else "evacuations-confirmed")
        self._reporter.report()

    def _check_target(self):
        """Report a change of the target's responsiveness.

        Opening packets that a silent target has not answered go to other agents.
        """
        is_silent = self._router.is_target_unresponsive(self._now())
        if is_silent == self._target_silent:
            return
        self._target_silent = is_silent
        event(log, "target-silent" if is_silent else "target-answers")
        self._reporter.report()
        if is_silent:
            for forwarded in self._flows.pop_unanswered():
                packet = self._packets.read_caller(forwarded.payload)
                decision = self._router.decide_unanswered(forwarded)
                self._execute_decision(decision, forwarded, packet)

    def _check_health(self):
        """Log failed requests, and report whether the target gets new flows."""
        now, outcomes = self._now(), self._flows.outcomes
        for failed in outcomes.settle(now):
            self._log_failed_request(failed)
        state = outcomes.health.state(now)
        if type(state) is not type(self._health_state):
            self._health_state = state
            self._log_health(state, now)
            self._reporter.report()

    def _log_failed_request(self, failed):
        self._metrics.count(f"agent.request_failed.{failed.reason}")
        compared_with = {}
        if failed.usual is not None:
            compared_with = {
                "usual_ms": round(failed.usual.time_s * 1000, 1),
                "usual_size": failed.usual.size,
            }
        event(
            log,
            "request-failed",
            flow=failed.flow,
            target=self._target_state.target,
            reason=failed.reason,
            taken_ms=round(failed.elapsed_s * 1000, 1),
            size=failed.size,
            **compared_with,
        )

    def _log_health(self, state, now):
        target = self._target_state.target
        match state:
            case Ejected(until=until, failures=failures, requests=requests):
                self._metrics.count("agent.ejected")
                event(
                    log,
                    "target-ejected",
                    target=target,
                    failures=failures,
                    requests=requests,
                    for_s=round(until - now, 1),
                )
            case OnProbation():
                event(log, "target-on-probation", target=target)
            case Serving():
                event(log, "target-returns", target=target)

    def _process_queue(self):
        if not self._queue:
            return
        now = self._now()
        for _, item in self._queue.pop_expired(self._flows.service_s, now):
            # Not reset: another agent may have opened the flow from a later copy of the
            # packet. The caller times out by itself within the time of one request.
            self._drop(self._packets.read_caller(item.forwarded.payload), "too-late")
        while (found := self._router.pop_next(now)) is not None:
            _, item = found
            packet = self._packets.read_caller(item.forwarded.payload)
            waited_s = now - item.queued_at
            self._metrics.observe("agent.wait", waited_s)
            self._deliver(Deliver("waited"), item.forwarded, packet, waited_s)
        if not self._router.is_open(now):
            for _, item in self._queue.pop_all():
                packet = self._packets.read_caller(item.forwarded.payload)
                decision = self._router.decide(item.forwarded, packet, now)
                self._execute_decision(decision, item.forwarded, packet)

    def _send_to_target(self, payload, forwarded):
        token = self._sent_packets.add(payload, forwarded)
        data = self._packets.with_token(payload, token)
        self._target_socket.send(data, self._settings.target_address)
        return token

    def on_target_packet(self, data, addr):
        """Handle a datagram from the target."""
        packet = self._packets.read_target(data)
        if packet is None:
            self._metrics.count("agent.malformed")
            return
        if packet.returned:
            self._on_returned_packet(packet)
            return
        match self._flows.record_target_packet(packet, self._now()):
            case FlowAdopted():
                event(
                    log,
                    "adopt",
                    flow=packet.flow,
                    target=self._target_state.target,
                    reason="accepted" if packet.accepts else "sent-packet",
                )
            case FlowOpened(elapsed_s=elapsed_s):
                self._metrics.observe("agent.open", elapsed_s)
            case AnswerStarted(elapsed_s=elapsed_s):
                self._metrics.observe("agent.service", elapsed_s)
                event(
                    log,
                    "answered",
                    flow=packet.flow,
                    target=self._target_state.target,
                    taken_ms=round(elapsed_s * 1000, 1),
                )
        if self._lookups and packet.flow in self._flows:
            self._resolve_lookup(packet.flow)
        self._send_to_caller(data, packet.flow)
        self._metrics.count("agent.answered")
        if self._queue and self._router.has_capacity(self._now()):
            self._process_queue()

    def _resolve_lookup(self, flow):
        if self._lookups.resolve(flow, "held"):
            self._continue_lookups()

    def _on_returned_packet(self, packet):
        if self._lookups.record_return(packet.token, packet.flow):
            self._flows.record_return(packet.flow, False)
            self._continue_lookups()
            return
        original = self._sent_packets.find(packet.token)
        if original is None:
            self._metrics.count("agent.return_unknown")
            return
        sent = self._packets.read_caller(original.payload)
        if sent is None or sent.flow != packet.flow:
            self._metrics.count("agent.return_unknown")
            return
        self._sent_packets.remove(packet.token)
        self._flows.record_return(sent.flow, sent.opens)
        if sent.opens and self._router.record_refusal(self._now()):
            event(
                log, "target-refuses", target=self._target_state.target, flow=sent.flow
            )
            self._metrics.count("agent.target_refused")
            self._reporter.report()
            self.verify_flows()
        if original.forwarded is None:
            self._send_reset(sent, "target-ended")
        else:
            self._execute_decision(
                self._router.decide_returned(original.forwarded),
                original.forwarded,
                sent,
            )

    def _send_reset(self, packet, reason):
        self._send_to_caller(self._packets.reset(packet), packet.flow)
        self._metrics.count(f"agent.reset.{reason}")
        event(
            log,
            "reset",
            flow=packet.flow,
            reason=reason,
            target=self._target_state.target,
        )

    def _drop(self, packet, reason):
        self._metrics.count(f"agent.dropped.{reason}")
        self._log_decision("drop", packet, reason, "")

    def _send_to_caller(self, data, flow):
        self._target_socket.send(data, (flow.caller.host, self._settings.callers.port))

    def _log_decision(self, name, packet, reason, to, waited_ms=0):
        event(
            log,
            name,
            flow=packet.flow,
            copy=packet.copy,
            reason=reason,
            to=to,
            load=round(self._router.load(self._now()), 2),
            waited_ms=waited_ms,
        )

    def _now(self):
        return asyncio.get_running_loop().time()

    def _call_later(self, delay_s, function):
        asyncio.get_running_loop().call_later(delay_s, function)
