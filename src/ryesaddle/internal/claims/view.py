"""Claim views: the numbered configurations of acceptors of a service."""

import msgspec

from ryesaddle.internal.claims.identity import ClaimMember
from ryesaddle.internal.routing.rendezvous import rank

GROUP_SIZE = 3


class ClaimView(msgspec.Struct, frozen=True):
    """A set of acceptors; each key is replicated on a group of three of them.

    Attributes
    ----------
    number : int
        Incremented with each change of the view.
    members : tuple of ClaimMember
        Agents that act as acceptors.
    previous : tuple of ClaimMember
        Members of the previous view, which handed over their claims.
    lost : bool
        Whether the claims of the previous view could not be recovered. All claims
        are then refused until the keys of that view have expired.
    """

    number: int
    members: tuple[ClaimMember, ...]
    previous: tuple[ClaimMember, ...] = ()
    lost: bool = False

    def group(self, key):
        """Return the members that replicate ``key``."""
        return tuple(rank(key.encode(), self.members)[:GROUP_SIZE])

    @property
    def majority(self):
        """Number of members of a group that form a majority."""
        return min(GROUP_SIZE, len(self.members)) // 2 + 1

    def is_covered_by(self, answered):
        """Return whether ``answered`` has a majority of every possible group."""
        size = min(GROUP_SIZE, len(self.members))
        missing = len(set(self.members) - set(answered))
        return missing <= size - self.majority
