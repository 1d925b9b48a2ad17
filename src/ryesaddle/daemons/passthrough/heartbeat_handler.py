"""Heartbeats and goodbyes of the target of an agent."""

import asyncio
import logging

from ryesaddle.daemons.passthrough.http import HttpReply
from ryesaddle.internal.log import event
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.target.state import Applied, Ignored

log = logging.getLogger(__name__)

FIRST_SEQUENCE = 1  # of the heartbeat that a target sends when it starts


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
        reporter.set_callbacks(self.restore_target, self.restore_entry)

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

    def handle_heartbeat(self, report):
        """Handle a heartbeat of the target; return the `HttpReply`.

        A heartbeat that says draining is acknowledged only if the target gets no new
        flow from now on.
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
        return HttpReply(200, b"{}")

    def handle_goodbye(self, target):
        """Handle the message of a target that stops; return the `HttpReply`."""
        if self._target_state.mark_ended(target):
            event(log, "target", target=target, change="left")
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
        if change == "started" and report.sequence == FIRST_SEQUENCE:
            self._flows.record_target_start(self._now())
        self._reporter.report()
        if change == "started":
            self.on_target_started()
        self.register_target()

    def _now(self):
        return asyncio.get_running_loop().time()
