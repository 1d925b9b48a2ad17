"""What an agent tells the balancers."""

import asyncio
import logging

from ryesaddle.internal.log import event
from ryesaddle.internal.membership.readiness_gate import ReadinessGate
from ryesaddle.internal.membership.report_schedule import (
    REPORT_INTERVAL_S,
    ReportSchedule,
)
from ryesaddle.internal.wire.passing import AgentReport, AgentReportAck, ReportRequest

log = logging.getLogger(__name__)


class Reporter:
    """Reports to the balancers, and learns from them what they knew before.

    Parameters
    ----------
    settings : PassingAgentSettings
        Settings of the process.
    incarnation : int
        Distinguishes runs of the agent.
    belief, holder : TargetState, AgentRouter
        What is reported.
    messages : MessageSocket
        To balancers.
    """

    def __init__(self, settings, incarnation, belief, holder, messages):
        self._settings = settings
        self._incarnation = incarnation
        self._belief = belief
        self._holder = holder
        self._messages = messages
        self._introduction = ReadinessGate(self._now())
        self._pace = ReportSchedule()
        self._sequence = 0
        self._on_known = lambda target, draining, source: None
        self._on_missing = lambda: None
        messages.on(AgentReportAck, self._on_ack)
        messages.on(ReportRequest, self._on_hello)

    def listen(self, on_known, on_missing):
        """Call these with what balancers knew, and when the store lacks the entry.

        Parameters
        ----------
        on_known : callable
            Takes the target's name, whether it drains, and who knew it.
        on_missing : callable
            Takes nothing.
        """
        self._on_known, self._on_missing = on_known, on_missing

    async def run(self):
        """Report until cancelled."""
        while True:
            self._send()
            self._forget()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def know(self, addresses):
        """Report to the balancers at these addresses from now on."""
        now = self._now()
        self._send(
            [
                address
                for address in addresses
                if self._pace.record_contact(address, now)
            ]
        )

    def heard(self, address):
        """Note a sign of life of a balancer."""
        self._pace.record_contact(address, self._now())

    def registered_before(self):
        """Note that the store held this agent's entry before this run."""
        self._introduction.registered_before()

    def report(self, gone=False):
        """Tell all balancers now how this agent and its target are.

        Parameters
        ----------
        gone : bool
            Whether this is the last report, since the target has ended.
        """
        self._send(self._pace, gone)

    def _send(self, news=(), gone=False):
        self._sequence += 1
        self._introduce()
        now, belief = self._now(), self._belief
        due_reports = self._pace.due_reports(
            now, news, all_ack=not self._holder.known_to_balancers
        )
        for item, addresses in due_reports.items():
            report = AgentReport(
                node=self._settings.node,
                incarnation=self._incarnation,
                service=self._settings.service,
                data_centre=self._settings.data_centre,
                address=self._settings.peer,
                open=self._holder.is_open(now),
                load=round(self._holder.load(now), 3),
                slots=belief.slots,
                target=belief.target,
                draining=belief.draining,
                sequence=self._sequence,
                interval_s=item.interval_s,
                wants_ack=item.wants_ack,
                gone=gone,
            )
            self._messages.send_all(addresses, report)

    def _introduce(self):
        """Note whether the balancers know this agent."""
        done = self._introduction.is_satisfied(self._pace, self._now())
        if done and not self._holder.known_to_balancers:
            event(log, "introduced", balancers=len(self._pace))
        self._holder.known_to_balancers = done

    def _forget(self):
        for address in self._pace.remove_expired(self._now()):
            event(log, "balancer-forgotten", address=address)

    def _on_ack(self, ack, addr):
        self._pace.record_contact(addr, self._now())
        self._pace.set_interval(addr, ack.interval_s)
        if ack.incarnation == self._incarnation:
            self._introduction.confirmed(addr)
            if not self._holder.known_to_balancers:
                self._introduce()
                if self._holder.known_to_balancers:
                    self.report()
            self._on_known(ack.target, ack.draining, f"balancer {ack.node}")

    def _on_hello(self, hello, addr):
        if self._pace.record_contact(hello.address, self._now()):
            event(log, "balancer-known", balancer=hello.node, address=hello.address)
        if hello.register:
            event(log, "register-again", balancer=hello.node)
            self._on_missing()
        self._send((hello.address,))

    def _now(self):
        return asyncio.get_running_loop().time()
