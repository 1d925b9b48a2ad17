"""The state of the target beside an agent, from heartbeats in any order."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.target.report import TargetReport

# Ended targets that are remembered, so that their late heartbeats are ignored.
MAX_ENDED_TARGETS = 64


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
    """The heartbeat is outdated or from another service, as ``reason`` says."""

    reason: str


class TargetState:
    """Tracks the target at one address through restarts and replacements.

    Heartbeats may arrive late or in any order. A heartbeat from an ended target, or
    from an earlier run of the present one, must not replace newer state.

    Parameters
    ----------
    service : str
        The service that the target beside this agent belongs to.
    heartbeat_s : float
        Expected time between two heartbeats, in seconds.
    """

    def __init__(self, service, heartbeat_s):
        self._service = service
        self._heartbeat_s = heartbeat_s
        self._ended_targets = OrderedDict()  # identifier: start time or None
        self._restored = None  # (identifier, draining), until the first heartbeat
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

        Returns
        -------
        bool
            Whether the state has changed.
        """
        if self.last_report is not None or not target:
            return False
        known = self._restored
        # A source that has not yet learned that the target drains must not undo what
        # another source reported.
        if known is not None and (known[0] != target or known[1] >= draining):
            return False
        self._restored = (target, draining)
        return True

    def is_open(self):
        """Whether a target is known and has not said that it is about to stop."""
        return self.target != "" and not self.draining

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
        current = self.last_report
        if current is not None and report.target == current.target:
            return self._update_run(current, report, now)
        if self._is_from_ended(report):
            return Ignored("ended-before")
        if current is None:
            return self._begin_run(report, now)
        if self._is_older(report, current):
            return Ignored("started-before")
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
        if self._is_older(report, current):
            return Ignored("started-before")
        if self._is_older(current, report):
            return self._begin_run(report, now)
        if report.sequence <= current.sequence:
            return Ignored("late")
        self.last_report, self.last_heartbeat_at = report, now
        if report.draining != current.draining:
            return Applied("drains" if report.draining else "ready")
        return Applied("same")

    def _begin_run(self, report, now):
        if self.last_report is not None and self.last_report.target != report.target:
            self._remember_ended(self.last_report.target, self.last_report.started_at)
        self._restored = None
        self.last_report, self.last_heartbeat_at = report, now
        return Applied("started")

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
    def _is_older(report: TargetReport, other: TargetReport):
        if report.started_at is None or other.started_at is None:
            return False
        return report.started_at < other.started_at
