"""The agents that hold the claims of a service, at one time."""

import msgspec

from ryesaddle.internal.claims.identity import ClaimMember
from ryesaddle.internal.routing.rendezvous import rank

GROUP_SIZE = 3


class ClaimView(msgspec.Struct, frozen=True):
    """A numbered set of agents; each key belongs to a group of three of them.

    Attributes
    ----------
    number : int
        Grows by one with each change.
    members : tuple of ClaimMember
        Agents that hold claims.
    previous : tuple of ClaimMember
        Members of the view before, whose claims were handed over.
    lost : bool
        Whether the claims of the view before could not be recovered, so that
        claims must be refused until all of its keys have expired.
    """

    number: int
    members: tuple[ClaimMember, ...]
    previous: tuple[ClaimMember, ...] = ()
    lost: bool = False

    def group(self, key):
        """Return the members that hold ``key``."""
        return tuple(rank(key.encode(), self.members)[:GROUP_SIZE])

    @property
    def majority(self):
        """How many members of a group decide."""
        return min(GROUP_SIZE, len(self.members)) // 2 + 1

    def is_covered_by(self, answered):
        """Whether ``answered`` holds a majority of every possible group."""
        size = min(GROUP_SIZE, len(self.members))
        missing = len(set(self.members) - set(answered))
        return missing <= size - self.majority
