"""Paxos messages between the proposers and acceptors of claims."""

import msgspec

from ryesaddle.internal.claims.identity import Ballot, ClaimId, Slot


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """Phase 1 request: asks for a promise to reject lower ballots."""

    view: int
    slot: Slot
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag=True):
    """Phase 1 reply, with the ballot and claim accepted before, if any."""

    view: int
    slot: Slot
    ballot: Ballot
    accepted: Ballot | None = None
    claim: ClaimId | None = None
    released: tuple[ClaimId, ...] = ()


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Phase 2 request: asks the acceptor to accept a claim."""

    view: int
    slot: Slot
    ballot: Ballot
    claim: ClaimId


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Phase 2 reply: the claim was accepted."""

    view: int
    slot: Slot
    ballot: Ballot
    released: tuple[ClaimId, ...] = ()


class Reject(msgspec.Struct, frozen=True, tag=True):
    """Negative reply to a `Prepare` or an `Accept`.

    Attributes
    ----------
    view : int
        Current view of the acceptor; 0 if it has none or has sealed it.
    slot, ballot : Slot, Ballot
        Copied from the request.
    round : int
        Round of the highest ballot promised in the slot.
    floor : int
        Number of the lowest slot of the key that is still open.
    """

    view: int
    slot: Slot
    ballot: Ballot
    round: int = 0
    floor: int = 0


class Release(msgspec.Struct, frozen=True, tag=True):
    """The agent that made a claim has released it; the attempt is never executed.

    Attributes
    ----------
    chosen : bool
        Whether the claim is known to be chosen in the slot; its acceptors then
        close the slot and open the next one.
    """

    slot: Slot
    claim: ClaimId
    chosen: bool


ClaimMessage = Prepare | Promise | Accept | Accepted | Reject | Release
