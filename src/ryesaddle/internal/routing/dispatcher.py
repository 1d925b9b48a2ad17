"""Balancer-side routing: choose the first agent for a caller's datagram."""

import msgspec

from ryesaddle.internal.routing.flow_cache import MAX_FLOWS, FlowCache
from ryesaddle.internal.routing.liveness import Liveness
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.rendezvous import flow_key, rank


class Dispatch(msgspec.Struct, frozen=True):
    """Send the datagram to ``member``.

    Attributes
    ----------
    member : Member
        The agent to send it to.
    reason : str
        Why this agent was chosen; written to the decision log.
    others : tuple of Member
        Further agents that may accept a new flow, best first.
    """

    member: Member
    reason: str
    others: tuple[Member, ...] = ()


class Discard(msgspec.Struct, frozen=True):
    """Drop the datagram; the caller's transport retries."""

    reason: str


class Dispatcher:
    """Chooses the first agent for each datagram of a caller.

    All state is a cache. A balancer that starts without it reaches the same owners,
    because agents pass on the datagrams of flows that they do not own.

    Parameters
    ----------
    max_flows : int
        How many flows to cache; the least recently answered are evicted first.
    """

    def __init__(self, max_flows=MAX_FLOWS):
        self._owners = FlowCache(max_flows)
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
            Source address of the datagram.
        opens : bool
            Whether the datagram may open a flow (a QUIC long header, RFC 8999).
        view : ServiceView or None
            The current view of the service; None if the service is unknown.
        now : float
            Seconds on a monotonic clock.
        """
        if view is None or not view.members:
            return Discard("no-members")
        owner = self._cached_owner(service, caller, view)
        if owner is not None and not (opens and self.is_suspect(owner, now)):
            self._liveness.expect_answer(owner.node, now)
            return Dispatch(owner, "cached")
        return self._dispatch_by_rank(service, caller, opens, view, now)

    def answered(self, service, caller, node, incarnation, now):
        """Record that ``node`` owns the flow; return whether this is new."""
        self.heard(node)
        return self._owners.put((service, caller), (node, incarnation))

    def heard(self, node):
        """Record a sign of life from ``node``."""
        self._liveness.heard(node)

    def to_probe(self, now):
        """Return the nodes whose answer is late enough for a probe."""
        return self._liveness.to_probe(now)

    def is_suspect(self, member, now):
        """Return whether ``member`` has left datagrams and probes unanswered."""
        return self._liveness.is_suspect(member.node, now)

    def forget(self, nodes):
        """Drop the liveness state of all nodes except ``nodes``."""
        self._liveness.retain(nodes)

    def _cached_owner(self, service, caller, view):
        cached = self._owners.get((service, caller))
        if cached is None:
            return None
        member = view.by_node.get(cached[0])
        if member is None or member.identity != cached:
            return None
        return member

    def _dispatch_by_rank(self, service, caller, opens, view, now):
        ranked = rank(flow_key(service, caller), view.members)
        alive = [m for m in ranked if not self.is_suspect(m, now)] or ranked
        chosen = alive[0]
        if opens:
            chosen = next((m for m in alive if view.is_open(m)), chosen)
        self._liveness.expect_answer(chosen.node, now)
        return Dispatch(chosen, "ranked")
