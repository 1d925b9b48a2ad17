"""Names of claims, of register slots and of ballots."""

import msgspec


class ClaimMember(msgspec.Struct, frozen=True, order=True):
    """One run of one agent, as a member of a claim view."""

    node: str
    incarnation: int


class ClaimId(msgspec.Struct, frozen=True, order=True):
    """One attempt to execute a keyed request.

    Attributes
    ----------
    node, incarnation : str, int
        The run of the agent that would execute it.
    sequence : int
        Number of the attempt within that run.
    """

    node: str
    incarnation: int
    sequence: int


class Slot(msgspec.Struct, frozen=True, order=True):
    """One write-once register of an idempotency key.

    A key moves to its next slot only after the claim that the previous one
    holds was released before dispatch.
    """

    key: str
    number: int


class Ballot(msgspec.Struct, frozen=True, order=True):
    """A proposal number, unique for each proposer."""

    round: int
    claim: ClaimId
