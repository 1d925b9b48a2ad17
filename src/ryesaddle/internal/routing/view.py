"""What one process knows about the members of one service."""

from functools import cached_property

import msgspec

from ryesaddle.internal.routing.member import Member

MAX_EJECTED_SHARE = 0.5


class ServiceView(msgspec.Struct, frozen=True, dict=True):
    """The agents of one service at one version of the shared state.

    Attributes
    ----------
    service : str
        Name of the service.
    version : int
        Grows with each change that this process has seen.
    members : tuple of Member
        All agents that may own flows, the draining ones included.
    closed : frozenset of str
        Nodes that must not be given new flows: draining, or excluded by a rule.
    generations : dict of str to int
        Generation of each cell record that the view was made from.
    """

    service: str
    version: int = 0
    members: tuple[Member, ...] = ()
    closed: frozenset = frozenset()
    generations: dict = {}

    @cached_property
    def by_node(self):
        """The members by name."""
        return {m.node: m for m in self.members}

    @cached_property
    def open_members(self):
        """The members that may be given new flows."""
        return tuple(m for m in self.members if self.is_open(m))

    @cached_property
    def _heeds_failing(self):
        staying = [m for m in self.members if self._may_serve(m)]
        failing = sum(m.failing for m in staying)
        # When many targets fail at once, the cause is rarely in the targets, and
        # leaving out all of them would help nobody.
        return failing <= MAX_EJECTED_SHARE * len(staying)

    def is_open(self, member):
        """Whether ``member`` may be given new flows."""
        if not self._may_serve(member):
            return False
        return not (member.failing and self._heeds_failing)

    def _may_serve(self, member):
        return not member.draining and member.node not in self.closed
