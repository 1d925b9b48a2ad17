"""A process's view of the members of a service."""

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
        Increases with each change that this process sees.
    members : tuple of Member
        All agents that may own flows, the draining ones included.
    closed : frozenset of str
        Nodes that must not be given new flows: draining, or excluded by a rule.
    generations : dict of str to int
        Generation of each cell record that the view is built from, by cell.
    """

    service: str
    version: int = 0
    members: tuple[Member, ...] = ()
    closed: frozenset = frozenset()
    generations: dict = {}

    @cached_property
    def by_node(self):
        """The members by node name."""
        return {m.node: m for m in self.members}

    @cached_property
    def open_members(self):
        """The members that may be given new flows."""
        return tuple(m for m in self.members if self.is_open(m))

    @cached_property
    def excluded_members(self):
        """The members that are given no new flows because their targets fail."""
        if not self._excludes_failing:
            return ()
        return tuple(m for m in self.members if m.failing and self._is_eligible(m))

    @cached_property
    def _excludes_failing(self):
        eligible = [m for m in self.members if self._is_eligible(m)]
        failing = sum(m.failing for m in eligible)
        # When many targets fail at once, the cause is rarely the targets themselves,
        # and excluding all of them would not help.
        return failing <= MAX_EJECTED_SHARE * len(eligible)

    def is_open(self, member):
        """Return whether ``member`` may be given new flows."""
        if not self._is_eligible(member):
            return False
        return not (member.failing and self._excludes_failing)

    def _is_eligible(self, member):
        return not member.draining and member.node not in self.closed
