"""Reports of an agent to the balancers."""

import asyncio
import logging

from ryesaddle.internal.log import event
from ryesaddle.internal.membership.readiness_gate import ReadinessGate
from ryesaddle.internal.membership.report_schedule import (
    REPORT_INTERVAL_S,
    ReportSchedule,
)
from ryesaddle.internal.wire.passthrough import (
    AgentReport,
    AgentReportAck,
    ReportRequest,
)

log = logging.getLogger(__name__)


class Reporter:
    """Reports the agent's state to the balancers, and handles their acknowledgements.

    An acknowledgement holds the target that the balancer knew before, from which a
    restarted agent restores its state.

    Parameters
    ----------
    settings : PassthroughAgentSettings
        Settings of the process.
    incarnation : int
        Distinguishes successive runs of the agent.
    target_state, router : TargetState, AgentRouter
        Provide the state that is reported.
    messages : MessageSocket
        Exchanges messages with balancers.
    """

    def __init__(self, settings, incarnation, target_state, router, messages):
        self._settings = settings
        self._incarnation = incarnation
        self._target_state = target_state
        self._router = router
        self._messages = messages
        self._readiness_gate = ReadinessGate(self._now())
        self._schedule = ReportSchedule()
        self._sequence = 0
        self._on_previous_target = lambda target, draining, source: None
        self._on_entry_missing = lambda: None
        messages.on(AgentReportAck, self._on_ack)
        messages.on(ReportRequest, self._on_report_request)

    def set_callbacks(self, on_previous_target, on_entry_missing):
        """Set the functions that are called on messages of balancers.

        Parameters
        ----------
        on_previous_target : callable
            Takes the target's name, whether it is draining, and the source of both.
        on_entry_missing : callable
            Called without arguments when the store lacks the entry of this agent.
        """
        self._on_previous_target, self._on_entry_missing = (
            on_previous_target,
            on_entry_missing,
        )

    async def run(self):
        """Send the reports that are due until cancelled."""
        while True:
            self._send_reports()
            self._remove_expired()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def add_balancers(self, addresses):
        """Report to the balancers at these addresses from now on, new ones at once."""
        now = self._now()
        self._send_reports(
            [
                address
                for address in addresses
                if self._schedule.record_contact(address, now)
            ]
        )

    def record_contact(self, address):
        """Record that a message of a balancer has arrived."""
        self._schedule.record_contact(address, self._now())

    def mark_registered(self):
        """Record that the store held this agent's entry before this run."""
        self._readiness_gate.registered_before()

    def report(self, gone=False):
        """Report to all balancers now.

        Parameters
        ----------
        gone : bool
            Whether this is the last report because the target has ended.
        """
        self._send_reports(self._schedule, gone)

    def _send_reports(self, urgent=(), gone=False):
        self._sequence += 1
        self._update_readiness()
        now, target_state = self._now(), self._target_state
        due_reports = self._schedule.due_reports(
            now, urgent, all_ack=not self._router.known_to_balancers
        )
        for options, addresses in due_reports.items():
            report = AgentReport(
                node=self._settings.node,
                incarnation=self._incarnation,
                service=self._settings.service,
                data_centre=self._settings.data_centre,
                address=self._settings.peer,
                open=self._router.is_open(now),
                load=round(self._router.load(now), 3),
                slots=target_state.slots,
                target=target_state.target,
                draining=target_state.draining,
                sequence=self._sequence,
                interval_s=options.interval_s,
                wants_ack=options.wants_ack,
                gone=gone,
                work_s=round(self._router.work_s(now), 5),
                forecast=round(self._router.forecast(now), 3),
            )
            self._messages.send_all(addresses, report)

    def _update_readiness(self):
        """Update whether all balancers know this agent."""
        done = self._readiness_gate.is_satisfied(self._schedule, self._now())
        if done and not self._router.known_to_balancers:
            event(log, "introduced", balancers=len(self._schedule))
        self._router.known_to_balancers = done

    def _remove_expired(self):
        for address in self._schedule.remove_expired(self._now()):
            event(log, "balancer-forgotten", address=address)

    def _on_ack(self, ack, addr):
        self._schedule.record_contact(addr, self._now())
        self._schedule.set_interval(addr, ack.interval_s)
        if ack.incarnation == self._incarnation:
            self._readiness_gate.confirmed(addr)
            if not self._router.known_to_balancers:
                self._update_readiness()
                if self._router.known_to_balancers:
                    self.report()
            self._on_previous_target(ack.target, ack.draining, f"balancer {ack.node}")

    def _on_report_request(self, request, addr):
        if self._schedule.record_contact(request.address, self._now()):
            event(log, "balancer-known", balancer=request.node, address=request.address)
        if request.register:
            event(log, "register-again", balancer=request.node)
            self._on_entry_missing()
        self._send_reports((request.address,))

    def _now(self):
        return asyncio.get_running_loop().time()
