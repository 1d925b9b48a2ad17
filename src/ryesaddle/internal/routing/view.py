"""What one process knows about the members of one service."""

from dataclasses import dataclass, field

from ryesaddle.internal.routing.member import Member


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

    def __post_init__(self):
        object.__setattr__(self, "by_node", {m.node: m for m in self.members})

    def is_open(self, member):
        """Whether ``member`` may be given new flows."""
        return not member.draining and member.node not in self.closed
