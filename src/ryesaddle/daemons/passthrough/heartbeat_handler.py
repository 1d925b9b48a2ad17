"""Heartbeats and goodbyes of the target of an agent."""

import asyncio
import logging
import time
from collections import deque
from typing import NamedTuple

from ryesaddle.daemons.passthrough.http import HttpReply
from ryesaddle.internal.log import event
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.target.first_heartbeat import shows_no_earlier_flow
from ryesaddle.internal.target.report import FIRST_SEQUENCE
from ryesaddle.internal.target.state import Applied, Ignored

log = logging.getLogger(__name__)

RECORD_TIMEOUT_S = 0.8  # a target waits 1 s for the answer to a heartbeat
RECORD_CHECK_INTERVAL_S = 0.02  # a fraction of the time of a write to the store
# Twice the round trip between two data centres.
RECORD_REQUEST_INTERVAL_S = 0.1


class _PendingAnswer(NamedTuple):
    """The answer to a heartbeat that says draining, until that is recorded."""

    future: asyncio.Future
    target: str
    expires_at: float


class HeartbeatHandler:
    """Handles the target's requests; forwards changes to the balancers and the store.

    Parameters
    ----------
    settings : PassthroughAgentSettings
        Settings of the process.
    target_state, flows : TargetState, TargetFlows
        State of the target and of its flows.
    reporter : Reporter
        Reports to the balancers.
    reconciler : EntryReconciler
        Maintains the entry in the store.
    metrics : Metrics
        Counters of the process.

    Attributes
    ----------
    target_known : asyncio.Event
        Set once the target is known.
    on_target_started : callable
        Called when a target has started.
    """

    def __init__(self, settings, target_state, flows, reporter, reconciler, metrics):
        self._settings = settings
        self._target_state = target_state
        self._flows = flows
        self._reporter = reporter
        self._reconciler = reconciler
        self._metrics = metrics
        self.target_known = asyncio.Event()
        self.on_target_started = lambda: None
        # Of the first target, or of the first one after a goodbye: the report, and the
        # age of the target in seconds or None.
        self._first_heartbeat = None
        self._stored_target = None
        self._pending_answers = deque()
        self._next_request_at = 0.0
        reporter.set_callbacks(
            self.restore_target, self.restore_entry, self.check_pending_answers
        )

    async def run(self):
        """Answer heartbeats that wait for a record, until cancelled."""
        while True:
            await asyncio.sleep(RECORD_CHECK_INTERVAL_S)
            self.check_pending_answers()

    def restore_target(self, target, draining, source):
        """Restore the target's state as known before this process started."""
        if self._target_state.restore(target, draining):
            event(
                log,
                "target-restored",
                target=target,
                draining=draining,
                source=source,
            )
            self.target_known.set()
            if draining:
                # The entry in the store may say otherwise.
                self.register_target()

    def record_stored_target(self, target):
        """Record the target of this agent's entry as read at the start, or empty."""
        self._stored_target = target
        self._check_first_heartbeat()

    def _record_start(self, report):
        """Conclude from a heartbeat that began a run which flows the target may hold.

        If another target was heard before and has said no goodbye, it may still run: a
        heartbeat of another writer can look like that of the next target. All flows
        since the first target was heard have passed this agent, so that nothing
        follows from a later first heartbeat. A target that was running before it was
        heard may hold flows from before this process started.
        """
        if self._first_heartbeat is None:
            age_s = None
            if report.started_at is not None:
                age_s = time.time() - report.started_at / 1000
            self._first_heartbeat = (report, age_s)
            self._check_first_heartbeat()
        elif report.sequence > FIRST_SEQUENCE:
            self._first_heartbeat = (report, None)
            self._flows.forget_target_start()
            event(log, "flows-unknown", target=report.target, sequence=report.sequence)

    def _check_first_heartbeat(self):
        if self._first_heartbeat is None:
            return
        report, age_s = self._first_heartbeat
        heartbeat_s = self._settings.heartbeat_ms / 1000
        if shows_no_earlier_flow(report, age_s, heartbeat_s, self._stored_target):
            self._flows.record_target_start(self._now())

    def handle_heartbeat(self, report):
        """Handle a heartbeat of the target; return the `HttpReply` or a future of it.

        A heartbeat that says draining is acknowledged only if the target gets no new
        flow from now on, also if this process is killed: the draining must be recorded
        in the store or at balancers (`DrainRecord`).
        """
        match self._target_state.apply_heartbeat(report, self._now()):
            case Ignored(reason=reason):
                self._metrics.count(f"agent.heartbeat_ignored.{reason}")
                event(
                    log,
                    "heartbeat-ignored",
                    target=report.target,
                    service=report.service,
                    sequence=report.sequence,
                    reason=reason,
                )
            case Applied(change=change):
                self._flows.record_sign_of_life()
                self._metrics.count("agent.heartbeat")
                if change != "same":
                    self._on_change(change, report)
        if report.draining and not self._target_state.is_draining(report.target):
            # New flows are not closed by a heartbeat that is ignored.
            return HttpReply(409, b"{}")
        if report.draining and not self._is_draining_recorded():
            return self._answer_when_recorded(report.target)
        return HttpReply(200, b"{}")

    def handle_malformed_heartbeat(self, target):
        """Reject a heartbeat that no target sends; return the `HttpReply`."""
        self._metrics.count("agent.heartbeat_malformed")
        event(log, "heartbeat-malformed", target=target)
        return HttpReply(400, b"{}")

    def check_pending_answers(self):
        """Answer the heartbeats whose draining was recorded or timed out."""
        now = self._now()
        if not self._pending_answers:
            return
        if self._is_draining_recorded():
            for pending in self._pending_answers:
                is_draining = self._target_state.is_draining(pending.target)
                self._answer(pending, 200 if is_draining else 409)
            self._pending_answers.clear()
            return
        while self._pending_answers and now >= self._pending_answers[0].expires_at:
            self._metrics.count("agent.drain_not_recorded")
            event(log, "drain-not-recorded", target=self._pending_answers[0].target)
            self._answer(self._pending_answers.popleft(), 503)
        if self._pending_answers and now >= self._next_request_at:
            self._request_record()

    def handle_goodbye(self, target):
        """Handle the message of a target that stops; return the `HttpReply`."""
        if self._target_state.mark_ended(target):
            event(log, "target", target=target, change="left")
            self._first_heartbeat = None
            self._reporter.report()
            self._reconciler.set_desired(None)
        return HttpReply(200, b"{}")

    def restore_entry(self):
        """Write the entry again because the store lacks it."""
        self._reconciler.forget_stored()
        self.register_target()

    def register_target(self):
        """Write the entry with the current target to the store."""
        if not self._target_state.target:
            return
        self._reconciler.set_desired(
            TargetEntry(
                node=self._settings.node,
                service=self._settings.service,
                data_centre=self._settings.data_centre,
                address=self._settings.peer,
                control=self._settings.control,
                target=self._target_state.target,
                draining=self._target_state.draining,
            )
        )

    def _is_draining_recorded(self):
        # The entry says draining as soon as the target does (`register_target`).
        return self._target_state.draining and (
            self._reconciler.in_sync.is_set() or self._reporter.is_draining_recorded()
        )

    def _answer_when_recorded(self, target):
        expires_at = self._now() + RECORD_TIMEOUT_S
        pending = _PendingAnswer(self._new_future(), target, expires_at)
        self._pending_answers.append(pending)
        self._request_record()
        return pending.future

    def _request_record(self):
        """Report to all balancers and request acknowledgements.

        An acknowledgement says what the balancer knew before the report, so that one
        follows the first report that says draining.
        """
        self._next_request_at = self._now() + RECORD_REQUEST_INTERVAL_S
        self._reporter.report()

    @staticmethod
    def _answer(pending, status):
        if not pending.future.done():
            pending.future.set_result(HttpReply(status, b"{}"))

    @staticmethod
    def _new_future():
        return asyncio.get_running_loop().create_future()

    def _on_change(self, change, report):
        event(
            log,
            "target",
            target=report.target,
            change=change,
            sequence=report.sequence,
            slots=report.slots,
            warm_up_s=report.warm_up_s,
        )
        self.target_known.set()
        if change == "started":
            self._record_start(report)
        self._reporter.report()
        if change == "started":
            self._flows.outcomes.record_target_start()
            self.on_target_started()
        self.register_target()

    def _now(self):
        return asyncio.get_running_loop().time()
