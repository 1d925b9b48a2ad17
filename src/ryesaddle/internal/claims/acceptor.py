"""One agent's share of the write-once registers of its service."""

from dataclasses import dataclass, field

from ryesaddle.internal.claims.handover import Handover, HeldKey, HeldSlot
from ryesaddle.internal.claims.identity import Ballot, ClaimId
from ryesaddle.internal.claims.message import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    Reject,
    Release,
)

# Claims inherited from an earlier view lose against every ballot of this one.
INHERITED = Ballot(0, ClaimId("", 0, 0))


@dataclass(slots=True)
class _Register:
    promised: Ballot = INHERITED
    accepted: Ballot | None = None
    claim: ClaimId | None = None


@dataclass(slots=True)
class _Key:
    used_at: float
    floor: int = 0
    slots: dict = field(default_factory=dict)
    released: set = field(default_factory=set)


class Acceptor:
    """Promises and accepts claims, as in single-decree Paxos for each slot.

    Reference: Lamport, "Paxos Made Simple", 2001. Views are changed by sealing:
    see Lamport, Malkhi and Zhou, "Reconfiguring a State Machine", 2010.

    Parameters
    ----------
    me : ClaimMember
        This run of this agent. A restarted agent is another member, because it
        has forgotten its promises.
    key_ttl_s : float
        Seconds after its last use that a key is remembered.
    """

    def __init__(self, me, key_ttl_s):
        self.me = me
        self.key_ttl_s = key_ttl_s
        self.view = None
        self.sealed = False
        self._keys = {}
        self._closed_until = None
        self._last_handover = None

    def __len__(self):
        return len(self._keys)

    def is_active(self, now):
        """Whether claims may be accepted at ``now``."""
        if self.view is None or self.sealed:
            return False
        return self._closed_until is None or now >= self._closed_until

    def handle(self, msg, now):
        """Return the answer to a message of a proposer, or None."""
        match msg:
            case Release():
                self._release(msg, now)
                return None
            case Prepare() | Accept() if not self._serves(msg, now):
                number = self.view.number if self.view and not self.sealed else 0
                return Reject(number, msg.slot, msg.ballot)
            case Prepare():
                return self._prepare(msg, now)
            case Accept():
                return self._accept(msg, now)
        return None

    def seal(self, number, now):
        """Stop view ``number`` for good and return its `Handover`.

        Returns None if this agent never held that view.
        """
        if self._last_handover is not None and self._last_handover[0] == number:
            return self._last_handover[1]
        if self.view is None or self.view.number != number:
            return None
        if not self.is_active(now):
            # While claims of an earlier view are lost, this one cannot vouch
            # for them either.
            return None
        self.sealed = True
        handover = Handover(
            tuple(_held(key, state, now) for key, state in sorted(self._keys.items()))
        )
        self._last_handover = (number, handover)
        return handover

    def install(self, view, handover, now):
        """Take part in ``view``, with the claims of the view before.

        Returns
        -------
        bool
            Whether this agent holds the view now.
        """
        if self.view is not None and view.number <= self.view.number:
            return view.number == self.view.number
        if self.me not in view.members:
            return False
        self.view = view
        self.sealed = False
        self._closed_until = now + self.key_ttl_s if view.lost else None
        self._keys = {}
        for held in handover.keys:
            if self.me in view.group(held.key):
                self._keys[held.key] = _inherited(held, now)
        return True

    def expire(self, now):
        """Forget keys that were not used for the time that keys live."""
        self._keys = {
            key: state
            for key, state in self._keys.items()
            if now - state.used_at < self.key_ttl_s
        }

    def _serves(self, msg, now):
        if not self.is_active(now) or msg.view != self.view.number:
            return False
        return self.me in self.view.group(msg.slot.key)

    def _prepare(self, msg, now):
        key, register = self._register(msg.slot, now)
        if msg.slot.number < key.floor or msg.ballot < register.promised:
            return self._outrun(msg, key, register)
        register.promised = msg.ballot
        return Promise(
            msg.view,
            msg.slot,
            msg.ballot,
            register.accepted,
            register.claim,
            tuple(sorted(key.released)),
        )

    def _accept(self, msg, now):
        key, register = self._register(msg.slot, now)
        if msg.slot.number < key.floor or msg.ballot < register.promised:
            return self._outrun(msg, key, register)
        register.promised = register.accepted = msg.ballot
        register.claim = msg.claim
        return Accepted(msg.view, msg.slot, msg.ballot, tuple(sorted(key.released)))

    def _outrun(self, msg, key, register):
        return Reject(
            msg.view, msg.slot, msg.ballot, register.promised.round, key.floor
        )

    def _release(self, msg, now):
        if not self.is_active(now) or self.me not in self.view.group(msg.slot.key):
            return
        key, _ = self._register(msg.slot, now)
        key.released.add(msg.claim)
        if msg.chosen:
            key.floor = max(key.floor, msg.slot.number + 1)

    def _register(self, slot, now):
        key = self._keys.setdefault(slot.key, _Key(now))
        key.used_at = now
        return key, key.slots.setdefault(slot.number, _Register())


def _held(name, key, now):
    slots = tuple(
        HeldSlot(number, register.accepted, register.claim)
        for number, register in sorted(key.slots.items())
        if register.accepted is not None
    )
    released = tuple(sorted(key.released))
    return HeldKey(name, key.floor, slots, released, now - key.used_at)


def _inherited(held, now):
    slots = {
        slot.number: _Register(INHERITED, INHERITED, slot.claim) for slot in held.slots
    }
    return _Key(now - held.age_s, held.floor, slots, set(held.released))
