"""The state of the target beside an agent, from heartbeats in any order."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.target.report import FIRST_SEQUENCE, TargetReport

# Ended targets that are remembered, so that their late heartbeats are ignored.
MAX_ENDED_TARGETS = 64
# Heartbeats that the present start must have missed before a start that seems earlier
# replaces it: the host's clock was set back in between.
MISSED_BEFORE_EARLIER_START = 2
# Heartbeats that the present target must have missed before another one that cannot be
# ordered by its start replaces it; with the time that a heartbeat may take.
MISSED_BEFORE_REPLACEMENT = 1.25


class Applied(msgspec.Struct, frozen=True):
    """The heartbeat has updated the state of the present target.

    Attributes
    ----------
    change : str
        ``started``, ``drains`` (it is about to stop), ``ready`` (it no longer is) or
        ``same``.
    """

    change: str


class Ignored(msgspec.Struct, frozen=True):
    """The heartbeat is outdated or of another target, as ``reason`` says."""

    reason: str


class TargetState:
    """Tracks the target at one address through restarts and replacements.

    Heartbeats may arrive late or in any order. A heartbeat from an ended target, or
    from an earlier run of the present one, must not replace newer state. Runs are
    ordered by the start that heartbeats report. If the host's clock was set back, a new
    run reports an earlier start. It is told from late heartbeats by two heartbeats in
    sequence, half an interval or more apart, while the present run is silent. The same
    holds for a target that is restored as draining and says that it is ready.

    Targets tell their start in each heartbeat or in none. A heartbeat without it is
    therefore not of a target that has told it. Without it, a heartbeat of another
    target may be a late one of an earlier target, or of another writer. It replaces
    the present target only if that is silent, or if it is the first one of a target
    that has just started. While a target that is about to stop is heard, no other one
    reopens the agent, because the next one at its address starts after its end.

    Parameters
    ----------
    service : str
        The service that the target beside this agent belongs to.
    heartbeat_s : float
        Expected time between two heartbeats, in seconds.
    address : Address, optional
        Where the target beside this agent receives packets.

    Attributes
    ----------
    restored_confirmed : bool
        Whether everything that may know the target's last state has been asked, so
        that a restored state is the last one.
    """

    def __init__(self, service, heartbeat_s, address=None):
        self._service = service
        self._address = address
        self._heartbeat_s = heartbeat_s
        self._ended_targets = OrderedDict()  # identifier: start time or None
        self._restored = None  # (identifier, draining), until the first heartbeat
        self._last_heard_at = None
        self._earlier_start = None  # last ignored heartbeat of it, and its time
        self.restored_confirmed = True
        self.last_report = None
        self.last_heartbeat_at = None

    @property
    def target(self):
        """Identifier of the present target; empty while unknown."""
        if self.last_report is not None:
            return self.last_report.target
        return self._restored[0] if self._restored else ""

    @property
    def draining(self):
        """Whether the present target is about to stop."""
        if self.last_report is not None:
            return self.last_report.draining
        return bool(self._restored and self._restored[1])

    @property
    def slots(self):
        """Number of requests that the target runs concurrently."""
        return self.last_report.slots if self.last_report is not None else 1

    def restore(self, target, draining):
        """Restore what a balancer or the store knew before this agent started.

        A source that says that a target drains prevails, even if another one names
        another target: it is not known which of them is newer, and a target that runs
        is heard soon.

        Returns
        -------
        bool
            Whether the state has changed.
        """
        if self.last_report is not None or not target:
            return False
        if target in self._ended_targets:
            return False
        if self._restored is not None and self._restored[1] >= draining:
            return False
        self._restored = (target, draining)
        return True

    def is_open(self):
        """Whether a target is known and has certainly not said that it drains."""
        return self.target != "" and not self.draining and self.is_certain()

    def is_certain(self):
        """Whether the state is the target's last one, not an older one."""
        return self.last_report is not None or self.restored_confirmed

    def is_draining(self, target):
        """Whether this target is the present one and is about to stop."""
        return self.target == target and self.draining

    def apply_heartbeat(self, report, now):
        """Apply a heartbeat; return `Applied` or `Ignored`.

        Parameters
        ----------
        report : TargetReport
            The heartbeat.
        now : float
            Seconds on a monotonic clock.
        """
        if report.service != self._service:
            return Ignored("other-service")
        if self._is_at_other_address(report):
            return Ignored("other-address")
        current = self.last_report
        if self._lacks_start(report, current):
            return Ignored("no-start")
        if current is not None and self._is_same_run(report, current):
            return self._update_run(current, report, now)
        if self._is_from_ended(report):
            reason = "ended-before"
        elif current is not None and self._is_older(report, current):
            reason = "started-before"
        elif self._contradicts_restored(report):
            reason = "drained-before"
        elif current is not None and self._is_unordered(report, current, now):
            reason = "not-confirmed"
        else:
            return self._begin_run(report, now)
        if not self._is_running(report, now):
            return Ignored(reason)
        if current is not None:
            self._remember_ended(current.target, current.started_at)
        return self._begin_run(report, now)

    def mark_ended(self, target):
        """Record that a target has ended; return whether it was the present one."""
        if self.target != target:
            self._remember_ended(target, None)
            return False
        self._remember_ended(
            target, self.last_report.started_at if self.last_report else None
        )
        self.last_report, self._restored, self.last_heartbeat_at = None, None, None
        return True

    def has_missed_heartbeats(self, now, count):
        """Whether no heartbeat came within ``count`` heartbeat intervals."""
        if self.last_heartbeat_at is None:
            return True
        return now - self.last_heartbeat_at > count * self._heartbeat_s

    def _update_run(self, current, report, now):
        if report.sequence <= current.sequence:
            return Ignored("late")
        self._record_heard(report, now)
        if report.draining != current.draining:
            return Applied("drains" if report.draining else "ready")
        return Applied("same")

    def _begin_run(self, report, now):
        if self.last_report is not None and self.last_report.target != report.target:
            self._remember_ended(self.last_report.target, self.last_report.started_at)
        self._restored = None
        self._record_heard(report, now)
        return Applied("started")

    def _record_heard(self, report, now):
        self.last_report = report
        self.last_heartbeat_at = self._last_heard_at = now

    def _contradicts_restored(self, report):
        """Whether a heartbeat may have been sent before its target drained.

        The first heartbeat of a start cannot be told from a late one. A target that
        has drained for long is not expected to be late by its whole life.
        """
        if report.draining or report.sequence <= 1:
            return False
        return self._restored == (report.target, True)

    def _is_running(self, report, now):
        """Whether a run that seems outdated is the present one, from its heartbeats."""
        previous, self._earlier_start = self._earlier_start, (report, now)
        if previous is None or not self._is_same_run(report, previous[0]):
            return False
        if now - previous[1] < self._heartbeat_s / 2:
            self._earlier_start = previous
            return False
        if report.sequence <= previous[0].sequence:
            return False
        if self._last_heard_at is None:
            return True
        silent_s = now - self._last_heard_at
        return silent_s > MISSED_BEFORE_EARLIER_START * self._heartbeat_s

    def _is_from_ended(self, report):
        if report.target not in self._ended_targets:
            return False
        ended = self._ended_targets[report.target]
        if report.started_at is None or ended is None:
            return True
        return report.started_at <= ended

    def _remember_ended(self, target, started_at):
        self._ended_targets[target] = started_at
        if len(self._ended_targets) > MAX_ENDED_TARGETS:
            self._ended_targets.popitem(last=False)

    @staticmethod
    def _is_same_run(report: TargetReport, other: TargetReport):
        if report.target != other.target:
            return False
        if report.started_at is None or other.started_at is None:
            return True
        return report.started_at == other.started_at

    def _is_at_other_address(self, report):
        if report.address is None or self._address is None:
            return False
        return report.address != self._address

    def _is_unordered(self, report, current, now):
        """Whether nothing shows which of two targets has started later.

        The first heartbeat of a target shows that it has just started. The present
        target has ended if it is silent.
        """
        if report.started_at is not None and current.started_at is not None:
            return False
        reopens = current.draining and not report.draining
        if report.sequence <= FIRST_SEQUENCE and not reopens:
            return False
        return not self.has_missed_heartbeats(now, MISSED_BEFORE_REPLACEMENT)

    @staticmethod
    def _lacks_start(report, current):
        """Whether a heartbeat lacks the start that the present target tells."""
        if current is None or current.started_at is None:
            return False
        return report.started_at is None

    @staticmethod
    def _is_older(report: TargetReport, other: TargetReport):
        """Whether a report of another run is of one that did not start later."""
        if report.started_at is None or other.started_at is None:
            return False
        return report.started_at <= other.started_at
