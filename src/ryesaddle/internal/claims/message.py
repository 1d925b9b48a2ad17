"""Messages between proposers and acceptors of claims."""

import msgspec

from ryesaddle.internal.claims.identity import Ballot, ClaimId, Slot


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """Phase 1 request: promise to ignore lower ballots."""

    view: int
    slot: Slot
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag=True):
    """Phase 1 answer, with what was accepted before."""

    view: int
    slot: Slot
    ballot: Ballot
    accepted: Ballot | None = None
    claim: ClaimId | None = None
    released: tuple[ClaimId, ...] = ()


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Phase 2 request: accept this claim."""

    view: int
    slot: Slot
    ballot: Ballot
    claim: ClaimId


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Phase 2 answer."""

    view: int
    slot: Slot
    ballot: Ballot
    released: tuple[ClaimId, ...] = ()


class Reject(msgspec.Struct, frozen=True, tag=True):
    """The acceptor cannot take part.

    Attributes
    ----------
    view : int
        View of the acceptor, 0 for none or a sealed one.
    slot, ballot : Slot, Ballot
        From the request.
    round : int
        Highest round promised.
    floor : int
        Lowest slot of the key that is still open.
    """

    view: int
    slot: Slot
    ballot: Ballot
    round: int = 0
    floor: int = 0


class Release(msgspec.Struct, frozen=True, tag=True):
    """The executor has given up a claim and will never dispatch it.

    Attributes
    ----------
    chosen : bool
        Whether the claim is known to hold the slot, so that the next slot opens.
    """

    slot: Slot
    claim: ClaimId
    chosen: bool


ClaimMessage = Prepare | Promise | Accept | Accepted | Reject | Release
