"""Identifiers of view members, claims, slots and ballots."""

import msgspec


class ClaimMember(msgspec.Struct, frozen=True, order=True):
    """One incarnation of an agent, as a member of a claim view.

    Attributes
    ----------
    node : str
        Name of the agent.
    incarnation : int
        Distinguishes the runs of the agent.
    """

    node: str
    incarnation: int


class ClaimId(msgspec.Struct, frozen=True, order=True):
    """Identifies one attempt to execute a request with an idempotency key.

    Attributes
    ----------
    node, incarnation : str, int
        The agent that makes the attempt, and its incarnation.
    sequence : int
        Number of the attempt within that incarnation.
    """

    node: str
    incarnation: int
    sequence: int


class Slot(msgspec.Struct, frozen=True, order=True):
    """One write-once register of an idempotency key.

    The next slot of a key is used only after the claim chosen in the previous one
    was released, which means that its request never reaches the target.
    """

    key: str
    number: int


class Ballot(msgspec.Struct, frozen=True, order=True):
    """A Paxos proposal number, ordered by round; the claim makes it unique."""

    round: int
    claim: ClaimId
