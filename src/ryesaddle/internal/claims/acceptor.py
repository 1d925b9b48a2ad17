"""The Paxos acceptor: one agent's replica of the claim registers of its service."""

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

# Lower than every ballot of the current view. Claims carried over from the previous
# view are stored under it.
INHERITED_BALLOT = Ballot(0, ClaimId("", 0, 0))


@dataclass(slots=True)
class _Register:
    promised: Ballot = INHERITED_BALLOT
    accepted: Ballot | None = None
    claim: ClaimId | None = None


@dataclass(slots=True)
class _KeyState:
    used_at: float
    floor: int = 0
    slots: dict = field(default_factory=dict)
    released: set = field(default_factory=set)


class Acceptor:
    """Runs the acceptor role of single-decree Paxos, one instance for each slot.

    A view (the configuration of acceptors) is changed by sealing it and installing
    its state in the next one. References: Lamport, "Paxos Made Simple", 2001;
    Lamport, Malkhi and Zhou, "Reconfiguring a State Machine", 2010.

    Parameters
    ----------
    me : ClaimMember
        This agent and its incarnation. State is not persisted, so a restarted
        agent has lost its promises and must join as a different member.
    key_ttl_s : float
        How long a key is kept after its last use, in seconds.
    """

    def __init__(self, me, key_ttl_s):
        self.me = me
        self.key_ttl_s = key_ttl_s
        self.view = None
        self.sealed = False
        self._keys = {}
        self._refuse_until = None
        self._last_handover = None

    def __len__(self):
        return len(self._keys)

    def is_active(self, now):
        """Return whether this acceptor answers requests of its view at ``now``."""
        if self.view is None or self.sealed:
            return False
        return self._refuse_until is None or now >= self._refuse_until

    def handle(self, msg, now):
        """Process a message from a proposer; return the reply, or None."""
        match msg:
            case Release():
                self._release(msg, now)
                return None
            case Prepare() | Accept() if not self._can_answer(msg, now):
                number = self.view.number if self.view and not self.sealed else 0
                return Reject(number, msg.slot, msg.ballot)
            case Prepare():
                return self._prepare(msg, now)
            case Accept():
                return self._accept(msg, now)
        return None

    def seal(self, number, now):
        """Stop accepting in view ``number`` permanently and return its `Handover`.

        Repeated calls for the last sealed view return the same `Handover`. Returns
        None if this agent has not installed that view, or is still refusing claims
        because those of an earlier view were lost.
        """
        if self._last_handover is not None and self._last_handover[0] == number:
            return self._last_handover[1]
        if self.view is None or self.view.number != number:
            return None
        if not self.is_active(now):
            # Keys of a lost earlier view may still be live: a handover from here
            # would be incomplete.
            return None
        self.sealed = True
        handover = Handover(
            tuple(
                _export_key(key, state, now)
                for key, state in sorted(self._keys.items())
            )
        )
        self._last_handover = (number, handover)
        return handover

    def install(self, view, handover, now):
        """Switch to ``view``, starting with the claims handed over to it.

        Returns
        -------
        bool
            Whether ``view`` is the installed view after the call.
        """
        if self.view is not None and view.number <= self.view.number:
            return view.number == self.view.number
        if self.me not in view.members:
            return False
        self.view = view
        self.sealed = False
        self._refuse_until = now + self.key_ttl_s if view.lost else None
        self._keys = {}
        for held in handover.keys:
            if self.me in view.group(held.key):
                self._keys[held.key] = _import_key(held, now)
        return True

    def expire(self, now):
        """Remove keys that have not been used for ``key_ttl_s``."""
        self._keys = {
            key: state
            for key, state in self._keys.items()
            if now - state.used_at < self.key_ttl_s
        }

    def _can_answer(self, msg, now):
        if not self.is_active(now) or msg.view != self.view.number:
            return False
        return self.me in self.view.group(msg.slot.key)

    def _prepare(self, msg, now):
        state, register = self._register(msg.slot, now)
        if msg.slot.number < state.floor or msg.ballot < register.promised:
            return self._reject(msg, state, register)
        register.promised = msg.ballot
        return Promise(
            msg.view,
            msg.slot,
            msg.ballot,
            register.accepted,
            register.claim,
            tuple(sorted(state.released)),
        )

    def _accept(self, msg, now):
        state, register = self._register(msg.slot, now)
        if msg.slot.number < state.floor or msg.ballot < register.promised:
            return self._reject(msg, state, register)
        register.promised = register.accepted = msg.ballot
        register.claim = msg.claim
        return Accepted(msg.view, msg.slot, msg.ballot, tuple(sorted(state.released)))

    def _reject(self, msg, state, register):
        return Reject(
            msg.view, msg.slot, msg.ballot, register.promised.round, state.floor
        )

    def _release(self, msg, now):
        if not self.is_active(now) or self.me not in self.view.group(msg.slot.key):
            return
        state, _ = self._register(msg.slot, now)
        state.released.add(msg.claim)
        if msg.chosen:
            state.floor = max(state.floor, msg.slot.number + 1)

    def _register(self, slot, now):
        state = self._keys.setdefault(slot.key, _KeyState(now))
        state.used_at = now
        return state, state.slots.setdefault(slot.number, _Register())


def _export_key(key, state, now):
    slots = tuple(
        HeldSlot(number, register.accepted, register.claim)
        for number, register in sorted(state.slots.items())
        if register.accepted is not None
    )
    released = tuple(sorted(state.released))
    return HeldKey(key, state.floor, slots, released, now - state.used_at)


def _import_key(held, now):
    slots = {
        slot.number: _Register(INHERITED_BALLOT, INHERITED_BALLOT, slot.claim)
        for slot in held.slots
    }
    return _KeyState(now - held.age_s, held.floor, slots, set(held.released))
