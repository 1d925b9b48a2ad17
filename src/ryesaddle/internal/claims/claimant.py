"""Tracks the claims that one agent makes, from proposal to outcome."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from ryesaddle.internal.claims.identity import ClaimId, ClaimMember
from ryesaddle.internal.claims.proposal import Granted, HeldBy, Proposal

MAX_ENDED_CLAIMS = 20_000


class ClaimStatus(StrEnum):
    """State of a claim at the agent that made it."""

    CLAIMING = "claiming"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    RELEASED = "released"
    LOST = "lost"
    FORGOTTEN = "forgotten"


@dataclass(slots=True)
class _ClaimRecord:
    proposal: Proposal
    status: ClaimStatus = ClaimStatus.CLAIMING
    answer: object = None


class Claimant:
    """Proposes claims and permits one dispatch for each granted claim.

    Parameters
    ----------
    me : ClaimMember
        This agent and its incarnation.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, me, rng):
        self.me = me
        self._rng = rng
        self._sequence = 0
        self._active = {}
        self._ended = OrderedDict()
        self._view = None

    def propose(self, key, now):
        """Start a proposal to claim ``key``.

        Returns
        -------
        tuple of (ClaimId, list of Send)
            The claim is None if no view is installed yet.
        """
        if self._view is None:
            return None, []
        self._sequence += 1
        claim = ClaimId(self.me.node, self.me.incarnation, self._sequence)
        proposal = Proposal(claim, key, self._view, self._rng)
        self._active[claim] = _ClaimRecord(proposal)
        return claim, proposal.start(now)

    def result(self, claim):
        """Return `Granted` or `HeldBy`; None while undecided or if not active."""
        record = self._active.get(claim)
        return record.proposal.result if record else None

    def handle(self, sender, msg, now):
        """Process an acceptor's reply; return the resulting `Send` actions."""
        record = self._active.get(msg.ballot.claim)
        if record is None:
            return []
        actions = record.proposal.handle(sender, msg, now)
        self._update_status(record)
        return actions

    def tick(self, now):
        """Retry proposals that have timed out; return their `Send` actions."""
        actions = []
        for record in list(self._active.values()):
            if record.status is ClaimStatus.CLAIMING:
                actions += record.proposal.tick(now)
        return actions

    def change_view(self, view, now):
        """Restart the undecided proposals in a newer view; return `Send` actions."""
        if self._view is not None and view.number <= self._view.number:
            return []
        self._view = view
        actions = []
        for record in list(self._active.values()):
            actions += record.proposal.change_view(view, now)
        return actions

    def skip(self, claim, now):
        """Propose again in the next slot, after the holder of this one released it."""
        record = self._active[claim]
        record.status = ClaimStatus.CLAIMING
        return record.proposal.next_slot(now)

    def take(self, claim):
        """Mark a granted claim as dispatched; return True on the first call only."""
        record = self._active.get(claim)
        if record is None or record.status is not ClaimStatus.GRANTED:
            return False
        record.status = ClaimStatus.DISPATCHED
        return True

    def finish(self, claim, answer):
        """Record the response to a dispatched claim, or None if it was lost."""
        record = self._active.get(claim)
        if record is not None and record.status is ClaimStatus.DISPATCHED:
            record.answer = answer
            self._end(claim, ClaimStatus.FINISHED)

    def withdraw(self, claim):
        """Release a dispatched claim whose request never reached the target."""
        record = self._active.get(claim)
        if record is None or record.status is not ClaimStatus.DISPATCHED:
            return []
        self._end(claim, ClaimStatus.RELEASED)
        return record.proposal.release(chosen=True)

    def give_up(self, claim):
        """Abandon a claim that has not been dispatched; return `Send` actions.

        It can no longer be dispatched, and its acceptors are told to release it.
        """
        record = self._active.get(claim)
        if record is None or record.status is ClaimStatus.DISPATCHED:
            return []
        chosen = isinstance(record.proposal.result, Granted)
        lost = isinstance(record.proposal.result, HeldBy)
        self._end(claim, ClaimStatus.LOST if lost else ClaimStatus.RELEASED)
        return record.proposal.release(chosen)

    def status(self, claim):
        """Return the `ClaimStatus` and the response, if any, of a claim.

        The status is ``FORGOTTEN`` for claims of another incarnation and for those
        evicted from the history.
        """
        if ClaimMember(claim.node, claim.incarnation) != self.me:
            return ClaimStatus.FORGOTTEN, None
        record = self._active.get(claim) or self._ended.get(claim)
        if record is None:
            return ClaimStatus.FORGOTTEN, None
        return record.status, record.answer

    def _update_status(self, record):
        if record.status is ClaimStatus.CLAIMING and isinstance(
            record.proposal.result, Granted
        ):
            record.status = ClaimStatus.GRANTED

    def _end(self, claim, status):
        record = self._active.pop(claim)
        record.status = status
        self._ended[claim] = record
        if len(self._ended) > MAX_ENDED_CLAIMS:
            self._ended.popitem(last=False)
