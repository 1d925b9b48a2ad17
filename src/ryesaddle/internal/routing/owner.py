"""Agent-side routing: accept a datagram, pass it on, refuse it or drop it."""

from collections import OrderedDict
from dataclasses import dataclass

from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.rendezvous import flow_key, rank
from ryesaddle.internal.wire.message import NO_OFFER, Forward

MAX_REMEMBERED_OFFERS = 10_000
MAX_VISITED_AGENTS = 16
MAX_OFFERED_AGENTS = 3


@dataclass(frozen=True, slots=True)
class Arrival:
    """A forwarded datagram and what the receiving agent knows about it.

    Attributes
    ----------
    forward : Forward
        The datagram and its envelope.
    owned : bool
        Whether its connection ID belongs to a flow of this agent.
    opens : bool
        Whether it is a QUIC Initial packet of an unknown flow.
    flow_id : bytes
        Its destination connection ID.
    """

    forward: Forward
    owned: bool
    opens: bool
    flow_id: bytes


@dataclass(frozen=True, slots=True)
class Accept:
    """Handle the datagram at this agent."""

    reason: str


@dataclass(frozen=True, slots=True)
class PassOn:
    """Send the datagram to ``member`` with these envelope fields."""

    member: Member
    reason: str
    visited: tuple = ()
    pending: tuple = ()
    offer_load: int = NO_OFFER
    returned: bool = False


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with a stateless reset because no agent owns the flow."""

    reason: str


@dataclass(frozen=True, slots=True)
class Silence:
    """Drop the datagram because it is not known whether an agent owns the flow."""

    reason: str


@dataclass(frozen=True, slots=True)
class _Introduction:
    """A member that introduced itself but may be missing from the view."""

    member: Member
    cell: str
    generation: int


class Owner:
    """Routes datagrams between the agents of one service.

    Parameters
    ----------
    me : Member
        This agent.

    Attributes
    ----------
    draining : bool
        Whether this agent is about to stop.
    free_below : int
        Load below which a new flow is accepted without offering it to other agents.
    """

    def __init__(self, me):
        self.me = me
        self.view = None
        self.draining = False
        self.free_below = 1
        self._acknowledged = set()
        self._introductions = {}
        self._offered_flows = OrderedDict()

    def update(self, view):
        """Replace the view of the service if ``view`` is newer."""
        if self.view is None or view.version > self.view.version:
            self.view = view
            self._introductions = {
                node: entry
                for node, entry in self._introductions.items()
                if not self._view_includes(entry.cell, entry.generation)
            }

    def introduced(self, member, cell, generation):
        """Record a member that introduces itself before it accepts flows.

        The record is kept until the view includes the cell record in which the
        member saw itself. From then on, the view alone determines membership.

        Parameters
        ----------
        member : Member
            The member that introduces itself.
        cell : str
            The member's cell.
        generation : int
            Generation of the cell record in which the member saw itself.

        Returns
        -------
        bool
            Whether the introduction may be confirmed.
        """
        if member.service != self.me.service or member.node == self.me.node:
            return False
        if not self._view_includes(cell, generation):
            self._introductions[member.node] = _Introduction(member, cell, generation)
        return True

    def acknowledged(self, identity):
        """Record that the member with this identity has confirmed this agent."""
        self._acknowledged.add(identity)

    def unacknowledged(self):
        """Return the members that have not yet confirmed this agent."""
        return [
            m for m in self._other_members() if m.identity not in self._acknowledged
        ]

    def has_joined(self):
        """Return whether every other member can route to this agent's flows.

        This agent must be in its own view, and every other member of the view
        must have confirmed it. Views reach all agents in the store's order, so of two
        agents that join concurrently, the later one sees the earlier one and waits
        for its confirmation. No member can therefore treat another member's flow
        as unowned.
        """
        view = self.view
        if view is None:
            return False
        mine = view.by_node.get(self.me.node)
        if mine is None or mine.incarnation != self.me.incarnation:
            return False
        return not self.unacknowledged()

    def is_open(self):
        """Return whether this agent may accept new flows."""
        if self.draining or not self.has_joined():
            return False
        return self.view.is_open(self.view.by_node[self.me.node])

    def decide(self, arrival, load):
        """Return the routing decision for ``arrival``.

        Parameters
        ----------
        arrival : Arrival
            The datagram to route.
        load : int
            Number of requests in progress or queued at this agent.

        Returns
        -------
        Accept, PassOn, Refuse or Silence
        """
        fwd = arrival.forward
        if fwd.service != self.me.service or not self._is_addressed_to_me(fwd):
            return Silence("misdirected")
        if arrival.owned:
            return Accept("owned")
        if arrival.opens:
            return self._route_new_flow(arrival, load)
        return self._find_owner(fwd)

    def _is_addressed_to_me(self, fwd):
        return (fwd.agent, fwd.incarnation) == self.me.identity

    def _route_new_flow(self, arrival, load):
        fwd = arrival.forward
        if not self.is_open():
            return self._pass_on_new_flow(fwd)
        if fwd.returned:
            return Accept("least-loaded")
        if fwd.offer_load == NO_OFFER and fwd.visited:
            return Accept("handed-on")
        if load < self.free_below:
            return Accept("free")
        if arrival.flow_id in self._offered_flows:
            return Accept("offered-before")
        return self._offer_flow(arrival, load)

    def _offer_flow(self, arrival, load):
        """Offer a new flow to one more agent, or settle on the least loaded so far."""
        fwd = arrival.forward
        best, best_load = self.me.node, load
        if fwd.offer_load != NO_OFFER and fwd.offer_load <= load:
            best, best_load = fwd.pending[0], fwd.offer_load
        asked = (*fwd.visited, self.me.node)
        other = (
            self._next_open_member(fwd, asked)
            if len(asked) < MAX_OFFERED_AGENTS
            else None
        )
        if other is not None:
            self._remember_offer(arrival.flow_id)
            return PassOn(
                other, "offer", visited=asked, pending=(best,), offer_load=best_load
            )
        chosen = self._known_members().get(best)
        if best == self.me.node or chosen is None:
            return Accept("least-loaded")
        return PassOn(chosen, "declined", returned=True)

    def _pass_on_new_flow(self, fwd):
        """Pass a new flow on to an open member, because this agent is not open."""
        visited = (*fwd.visited, self.me.node)
        ranked = rank(flow_key(fwd.service, fwd.caller), self._other_members())
        for member in ranked:
            if self.view.is_open(member) and member.node not in visited:
                return PassOn(member, "not-open-here", visited=visited)
        if not self.has_joined():
            return Silence("joining")
        # No open member is left. The flow is accepted only so that its requests can
        # be answered with "not run" immediately.
        return Accept("no-open-member")

    def _find_owner(self, fwd):
        """Pass the datagram of an unknown flow on until its owner is found."""
        if self.view is None:
            return Silence("no-view")
        visited = {*fwd.visited, self.me.node}
        known = self._known_members()
        pending = ({*fwd.pending} | set(known)) - visited
        if not pending:
            return Refuse("unowned")
        if len(visited) >= MAX_VISITED_AGENTS:
            return Silence("too-many-hops")
        reachable = [known[node] for node in pending if node in known]
        if not reachable:
            return Silence("member-unknown")
        chosen = rank(flow_key(fwd.service, fwd.caller), reachable)[0]
        return PassOn(
            chosen,
            "not-owned",
            visited=tuple(sorted(visited)),
            pending=tuple(sorted(pending - {chosen.node})),
        )

    def _next_open_member(self, fwd, asked):
        ranked = rank(flow_key(fwd.service, fwd.caller), self._other_members())
        return next(
            (m for m in ranked if self.view.is_open(m) and m.node not in asked), None
        )

    def _remember_offer(self, flow_id):
        self._offered_flows[flow_id] = None
        if len(self._offered_flows) > MAX_REMEMBERED_OFFERS:
            self._offered_flows.popitem(last=False)

    def _view_includes(self, cell, generation):
        if self.view is None:
            return False
        return self.view.generations.get(cell, 0) >= generation

    def _view_members(self):
        return self.view.members if self.view is not None else ()

    def _other_members(self):
        return [m for m in self._view_members() if m.node != self.me.node]

    def _known_members(self):
        known = {node: entry.member for node, entry in self._introductions.items()}
        known.update({m.node: m for m in self._other_members()})
        return known
