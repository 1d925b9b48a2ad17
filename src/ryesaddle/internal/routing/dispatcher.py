"""The balancer's decision: to which agent a caller's datagram goes first."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.rendezvous import flow_key, rank

MAX_FLOWS = 500_000
PROBE_AFTER_S = 0.2
SUSPECT_AFTER_S = 0.6
MAX_CANDIDATES = 3  # asking three closes nine tenths of the distance to one queue


class Dispatch(msgspec.Struct, frozen=True):
    """Send the datagram to ``member``; ``reason`` goes to the decision log.

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
        self._max_flows = max_flows
        self._owners = OrderedDict()
        self._silent_since = {}

    def __len__(self):
        return len(self._owners)

    def route(self, service, caller, opens, view, now, copy=0, load=None, lives=None):
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
        copy : int
            How often the same opening datagram was sent before.
        load : callable, optional
            Returns the load of a `Member`; without it, rank alone decides.
        lives : callable, optional
            Whether a `Member` has been heard lately; others are used last.
        """
        if view is None or not view.members:
            return Discard("no-members")
        owner = self._owner(service, caller, view)
        if owner is not None and not (opens and self.is_suspect(owner, now)):
            self._expect(owner, now)
            return Dispatch(owner, "cached")
        if opens and load is not None:
            return self._least_loaded(
                service, caller, owner, view, now, copy, load, lives
            )
        return self._ranked(service, caller, opens, view, now, lives)

    def placed(self, service, caller, member):
        """Remember where a datagram of the flow was sent, until more is known."""
        self._remember((service, caller), member.identity)

    def forget_flow(self, service, caller):
        """Forget where datagrams of a flow were sent."""
        self._owners.pop((service, caller), None)

    def search(self, service, caller, opens, asked, view, now, lives=None):
        """Return a `Dispatch` to an agent not in ``asked``, or None if none is left.

        Parameters
        ----------
        service : str
            Name of the service.
        caller : Address or Flow
            The flow.
        opens : bool
            Whether the datagram opens a flow; it is for open agents only then.
        asked : container of str
            The agents that do not hold the flow, or have not answered.
        view : ServiceView
            The members known now.
        now : float
            Seconds on a monotonic clock.
        lives : callable, optional
            Whether a `Member` has been heard lately. Others, and suspects, are asked
            last, since their silence delays the search.
        """
        left = [
            m
            for m in view.members
            if m.node not in asked and (not opens or view.is_open(m))
        ]
        if not left:
            return None
        ranked = rank(flow_key(service, caller), left)
        chosen = (self._alive(ranked, now, lives) or ranked)[0]
        self._expect(chosen, now)
        return Dispatch(chosen, "search")

    def answered(self, service, caller, node, incarnation, now):
        """Remember that ``node`` owns the flow; return whether that is news."""
        self.heard(node)
        return self._remember((service, caller), (node, incarnation))

    def heard(self, node):
        """Note that ``node`` is alive."""
        self._silent_since.pop(node, None)

    def to_probe(self, now):
        """Return the nodes that owe an answer for long enough to be probed."""
        return [
            node
            for node, since in self._silent_since.items()
            if now - since >= PROBE_AFTER_S
        ]

    def is_suspect(self, member, now):
        """Whether ``member`` has left datagrams and probes unanswered."""
        since = self._silent_since.get(member.node)
        return since is not None and now - since >= SUSPECT_AFTER_S

    def forget(self, nodes):
        """Drop the liveness records of all but ``nodes``."""
        self._silent_since = {
            node: since for node, since in self._silent_since.items() if node in nodes
        }

    def _remember(self, key, identity):
        news = self._owners.get(key) != identity
        self._owners[key] = identity
        self._owners.move_to_end(key)
        if len(self._owners) > self._max_flows:
            self._owners.popitem(last=False)
        return news

    def _owner(self, service, caller, view):
        known = self._owners.get((service, caller))
        if known is None:
            return None
        member = view.by_node.get(known[0])
        if member is None or member.identity != known:
            return None
        return member

    def _alive(self, members, now, lives):
        unsuspected = [m for m in members if not self.is_suspect(m, now)]
        if lives is None:
            return unsuspected
        return [m for m in unsuspected if lives(m)] or unsuspected

    def _ranked(self, service, caller, opens, view, now, lives):
        ranked = rank(flow_key(service, caller), view.members)
        alive = self._alive(ranked, now, lives) or ranked
        chosen = alive[0]
        if opens:
            chosen = next((m for m in alive if view.is_open(m)), chosen)
        self._expect(chosen, now)
        return Dispatch(chosen, "ranked")

    def _least_loaded(self, service, caller, owner, view, now, copy, load, lives):
        ranked = rank(flow_key(service, caller), view.members)
        open_members = [m for m in ranked if view.is_open(m)]
        usable = self._alive(open_members, now, lives) or open_members
        if copy and owner in usable and len(usable) > 1:
            usable.remove(owner)
        if not usable:
            return Discard("no-open-member")
        first = (copy * MAX_CANDIDATES) % len(usable)
        turned = usable[first:] + usable[:first]
        candidates = sorted(turned[:MAX_CANDIDATES], key=load)
        self._expect(candidates[0], now)
        return Dispatch(candidates[0], "least-loaded", tuple(candidates[1:]))

    def _expect(self, member, now):
        self._silent_since.setdefault(member.node, now)
