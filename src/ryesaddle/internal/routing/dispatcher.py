"""The balancer's decision: to which agent a caller's datagram goes first."""

import msgspec

from ryesaddle.internal.routing.liveness import Liveness
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.memory import MAX_FLOWS, FlowMemory
from ryesaddle.internal.routing.rendezvous import flow_key, rank


class Dispatch(msgspec.Struct, frozen=True):
    """Send the datagram to ``member``.

    Attributes
    ----------
    member : Member
        The agent.
    reason : str
        For the decision log.
    others : tuple of Member
        Further agents that may take a new flow, best first.
    """

    member: Member
    reason: str
    others: tuple[Member, ...] = ()


class Discard(msgspec.Struct, frozen=True):
    """Drop the datagram; the caller's transport retries."""

    reason: str


class Dispatcher:
    """Chooses the first agent for each datagram of a caller.

    All of its state is a cache: a balancer that starts empty reaches the same
    owners, because agents pass on what is not theirs.

    Parameters
    ----------
    max_flows : int
        How many flows to remember; the least recently used go first.
    """

    def __init__(self, max_flows=MAX_FLOWS):
        self._owners = FlowMemory(max_flows)
        self._liveness = Liveness()

    def __len__(self):
        return len(self._owners)

    def route(self, service, caller, opens, view, now):
        """Return a `Dispatch` or `Discard` for one datagram.

        Parameters
        ----------
        service : str
            Service whose address received the datagram.
        caller : Address
            Source of the datagram.
        opens : bool
            Whether the datagram may open a flow (a QUIC long header, RFC 8999).
        view : ServiceView or None
            The members known now; None if the service is unknown.
        now : float
            Seconds on a monotonic clock.
        """
        if view is None or not view.members:
            return Discard("no-members")
        owner = self._owner(service, caller, view)
        if owner is not None and not (opens and self.is_suspect(owner, now)):
            self._liveness.expect(owner.node, now)
            return Dispatch(owner, "cached")
        return self._ranked(service, caller, opens, view, now)

    def answered(self, service, caller, node, incarnation, now):
        """Remember that ``node`` owns the flow; return whether that is news."""
        self.heard(node)
        return self._owners.put((service, caller), (node, incarnation))

    def heard(self, node):
        """Note that ``node`` is alive."""
        self._liveness.heard(node)

    def to_probe(self, now):
        """Return the nodes that owe an answer for long enough to be probed."""
        return self._liveness.to_probe(now)

    def is_suspect(self, member, now):
        """Whether ``member`` has left datagrams and probes unanswered."""
        return self._liveness.is_suspect(member.node, now)

    def forget(self, nodes):
        """Drop the liveness records of all but ``nodes``."""
        self._liveness.forget(nodes)

    def _owner(self, service, caller, view):
        known = self._owners.get((service, caller))
        if known is None:
            return None
        member = view.by_node.get(known[0])
        if member is None or member.identity != known:
            return None
        return member

    def _ranked(self, service, caller, opens, view, now):
        ranked = rank(flow_key(service, caller), view.members)
        alive = [m for m in ranked if not self.is_suspect(m, now)] or ranked
        chosen = alive[0]
        if opens:
            chosen = next((m for m in alive if view.is_open(m)), chosen)
        self._liveness.expect(chosen.node, now)
        return Dispatch(chosen, "ranked")
