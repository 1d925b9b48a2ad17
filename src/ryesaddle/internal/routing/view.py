"""What one process knows about the members of one service."""

from dataclasses import dataclass, field

from ryesaddle.internal.routing.member import Member

MAX_EJECTED_SHARE = 0.5


@dataclass(frozen=True)
class ServiceView:
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
    generations: dict = field(default_factory=dict)
    by_node: dict = field(init=False, repr=False, compare=False)
    _heeds_failing: bool = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        object.__setattr__(self, "by_node", {m.node: m for m in self.members})
        staying = [m for m in self.members if self._may_serve(m)]
        failing = sum(m.failing for m in staying)
        # When many targets fail at once, the cause is rarely in the targets, and
        # leaving out all of them would help nobody.
        heeds = failing <= MAX_EJECTED_SHARE * len(staying)
        object.__setattr__(self, "_heeds_failing", heeds)

    def is_open(self, member):
        """Whether ``member`` may be given new flows."""
        if not self._may_serve(member):
            return False
        return not (member.failing and self._heeds_failing)

    def _may_serve(self, member):
        return not member.draining and member.node not in self.closed
