"""Claims on their way from one view to the next."""

import msgspec

from ryesaddle.internal.claims.identity import Ballot, ClaimId


class HeldSlot(msgspec.Struct, frozen=True):
    """What a sealed acceptor had accepted in one slot."""

    number: int
    ballot: Ballot
    claim: ClaimId


class HeldKey(msgspec.Struct, frozen=True):
    """Everything that a sealed acceptor knows of one key.

    Attributes
    ----------
    key : str
        The idempotency key.
    floor : int
        Lowest slot that is still open.
    slots : tuple of HeldSlot
        Accepted claims.
    released : tuple of ClaimId
        Claims that their executors have given up.
    age_s : float
        Seconds since the key was last used.
    """

    key: str
    floor: int
    slots: tuple[HeldSlot, ...]
    released: tuple[ClaimId, ...]
    age_s: float = 0.0


class Handover(msgspec.Struct, frozen=True):
    """The keys of a sealed view."""

    keys: tuple[HeldKey, ...] = ()


def combine(handovers):
    """Return one `Handover` from those of a majority of every group.

    Of the claims accepted in one slot the one with the highest ballot is kept:
    if any was chosen, a majority accepted it, and every later ballot carries it.

    Parameters
    ----------
    handovers : iterable of Handover
        From sealed acceptors of one view.
    """
    merged = {}
    for handover in handovers:
        for held in handover.keys:
            known = merged.get(held.key)
            merged[held.key] = held if known is None else _join(known, held)
    return Handover(tuple(merged[key] for key in sorted(merged)))


def _join(one, other):
    slots = {slot.number: slot for slot in one.slots}
    for slot in other.slots:
        known = slots.get(slot.number)
        if known is None or slot.ballot > known.ballot:
            slots[slot.number] = slot
    return HeldKey(
        one.key,
        max(one.floor, other.floor),
        tuple(slots[number] for number in sorted(slots)),
        tuple(sorted({*one.released, *other.released})),
        min(one.age_s, other.age_s),
    )
