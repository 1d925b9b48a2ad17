"""The agent's decision: keep a datagram, pass it on, refuse it, or stay silent."""

from collections import OrderedDict
from dataclasses import dataclass

from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.rendezvous import flow_key, rank
from ryesaddle.internal.wire.message import NO_OFFER, Forward

MAX_OFFERS = 10_000
MAX_VISITED = 16
MAX_ASKED = 3


@dataclass(frozen=True, slots=True)
class Arrival:
    """What an agent knows about one forwarded datagram.

    Attributes
    ----------
    forward : Forward
        The datagram and its envelope.
    owned : bool
        Whether its connection id belongs to a flow of this agent.
    opens : bool
        Whether it is a QUIC Initial packet of an unknown flow.
    flow_id : bytes
        Its destination connection id.
    """

    forward: Forward
    owned: bool
    opens: bool
    flow_id: bytes


@dataclass(frozen=True, slots=True)
class Accept:
    """The datagram belongs to this agent."""

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
    """Nobody owns the flow: answer with a stateless reset."""

    reason: str


@dataclass(frozen=True, slots=True)
class Silence:
    """Drop the datagram; whether somebody owns the flow is not known."""

    reason: str


@dataclass(frozen=True, slots=True)
class _Introduction:
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
        Load below which a new flow is taken without asking another agent.
    """

    def __init__(self, me):
        self.me = me
        self.view = None
        self.draining = False
        self.free_below = 1
        self._acks = set()
        self._introduced = {}
        self._offered = OrderedDict()

    def update(self, view):
        """Take a newer view of the service; an older one is ignored."""
        if self.view is None or view.version > self.view.version:
            self.view = view
            self._introduced = {
                node: entry
                for node, entry in self._introduced.items()
                if not self._has_seen(entry.cell, entry.generation)
            }

    def introduced(self, member, cell, generation):
        """Note a member that asks to be known before it takes flows.

        It is known from then on until the view includes the cell record in which
        it saw itself; from there the view tells whether it is still a member.

        Parameters
        ----------
        member : Member
            The member.
        cell : str
            Its cell.
        generation : int
            Generation of the cell record in which it saw itself.

        Returns
        -------
        bool
            Whether the introduction may be confirmed.
        """
        if member.service != self.me.service or member.node == self.me.node:
            return False
        if not self._has_seen(cell, generation):
            self._introduced[member.node] = _Introduction(member, cell, generation)
        return True

    def acknowledged(self, identity):
        """Note that the member ``identity`` knows this agent."""
        self._acks.add(identity)

    def unacknowledged(self):
        """Return the members that have yet to confirm that they know this agent."""
        return [m for m in self._others() if m.identity not in self._acks]

    def has_joined(self):
        """Whether every other member can find the flows of this agent.

        It must see itself in the view and be known to every other member of
        it. Views reach agents in the order of the store, so of two agents that
        join at once the later one sees the earlier one and waits for its
        confirmation; hence no member can take the flow of another for unowned.
        """
        view = self.view
        if view is None:
            return False
        mine = view.by_node.get(self.me.node)
        if mine is None or mine.incarnation != self.me.incarnation:
            return False
        return not self.unacknowledged()

    def is_open(self):
        """Whether this agent may take new flows."""
        if self.draining or not self.has_joined():
            return False
        return self.view.is_open(self.view.by_node[self.me.node])

    def decide(self, arrival, load):
        """Return what to do with ``arrival``.

        Parameters
        ----------
        arrival : Arrival
            The datagram.
        load : int
            Requests in flight and waiting at this agent.

        Returns
        -------
        Accept, PassOn, Refuse or Silence
        """
        fwd = arrival.forward
        if fwd.service != self.me.service or not self._is_mine(fwd):
            return Silence("misdirected")
        if arrival.owned:
            return Accept("owned")
        if arrival.opens:
            return self._open(arrival, load)
        return self._seek(fwd)

    def _is_mine(self, fwd):
        return (fwd.agent, fwd.incarnation) == self.me.identity

    def _open(self, arrival, load):
        fwd = arrival.forward
        if not self.is_open():
            return self._hand_on(fwd)
        if fwd.returned:
            return Accept("least-loaded")
        if fwd.offer_load == NO_OFFER and fwd.visited:
            return Accept("handed-on")
        if load < self.free_below:
            return Accept("free")
        if arrival.flow_id in self._offered:
            return Accept("offered-before")
        return self._offer(arrival, load)

    def _offer(self, arrival, load):
        """Ask one more agent, or settle on the least loaded of those asked."""
        fwd = arrival.forward
        best, best_load = self.me.node, load
        if fwd.offer_load != NO_OFFER and fwd.offer_load <= load:
            best, best_load = fwd.pending[0], fwd.offer_load
        asked = (*fwd.visited, self.me.node)
        other = self._next_open(fwd, asked) if len(asked) < MAX_ASKED else None
        if other is not None:
            self._remember_offer(arrival.flow_id)
            return PassOn(
                other, "offer", visited=asked, pending=(best,), offer_load=best_load
            )
        chosen = self._known().get(best)
        if best == self.me.node or chosen is None:
            return Accept("least-loaded")
        return PassOn(chosen, "declined", returned=True)

    def _hand_on(self, fwd):
        visited = (*fwd.visited, self.me.node)
        ranked = rank(flow_key(fwd.service, fwd.caller), self._others())
        for member in ranked:
            if self.view.is_open(member) and member.node not in visited:
                return PassOn(member, "not-open-here", visited=visited)
        if not self.has_joined():
            return Silence("joining")
        # With no member left to take it, the flow is accepted only so that its
        # requests can be answered "not run" at once.
        return Accept("no-open-member")

    def _seek(self, fwd):
        if self.view is None:
            return Silence("no-view")
        visited = {*fwd.visited, self.me.node}
        known = self._known()
        pending = ({*fwd.pending} | set(known)) - visited
        if not pending:
            return Refuse("unowned")
        if len(visited) >= MAX_VISITED:
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

    def _next_open(self, fwd, asked):
        ranked = rank(flow_key(fwd.service, fwd.caller), self._others())
        return next(
            (m for m in ranked if self.view.is_open(m) and m.node not in asked), None
        )

    def _remember_offer(self, flow_id):
        self._offered[flow_id] = None
        if len(self._offered) > MAX_OFFERS:
            self._offered.popitem(last=False)

    def _has_seen(self, cell, generation):
        if self.view is None:
            return False
        return self.view.generations.get(cell, 0) >= generation

    def _view_members(self):
        return self.view.members if self.view is not None else ()

    def _others(self):
        return [m for m in self._view_members() if m.node != self.me.node]

    def _known(self):
        known = {node: entry.member for node, entry in self._introduced.items()}
        known.update({m.node: m for m in self._others()})
        return known
