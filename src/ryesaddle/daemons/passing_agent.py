"""The agent beside a target whose flows end at that target."""

import asyncio
import logging

from ryesaddle.daemons.http import HttpReply
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.routing.packet import Packet
from ryesaddle.internal.target.belief import Ignored, Taken
from ryesaddle.internal.target.holder import Deliver, GiveBack, OfferTo
from ryesaddle.internal.wire.passing import (
    Carry,
    Held,
    Hello,
    Report,
    ReportAck,
    Return,
)

log = logging.getLogger(__name__)

REPORT_S = 0.2  # a third of the time after which a balancer suspects an agent
EXPIRE_S = 1.0
ACK_REPORTS = 5  # one report in so many asks for a confirmation: one a second
FORGET_BALANCER_S = 15.0  # longer than any outage that a balancer comes back from
MAX_AWAITED = 1_024  # packets whose return is possible; a return takes below 1 ms


class PassingAgent:
    """Passes packets between balancers, the target and callers.

    Parameters
    ----------
    settings : PassingAgentSettings
        Settings of the process.
    incarnation : int
        Distinguishes runs of the agent.
    packets : PacketProtocol
        Reads and builds packets.
    belief, flows, holder : TargetBelief, TargetFlows, Holder
        The decisions.
    messages : MessageSocket
        To balancers and other agents.
    target : PacketSocket
        To the target and to callers.
    entry : EntryKeeper
        The entry in the store.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        settings,
        incarnation,
        packets,
        belief,
        flows,
        holder,
        messages,
        target,
        entry,
        metrics,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._packets = packets
        self._belief = belief
        self._flows = flows
        self._holder = holder
        self._messages = messages
        self._target = target
        self._entry = entry
        self._metrics = metrics
        self._balancers = {}
        self._sequence = 0
        self._awaited = [None] * MAX_AWAITED
        self._token = 0
        messages.on(Carry, self._on_carry)
        messages.on(ReportAck, self._on_ack)
        messages.on(Hello, self._on_hello)

    async def run(self):
        """Report and clean up until cancelled."""
        ticks = 0
        while True:
            self.report()
            ticks += 1
            if ticks * REPORT_S >= EXPIRE_S:
                ticks = 0
                self._expire(self._now())
            await asyncio.sleep(REPORT_S)

    def know_balancers(self, addresses):
        """Report to the balancers at these addresses from now on."""
        for address in addresses:
            self._balancers.setdefault(address, self._now())

    def report(self):
        """Tell the balancers how this agent and its target are."""
        self._sequence += 1
        belief = self._belief
        report = Report(
            node=self._settings.node,
            incarnation=self._incarnation,
            service=self._settings.service,
            data_centre=self._settings.data_centre,
            address=self._settings.peer,
            open=self._holder.is_open(),
            load=round(self._holder.load(), 3),
            slots=belief.slots,
            target=belief.target,
            draining=belief.draining,
            sequence=self._sequence,
            wants_ack=self._sequence % ACK_REPORTS == 1,
        )
        for address in self._balancers:
            self._messages.send(address, report)

    def heartbeat(self, report):
        """Take a heartbeat of the target; return the `HttpReply`."""
        decision = self._belief.hear(report, self._now())
        match decision:
            case Ignored(reason=reason):
                event(
                    log,
                    "heartbeat-ignored",
                    target=report.target,
                    service=report.service,
                    sequence=report.sequence,
                    reason=reason,
                )
            case Taken(change=change) if change != "same":
                self._note_change(change, report)
        return HttpReply(200, b"{}")

    def goodbye(self, target):
        """Take a target's goodbye; return the `HttpReply`."""
        if self._belief.leave(target):
            event(log, "target-left", target=target)
            self._reset_all("target-left")
            self.report()
            self._entry.want(None)
        return HttpReply(200, b"{}")

    def _expire(self, now):
        self._flows.expire(now, self._settings.flow_max_s)
        gone = [a for a, at in self._balancers.items() if now - at > FORGET_BALANCER_S]
        for address in gone:
            del self._balancers[address]
            event(log, "balancer-forgotten", address=address)

    def _note_change(self, change, report):
        event(
            log,
            "target",
            target=report.target,
            change=change,
            sequence=report.sequence,
            slots=report.slots,
            warm_up_s=report.warm_up_s,
        )
        if change == "started":
            self._reset_all("target-restarted")
        self.report()
        self._entry.want(
            TargetEntry(
                node=self._settings.node,
                service=self._settings.service,
                data_centre=self._settings.data_centre,
                address=self._settings.peer,
                target=report.target,
                draining=report.draining,
            )
        )

    def _reset_all(self, reason):
        for flow, position in self._flows.clear():
            packet = Packet(flow, position=position)
            self._target.send(self._packets.reset(packet), self._caller(flow))
            event(log, "reset", flow=flow, reason=reason)
            self._metrics.count("agent.reset")

    def _on_carry(self, carry, addr):
        packet = self._packets.read_caller(carry.payload)
        if packet is None:
            self._metrics.count("agent.malformed")
            return
        self._balancers[carry.balancer] = self._now()
        self._perform(self._holder.decide(carry, packet), carry, packet)

    def _perform(self, decision, carry, packet):
        match decision:
            case Deliver():
                self._deliver(decision, carry, packet)
            case OfferTo(candidate=candidate, carry=onward, reason=reason):
                self._messages.send(candidate.address, onward)
                self._metrics.count(f"agent.passed.{reason}")
                self._log_decision("pass", packet, reason, candidate.node)
            case GiveBack(carry=onward, reason=reason):
                back = Return(self._settings.node, reason, onward)
                self._messages.send(carry.balancer, back)
                self._metrics.count(f"agent.returned.{reason}")
                self._log_decision("give-back", packet, reason, "")

    def _deliver(self, decision, carry, packet):
        now = self._now()
        if packet.opens:
            self._flows.opened(packet.flow, now)
            self._log_decision("accept", packet, decision.reason, self._belief.target)
            if decision.moved:
                caller, front = packet.flow
                held = Held(self._settings.node, carry.service, caller, front)
                self._messages.send(carry.balancer, held)
        else:
            self._flows.from_caller(packet, now)
        self._token = (self._token + 1) & 0xFFFFFFFF or 1
        self._awaited[self._token % MAX_AWAITED] = (self._token, carry)
        data = self._packets.with_token(carry.payload, self._token)
        self._target.send(data, self._settings.target_address)
        self._metrics.count("agent.delivered")

    def on_target_packet(self, data, addr):
        """Take a datagram of the target."""
        packet = self._packets.read_target(data)
        if packet is None:
            self._metrics.count("agent.malformed")
            return
        if packet.returned:
            self._on_returned(packet)
            return
        self._flows.from_target(packet, self._now())
        self._target.send(data, self._caller(packet.flow))
        self._metrics.count("agent.answered")

    def _on_returned(self, packet):
        token, carry = self._awaited[packet.token % MAX_AWAITED] or (0, None)
        if token != packet.token or carry is None:
            self._metrics.count("agent.return_unknown")
            return
        self._awaited[packet.token % MAX_AWAITED] = None
        sent = self._packets.read_caller(carry.payload)
        if sent is None or sent.flow != packet.flow:
            self._metrics.count("agent.return_unknown")
            return
        self._flows.returned(packet.flow)
        self._perform(self._holder.returned(carry), carry, sent)

    def _on_ack(self, ack, addr):
        self._balancers[addr] = self._now()
        if ack.incarnation == self._incarnation:
            self._belief.restore(ack.target, ack.draining)

    def _on_hello(self, hello, addr):
        if hello.address not in self._balancers:
            event(log, "balancer-known", balancer=hello.node, address=hello.address)
        self._balancers[hello.address] = self._now()
        self.report()

    def _caller(self, flow):
        return (flow.caller.host, self._settings.callers.port)

    def _log_decision(self, name, packet, reason, to):
        event(
            log,
            name,
            flow=packet.flow,
            copy=packet.copy,
            reason=reason,
            to=to,
            load=round(self._holder.load(), 2),
        )

    def _now(self):
        return asyncio.get_running_loop().time()


def log_unknown_call(req):
    """Answer a call that no agent serves."""
    warn(log, "unknown-call", method=req.method, path=req.path)
    return HttpReply(404)
