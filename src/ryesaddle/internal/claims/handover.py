"""Acceptor state that is transferred from a sealed view to its successor."""

import msgspec

from ryesaddle.internal.claims.identity import Ballot, ClaimId


class HeldSlot(msgspec.Struct, frozen=True):
    """The claim that a sealed acceptor accepted last in one slot."""

    number: int
    ballot: Ballot
    claim: ClaimId


class HeldKey(msgspec.Struct, frozen=True):
    """The state of one key at a sealed acceptor.

    Attributes
    ----------
    key : str
        The idempotency key.
    floor : int
        Number of the lowest slot that is still open; lower ones are closed.
    slots : tuple of HeldSlot
        Accepted claims.
    released : tuple of ClaimId
        Claims that were released by the agents that made them.
    age_s : float
        Seconds since the key was last used.
    """

    key: str
    floor: int
    slots: tuple[HeldSlot, ...]
    released: tuple[ClaimId, ...]
    age_s: float = 0.0


class Handover(msgspec.Struct, frozen=True):
    """The state of all keys at one or more sealed acceptors of a view."""

    keys: tuple[HeldKey, ...] = ()


def combine(handovers):
    """Merge the handovers of a majority of every group into one `Handover`.

    For each slot the claim with the highest ballot is kept. If a claim was chosen,
    a majority accepted it and every higher ballot proposes it again, so the result
    contains it.

    Parameters
    ----------
    handovers : iterable of Handover
        From sealed acceptors of one view.
    """
    merged = {}
    for handover in handovers:
        for held in handover.keys:
            known = merged.get(held.key)
            merged[held.key] = held if known is None else _merge_keys(known, held)
    return Handover(tuple(merged[key] for key in sorted(merged)))


def _merge_keys(one, other):
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
