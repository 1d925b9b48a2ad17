"""The Paxos proposer: one attempt to claim an idempotency key."""

from dataclasses import dataclass

from ryesaddle.internal.claims.identity import Ballot, ClaimId, ClaimMember, Slot
from ryesaddle.internal.claims.message import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    Reject,
    Release,
)

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_JITTER_S = 0.4


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send ``msg`` to an acceptor."""

    to: ClaimMember
    msg: object


@dataclass(frozen=True, slots=True)
class Granted:
    """Result: this attempt holds the key and may be dispatched once."""

    slot: Slot


@dataclass(frozen=True, slots=True)
class HeldBy:
    """Result: another attempt holds the key."""

    slot: Slot
    claim: ClaimId


class Proposal:
    """Runs the proposer role of Paxos until a slot of the key is decided.

    Parameters
    ----------
    claim : ClaimId
        The attempt.
    key : str
        Its idempotency key.
    view : ClaimView
        Initial view; later ones are set with `change_view`.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, claim, key, view, rng):
        self.claim = claim
        self.result = None
        self._key = key
        self._view = view
        self._rng = rng
        self._slot_number = 0
        self._round = 0
        self._attempt = 0
        self._retry_at = 0.0
        self._ballot = None
        self._proposed_claim = None
        self._promises = {}
        self._accepted_by = set()
        self._released = set()

    @property
    def slot(self):
        """The slot that the claim is currently proposed for."""
        return Slot(self._key, self._slot_number)

    def start(self, now):
        """Start phase 1 of a new ballot; return the `Send` actions."""
        self._round += 1
        self._attempt += 1
        self._ballot = Ballot(self._round, self.claim)
        self._proposed_claim = None
        self._promises = {}
        self._accepted_by = set()
        ceiling = min(
            MAX_RETRY_JITTER_S, MIN_RETRY_DELAY_S * 2 ** min(self._attempt, 8)
        )
        self._retry_at = now + MIN_RETRY_DELAY_S + self._rng.uniform(0, ceiling)
        return self._broadcast(Prepare(self._view.number, self.slot, self._ballot))

    def tick(self, now):
        """Start a new ballot if the current one has timed out."""
        if self.result is None and now >= self._retry_at:
            return self.start(now)
        return []

    def change_view(self, view, now):
        """Switch to a newer view and restart the proposal if it is undecided."""
        if view.number <= self._view.number:
            return []
        self._view = view
        self._round = 0
        return self.start(now) if self.result is None else []

    def handle(self, sender, msg, now):
        """Process an acceptor's reply; return the resulting `Send` actions.

        Parameters
        ----------
        sender : ClaimMember
            The acceptor.
        msg : Promise, Accepted or Reject
            The reply.
        now : float
            Seconds on a monotonic clock.
        """
        if self.result is not None or msg.ballot != self._ballot:
            return []
        if msg.slot != self.slot or sender not in self._view.group(self._key):
            return []
        match msg:
            case Promise():
                return self._on_promise(sender, msg)
            case Accepted():
                return self._on_accepted(sender, msg, now)
            case Reject():
                return self._on_reject(msg, now)
        return []

    def release(self, chosen):
        """Return the `Send` actions that tell the group that the claim is released."""
        return self._broadcast(Release(self.slot, self.claim, chosen))

    def next_slot(self, now):
        """Propose in the next slot, after the claim in this one was released."""
        self.result = None
        self._slot_number += 1
        self._round = 0
        self._attempt = 0
        return self.start(now)

    def _broadcast(self, msg):
        return [Send(member, msg) for member in self._view.group(self._key)]

    def _on_promise(self, sender, msg):
        if self._proposed_claim is not None or msg.view != self._view.number:
            return []
        self._released.update(msg.released)
        self._promises[sender] = msg
        if len(self._promises) < self._view.majority:
            return []
        accepted = [p for p in self._promises.values() if p.accepted is not None]
        # An accepted claim may already be chosen, so propose it instead of our own.
        highest = max(accepted, key=lambda p: p.accepted, default=None)
        self._proposed_claim = highest.claim if highest is not None else self.claim
        return self._broadcast(
            Accept(self._view.number, self.slot, self._ballot, self._proposed_claim)
        )

    def _on_accepted(self, sender, msg, now):
        if self._proposed_claim is None or msg.view != self._view.number:
            return []
        self._released.update(msg.released)
        self._accepted_by.add(sender)
        if len(self._accepted_by) < self._view.majority:
            return []
        if self._proposed_claim == self.claim:
            self.result = Granted(self.slot)
        elif self._proposed_claim in self._released:
            return self.next_slot(now)
        else:
            self.result = HeldBy(self.slot, self._proposed_claim)
        return []

    def _on_reject(self, msg, now):
        if msg.floor > self._slot_number:
            self._slot_number = msg.floor - 1
            return self.next_slot(now)
        self._round = max(self._round, msg.round)
        return []
