"""Records the progress and outcome of one attempt at a request."""

import logging
import time

import msgspec

from ryesaddle.internal.journal.entry import JournalEntry
from ryesaddle.internal.journal.outcome import Outcome
from ryesaddle.internal.log import event

log = logging.getLogger(__name__)


class AttemptRecord:
    """Updates the journal, the log and the metrics of one attempt together.

    Parameters
    ----------
    agent : Agent
        Provides the node and the journal.
    number : int
        Number of the attempt, unique within this run of the agent.
    req : Request
        The request.
    stream : FlowStream or RelayStream
        Receives the response; names the caller and the flow.
    """

    def __init__(self, agent, number, req, stream):
        self.number = number
        self._agent = agent
        me = agent.node.me
        self._entry = JournalEntry(
            request_id=req.request_id,
            caller=stream.caller,
            flow=stream.flow_name,
            service=me.service,
            target=me.target,
            agent=me.node,
            method=req.method,
            path=req.path.partition("?")[0],
            key=req.key,
            received_at=time.time(),
        )
        self._update_entry()

    @property
    def outcome(self):
        """The `Outcome` so far."""
        return self._entry.outcome

    @property
    def is_dispatched(self):
        """Whether the request was sent to the target or relayed."""
        return self._entry.dispatched_at is not None

    def log_placement(self, reason, to="-"):
        """Log where the request is sent, and why."""
        self._log("place", reason=reason, to=to)

    def mark_dispatched(self):
        """Record that the request is about to be sent to the target or relayed."""
        self._update_entry(dispatched_at=time.time())

    def finish(self, outcome, status, reason):
        """Record the outcome of the attempt."""
        self._update_entry(
            outcome=outcome, status=status, reason=reason, finished_at=time.time()
        )
        self._log("outcome", outcome=outcome, status=status, reason=reason)
        self._agent.node.metrics.count(f"agent.outcome.{outcome}")

    def mark_delivered(self):
        """Record that the caller has acknowledged the complete response."""
        self._update_entry(delivered=True)

    def outcome_if_aborted(self, may_have_run_earlier):
        """Return the outcome to report if the attempt is aborted now.

        Parameters
        ----------
        may_have_run_earlier : bool
            Whether an earlier attempt with the same key may have run. If so, the
            caller must not be told that the request was not run.
        """
        if self.outcome is not Outcome.PENDING:
            return self.outcome
        if self.is_dispatched or may_have_run_earlier:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def _update_entry(self, **changes):
        self._entry = msgspec.structs.replace(self._entry, **changes)
        self._agent.journal.put(self.number, self._entry)

    def _log(self, name, **pairs):
        entry = self._entry
        event(
            log,
            name,
            request=entry.request_id,
            flow=entry.flow,
            service=entry.service,
            target=entry.target,
            **pairs,
        )
