"""Reports of an agent to the balancers."""

import asyncio
import logging

from ryesaddle.internal.admission.health import OnProbation, Serving
from ryesaddle.internal.config.evacuation import Evacuations
from ryesaddle.internal.log import event
from ryesaddle.internal.membership.drain_record import DrainRecord
from ryesaddle.internal.membership.readiness_gate import ReadinessGate
from ryesaddle.internal.membership.report_schedule import (
    REPORT_INTERVAL_S,
    ReportSchedule,
)
from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.wire.passthrough import (
    AgentReport,
    AgentReportAck,
    EvacuationUpdate,
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
    eras : EraTracker, optional
        Tracks the eras of the store.

    Attributes
    ----------
    on_evacuated : callable
        Called when the agent's data centre has been evacuated.
    """

    def __init__(
        self, settings, incarnation, target_state, router, messages, eras=None
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._target_state = target_state
        self._router = router
        self._messages = messages
        self._eras = eras or EraTracker()
        self._readiness_gate = ReadinessGate(self._now())
        self._schedule = ReportSchedule()
        self._evacuations = Evacuations()
        self._drain_record = DrainRecord()
        self._sequence = 0
        self._on_previous_target = lambda target, draining, source: None
        self._on_entry_missing = lambda: None
        self._on_drain_recorded = lambda: None
        self.on_evacuated = lambda: None
        messages.on(AgentReportAck, self._on_ack)
        messages.on(EvacuationUpdate, self._on_evacuation_update)
        messages.on(ReportRequest, self._on_report_request)

    def set_callbacks(self, on_previous_target, on_entry_missing, on_drain_recorded):
        """Set the functions that are called on messages of balancers.

        Parameters
        ----------
        on_previous_target : callable
            Takes the target's name, whether it is draining, and the source of both.
        on_entry_missing : callable
            Called without arguments when the store lacks the entry of this agent.
        on_drain_recorded : callable
            Called without arguments when another balancer knows that the target drains.
        """
        self._on_previous_target = on_previous_target
        self._on_entry_missing = on_entry_missing
        self._on_drain_recorded = on_drain_recorded

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

    def mark_entry_read(self):
        """Record that this agent's entry was read, or that the store has none."""
        self._readiness_gate.entry_read()
        self._open_if_ready()

    def is_draining_recorded(self):
        """Whether enough balancers know that the present target drains."""
        return self._drain_record.is_complete(self._target_state.target, self._schedule)

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
        if not target_state.draining:
            self._drain_record.clear()
        due_reports = self._schedule.due_reports(
            now, urgent, all_ack=self._needs_acks()
        )
        # A restored state that may be outdated must not replace a newer one at the
        # balancers, which keep what they know while the target is not named.
        is_named = target_state.is_certain() or target_state.draining
        outcomes = self._router.outcomes
        health_state = outcomes.health.state(now)
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
                target=target_state.target if is_named else "",
                draining=target_state.draining,
                sequence=self._sequence,
                interval_s=options.interval_s,
                wants_ack=options.wants_ack,
                gone=gone,
                work_s=round(self._router.work_s(now), 5),
                forecast=round(self._router.forecast(now), 3),
                answers_lookups=True,
                failing=not isinstance(health_state, Serving),
                on_probation=isinstance(health_state, OnProbation),
                usual_answers=outcomes.usual_answers() if options.wants_ack else (),
            )
            self._messages.send_all(addresses, report)

    def _update_readiness(self):
        """Update whether all balancers know this agent."""
        done = self._readiness_gate.is_satisfied(self._schedule, self._now())
        if done and not self._router.known_to_balancers:
            event(log, "introduced", balancers=len(self._schedule))
        self._router.known_to_balancers = done
        self._target_state.restored_confirmed = (
            self._readiness_gate.confirms_restored_state(self._schedule, self._now())
        )

    def _open_if_ready(self):
        """Update the readiness; report at once if the agent now accepts new flows."""
        was_open = self._router.is_open(self._now())
        self._update_readiness()
        if not was_open and self._router.is_open(self._now()):
            self.report()

    def _needs_acks(self):
        if not self._router.known_to_balancers or not self._target_state.is_certain():
            return True
        # Until then a restarted agent takes no new flow, as its target may be cold.
        if not self._router.knows_warm_up_limit:
            return True
        if self._router.awaits_evacuations(self._now()):
            return True
        return self._target_state.draining and not self.is_draining_recorded()

    def _remove_expired(self):
        for address in self._schedule.remove_expired(self._now()):
            event(log, "balancer-forgotten", address=address)

    def _on_ack(self, ack, addr):
        self._schedule.record_contact(addr, self._now())
        self._schedule.set_interval(addr, ack.interval_s)
        self._merge_evacuation(ack.evacuation, addr)
        self._eras.learn(ack.store_era, self._now())
        self._router.set_warm_up_limit(addr, ack.warm_up_per_s, self._now())
        self._router.outcomes.set_service_usual(ack.usual_answers)
        if ack.incarnation == self._incarnation:
            # Before this balancer counts as asked.
            self._on_previous_target(ack.target, ack.draining, f"balancer {ack.node}")
            self._readiness_gate.confirmed(addr)
            self._open_if_ready()
            if ack.draining and self._target_state.is_draining(ack.target):
                self._drain_record.record(ack.target, addr)
                self._on_drain_recorded()

    def _on_evacuation_update(self, update, addr):
        self._merge_evacuation(update.evacuation, addr)

    def _merge_evacuation(self, state, addr):
        """Close or open this agent if a newer state says so; it may be None."""
        if state is None:
            return
        self._router.confirm_evacuations(self._now())
        if not self._evacuations.merge(state):
            return
        evacuated = self._settings.data_centre in state.data_centres
        if evacuated == self._router.evacuated:
            return
        self._router.set_evacuated(evacuated, self._now())
        event(
            log,
            "evacuated" if evacuated else "evacuation-lifted",
            revision=state.revision,
            era=state.era,
            source=addr,
        )
        self.report()
        if evacuated:
            self.on_evacuated()

    def _on_report_request(self, request, addr):
        if self._schedule.record_contact(request.address, self._now()):
            event(log, "balancer-known", balancer=request.node, address=request.address)
        if request.register:
            event(log, "register-again", balancer=request.node)
            self._on_entry_missing()
        self._send_reports((request.address,))

    def _now(self):
        return asyncio.get_running_loop().time()
