"""Tracks agents by their reports to a balancer."""

import asyncio
import logging

from ryesaddle.internal.log import event
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.report_schedule import report_interval_s
from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.wire.passthrough import (
    AgentReport,
    AgentReportAck,
    ReportRequest,
)

log = logging.getLogger(__name__)

# Half of the time after which an agent that has not answered is probed.
PROBE_INTERVAL_S = 0.1
# A request may be lost, and an agent gives up a balancer that it does not hear.
REQUEST_INTERVAL_S = 1.0


class AgentMonitor:
    """Records the reports of agents, and probes agents that do not answer.

    Parameters
    ----------
    entry : BalancerEntry
        Entry of this balancer.
    messages : MessageSocket
        Receives reports, and sends requests for them.
    directory : AgentDirectory
        The known agents and their state.
    liveness : Liveness
        Tracks which agents have not answered.
    evacuations : EvacuationMonitor
        Holds the evacuated data centres.
    route_updater : RouteUpdater
        Holds the current routes.
    eras : EraTracker, optional
        Tracks the eras of the store.
    """

    def __init__(
        self,
        entry,
        messages,
        directory,
        liveness,
        evacuations,
        route_updater,
        eras=None,
    ):
        self._entry = entry
        self._messages = messages
        self._directory = directory
        self._liveness = liveness
        self._evacuations = evacuations
        self._route_updater = route_updater
        self._eras = eras or EraTracker()
        self._next_request_at = 0.0
        messages.on(AgentReport, self._on_report)

    def digest(self):
        """Return a digest of the set of known agents."""
        return self._directory.digest()

    def is_complete(self):
        """Whether every registered agent is known or will report on its own."""
        return self._directory.complete

    def entries(self):
        """Return the known agents as `TargetEntry` items.

        Agents that have been silent for long are left out. Another balancer may have
        removed them already.
        """
        expired = {m.node for m in self._directory.expired(self._now())}
        return tuple(
            TargetEntry(
                node=m.node,
                service=m.service,
                data_centre=m.data_centre,
                address=m.address,
                target=m.target,
                draining=m.draining,
            )
            for m in self._directory.members()
            if m.node not in expired
        )

    def add_entries(self, entries):
        """Add agents by their entries, and request reports from new ones."""
        request = ReportRequest(self._entry.node, self._entry.address)
        for entry in entries:
            if self._directory.find(entry.node) is None:
                self._messages.send(entry.address, request)
        self._directory.add_entries(entries, self._now())

    def count(self):
        """Return the number of known agents."""
        return len(self._directory)

    def live_names(self):
        """Return the names of the agents that have reported recently."""
        return self._directory.live_agents(self._now())

    def has_expired(self):
        """Whether an agent has not reported for a long time."""
        return bool(self._directory.expired(self._now()))

    def remove_expired(self, registered):
        """Remove agents that have not reported for a long time and are not registered.

        A registered one may be out of reach of this balancer only.

        Parameters
        ----------
        registered : container of str
            Names of the agents in the store.
        """
        for member in self._directory.remove_expired(self._now(), registered):
            event(
                log,
                "agent",
                agent=member.node,
                service=member.service,
                target=member.target,
                change="forgotten",
            )

    def request_registration(self, nodes):
        """Ask agents that have a target to write their missing entries to the store."""
        request = ReportRequest(self._entry.node, self._entry.address, register=True)
        for node in nodes:
            member = self._directory.find(node)
            if member is not None and member.target:
                self._messages.send(member.address, request)

    def announce_era(self):
        """Tell all agents the era of the store, which they seldom call."""
        # No agent has incarnation 0, so this confirms none.
        interval_s = report_interval_s(len(self._directory))
        ack = AgentReportAck(
            self._entry.node, 0, interval_s=interval_s, store_era=self._eras.era
        )
        self._messages.send_all([m.address for m in self._directory.members()], ack)

    async def run(self):
        """Request reports from agents that have not answered, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            self.request_reports()

    def request_reports(self):
        """Request reports from agents that owe an answer, and from all silent ones."""
        now = self._now()
        nodes = set(self._liveness.to_probe(now))
        if now >= self._next_request_at:
            self._next_request_at = now + REQUEST_INTERVAL_S
            nodes |= self._directory.silent_agents(now)
        request = ReportRequest(self._entry.node, self._entry.address)
        for node in nodes:
            member = self._directory.find(node)
            if member is not None:
                self._messages.send(member.address, request)

    def _on_report(self, report, addr):
        now = self._now()
        known = self._directory.find(report.node)
        if report.wants_ack:
            target = known.target if known else ""
            draining = known.draining if known else False
            routes = self._route_updater.routes
            ack = AgentReportAck(
                self._entry.node,
                report.incarnation,
                target,
                draining,
                report_interval_s(len(self._directory)),
                store_era=self._eras.era,
                evacuation=self._evacuations.confirmed_state(),
                warm_up_per_s=routes.warm_up_rate(report.service) if routes else -1.0,
                usual_answers=self._directory.usual_answers(report.service, now),
            )
            self._messages.send(report.address, ack)
        self._liveness.heard(report.node)
        change = self._directory.apply_report(report, now)
        if change is not None:
            event(
                log,
                "agent",
                agent=report.node,
                service=report.service,
                target=report.target,
                change=change,
                draining=report.draining,
                sequence=report.sequence,
            )

    def _now(self):
        return asyncio.get_running_loop().time()
