"""All claims of one agent, from proposal to outcome."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from ryesaddle.internal.claims.identity import ClaimId, ClaimMember
from ryesaddle.internal.claims.proposal import Granted, HeldBy, Proposal

MAX_FINISHED = 20_000


class ClaimStatus(StrEnum):
    """What became of a claim, as its own executor knows it."""

    CLAIMING = "claiming"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    RELEASED = "released"
    LOST = "lost"
    FORGOTTEN = "forgotten"


@dataclass(slots=True)
class _Record:
    proposal: Proposal
    status: ClaimStatus = ClaimStatus.CLAIMING
    answer: object = None


class Claimant:
    """Proposes claims and allows each granted one to be dispatched once.

    Parameters
    ----------
    me : ClaimMember
        This run of this agent.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, me, rng):
        self.me = me
        self._rng = rng
        self._sequence = 0
        self._open = {}
        self._ended = OrderedDict()
        self._view = None

    def propose(self, key, now):
        """Begin to claim ``key``.

        Returns
        -------
        tuple of (ClaimId, list of Send)
            The claim is None if there is no view to propose in.
        """
        if self._view is None:
            return None, []
        self._sequence += 1
        claim = ClaimId(self.me.node, self.me.incarnation, self._sequence)
        proposal = Proposal(claim, key, self._view, self._rng)
        self._open[claim] = _Record(proposal)
        return claim, proposal.start(now)

    def result(self, claim):
        """Return `Granted`, `HeldBy`, or None while undecided."""
        record = self._open.get(claim)
        return record.proposal.result if record else None

    def handle(self, sender, msg, now):
        """Take an answer of an acceptor; return the `Send` actions that follow."""
        record = self._open.get(msg.ballot.claim)
        if record is None:
            return []
        actions = record.proposal.handle(sender, msg, now)
        self._note_result(record)
        return actions

    def tick(self, now):
        """Return the `Send` actions that are due."""
        actions = []
        for record in list(self._open.values()):
            if record.status is ClaimStatus.CLAIMING:
                actions += record.proposal.tick(now)
        return actions

    def change_view(self, view, now):
        """Move all open proposals to a newer view."""
        if self._view is not None and view.number <= self._view.number:
            return []
        self._view = view
        actions = []
        for record in list(self._open.values()):
            actions += record.proposal.change_view(view, now)
        return actions

    def skip(self, claim, now):
        """Propose for the next slot, the holder of this one having released it."""
        record = self._open[claim]
        record.status = ClaimStatus.CLAIMING
        return record.proposal.next_slot(now)

    def take(self, claim):
        """Return whether the claim may be dispatched now; True at most once."""
        record = self._open.get(claim)
        if record is None or record.status is not ClaimStatus.GRANTED:
            return False
        record.status = ClaimStatus.DISPATCHED
        return True

    def finish(self, claim, answer):
        """Record the answer of a dispatched claim, None if it was lost."""
        record = self._open.get(claim)
        if record is not None and record.status is ClaimStatus.DISPATCHED:
            record.answer = answer
            self._end(claim, ClaimStatus.FINISHED)

    def withdraw(self, claim):
        """Release a dispatched claim that certainly never reached the target."""
        record = self._open.get(claim)
        if record is None or record.status is not ClaimStatus.DISPATCHED:
            return []
        self._end(claim, ClaimStatus.RELEASED)
        return record.proposal.release(chosen=True)

    def give_up(self, claim):
        """Make sure that the claim is never dispatched; return `Send` actions."""
        record = self._open.get(claim)
        if record is None or record.status is ClaimStatus.DISPATCHED:
            return []
        chosen = isinstance(record.proposal.result, Granted)
        lost = isinstance(record.proposal.result, HeldBy)
        self._end(claim, ClaimStatus.LOST if lost else ClaimStatus.RELEASED)
        return record.proposal.release(chosen)

    def status(self, claim):
        """Return the pair of `ClaimStatus` and answer of one of this agent's claims."""
        if ClaimMember(claim.node, claim.incarnation) != self.me:
            return ClaimStatus.FORGOTTEN, None
        record = self._open.get(claim) or self._ended.get(claim)
        if record is None:
            return ClaimStatus.FORGOTTEN, None
        return record.status, record.answer

    def _note_result(self, record):
        if record.status is ClaimStatus.CLAIMING and isinstance(
            record.proposal.result, Granted
        ):
            record.status = ClaimStatus.GRANTED

    def _end(self, claim, status):
        record = self._open.pop(claim)
        record.status = status
        self._ended[claim] = record
        if len(self._ended) > MAX_FINISHED:
            self._ended.popitem(last=False)
