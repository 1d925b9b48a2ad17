"""One attempt's proposal to hold the slot of its key."""

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

RETRY_S = 0.05
RETRY_LIMIT_S = 0.4


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an acceptor."""

    to: ClaimMember
    msg: object


@dataclass(frozen=True, slots=True)
class Granted:
    """The attempt holds its key and may dispatch once."""

    slot: Slot


@dataclass(frozen=True, slots=True)
class HeldBy:
    """Another attempt holds the key."""

    slot: Slot
    claim: ClaimId


class Proposal:
    """Runs the proposer's side of Paxos until the slot is decided.

    Parameters
    ----------
    claim : ClaimId
        The attempt.
    key : str
        Its idempotency key.
    view : ClaimView
        View to propose in; replaced by `change_view`.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, claim, key, view, rng):
        self.claim = claim
        self.result = None
        self._key = key
        self._view = view
        self._rng = rng
        self._number = 0
        self._round = 0
        self._attempt = 0
        self._retry_at = 0.0
        self._ballot = None
        self._accepting = None
        self._promises = {}
        self._accepts = set()
        self._released = set()

    @property
    def slot(self):
        """The slot that is proposed for."""
        return Slot(self._key, self._number)

    def start(self, now):
        """Begin a new ballot; return the `Send` actions."""
        self._round += 1
        self._attempt += 1
        self._ballot = Ballot(self._round, self.claim)
        self._accepting = None
        self._promises = {}
        self._accepts = set()
        ceiling = min(RETRY_LIMIT_S, RETRY_S * 2 ** min(self._attempt, 8))
        self._retry_at = now + RETRY_S + self._rng.uniform(0, ceiling)
        return self._broadcast(Prepare(self._view.number, self.slot, self._ballot))

    def tick(self, now):
        """Begin a new ballot if the current one has taken too long."""
        if self.result is None and now >= self._retry_at:
            return self.start(now)
        return []

    def change_view(self, view, now):
        """Propose again in a newer view."""
        if view.number <= self._view.number:
            return []
        self._view = view
        self._round = 0
        return self.start(now) if self.result is None else []

    def handle(self, sender, msg, now):
        """Take an acceptor's answer; return the `Send` actions that follow.

        Parameters
        ----------
        sender : ClaimMember
            The acceptor.
        msg : Promise, Accepted or Reject
            Its answer.
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
        """Return the `Send` actions that tell the group of the given-up claim."""
        return self._broadcast(Release(self.slot, self.claim, chosen))

    def next_slot(self, now):
        """Propose for the slot after one whose claim was released."""
        self.result = None
        self._number += 1
        self._round = 0
        self._attempt = 0
        return self.start(now)

    def _broadcast(self, msg):
        return [Send(member, msg) for member in self._view.group(self._key)]

    def _on_promise(self, sender, msg):
        if self._accepting is not None or msg.view != self._view.number:
            return []
        self._released.update(msg.released)
        self._promises[sender] = msg
        if len(self._promises) < self._view.majority:
            return []
        known = [p for p in self._promises.values() if p.accepted is not None]
        # A claim that may have been chosen must be proposed again, not ours.
        newest = max(known, key=lambda p: p.accepted, default=None)
        self._accepting = newest.claim if newest is not None else self.claim
        return self._broadcast(
            Accept(self._view.number, self.slot, self._ballot, self._accepting)
        )

    def _on_accepted(self, sender, msg, now):
        if self._accepting is None or msg.view != self._view.number:
            return []
        self._released.update(msg.released)
        self._accepts.add(sender)
        if len(self._accepts) < self._view.majority:
            return []
        if self._accepting == self.claim:
            self.result = Granted(self.slot)
        elif self._accepting in self._released:
            return self.next_slot(now)
        else:
            self.result = HeldBy(self.slot, self._accepting)
        return []

    def _on_reject(self, msg, now):
        if msg.floor > self._number:
            self._number = msg.floor - 1
            return self.next_slot(now)
        self._round = max(self._round, msg.round)
        return []
