"""What an agent believes of its target, from heartbeats that may come late."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.target.report import TargetReport

MAX_ENDED = 64  # starts of targets at one address that a late heartbeat may be from


class Taken(msgspec.Struct, frozen=True):
    """The heartbeat is news of the present target.

    Attributes
    ----------
    change : str
        ``started``, ``drains``, ``ready`` or ``same``.
    """

    change: str


class Ignored(msgspec.Struct, frozen=True):
    """The heartbeat says nothing of the present target; ``reason`` tells why."""

    reason: str


class TargetBelief:
    """Tells apart the starts of the targets at one address.

    Parameters
    ----------
    service : str
        The service that the target beside this agent belongs to.
    heartbeat_s : float
        Usual time between two heartbeats, in seconds.
    """

    def __init__(self, service, heartbeat_s):
        self._service = service
        self._heartbeat_s = heartbeat_s
        self._ended = OrderedDict()
        self._restored = None
        self.report = None
        self.heard_at = None

    @property
    def target(self):
        """Identifier of the present target; empty while unknown."""
        if self.report is not None:
            return self.report.target
        return self._restored[0] if self._restored else ""

    @property
    def draining(self):
        """Whether the present target is about to stop."""
        if self.report is not None:
            return self.report.draining
        return bool(self._restored and self._restored[1])

    @property
    def slots(self):
        """Requests that the target runs at a time."""
        return self.report.slots if self.report is not None else 1

    def restore(self, target, draining):
        """Take what others knew of the target before this agent started.

        Returns
        -------
        bool
            Whether it is news.
        """
        if self.report is not None or not target:
            return False
        known = self._restored
        # One who has not heard that it drains must not undo what another has.
        if known is not None and (known[0] != target or known[1] >= draining):
            return False
        self._restored = (target, draining)
        return True

    def is_open(self):
        """Whether the target may be given new flows, as far as it said itself."""
        return self.target != "" and not self.draining

    def hear(self, report, now):
        """Take a heartbeat; return `Taken` or `Ignored`.

        Parameters
        ----------
        report : TargetReport
            The heartbeat.
        now : float
            Seconds on a monotonic clock.
        """
        if report.service != self._service:
            return Ignored("other-service")
        held = self.report
        if held is not None and report.target == held.target:
            return self._hear_again(held, report, now)
        if self._has_ended(report):
            return Ignored("ended-before")
        if held is None:
            return self._start(report, now)
        if self._is_older(report, held):
            return Ignored("started-before")
        return self._start(report, now)

    def leave(self, target):
        """Note that a target has said goodbye; return whether it is the present one."""
        if self.target != target:
            self._end(target, None)
            return False
        self._end(target, self.report.started_at if self.report else None)
        self.report, self._restored, self.heard_at = None, None, None
        return True

    def is_silent(self, now, heartbeats):
        """Whether that many heartbeats in a row are missing."""
        if self.heard_at is None:
            return True
        return now - self.heard_at > heartbeats * self._heartbeat_s

    def _hear_again(self, held, report, now):
        if self._is_older(report, held):
            return Ignored("started-before")
        if self._is_older(held, report):
            return self._start(report, now)
        if report.sequence <= held.sequence:
            return Ignored("late")
        self.report, self.heard_at = report, now
        if report.draining != held.draining:
            return Taken("drains" if report.draining else "ready")
        return Taken("same")

    def _start(self, report, now):
        if self.report is not None and self.report.target != report.target:
            self._end(self.report.target, self.report.started_at)
        self._restored = None
        self.report, self.heard_at = report, now
        return Taken("started")

    def _has_ended(self, report):
        if report.target not in self._ended:
            return False
        ended = self._ended[report.target]
        if report.started_at is None or ended is None:
            return True
        return report.started_at <= ended

    def _end(self, target, started_at):
        self._ended[target] = started_at
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    @staticmethod
    def _is_older(report: TargetReport, other: TargetReport):
        if report.started_at is None or other.started_at is None:
            return False
        return report.started_at < other.started_at
