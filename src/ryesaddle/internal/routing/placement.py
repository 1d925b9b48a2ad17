"""Where a balancer sends packets whose flows the targets hold themselves."""

from itertools import islice

from ryesaddle.internal.routing.dispatcher import Discard, Dispatch
from ryesaddle.internal.routing.liveness import Liveness
from ryesaddle.internal.routing.memory import FlowMemory
from ryesaddle.internal.routing.rendezvous import flow_key, rank

MAX_CANDIDATES = 3  # asking three closes nine tenths of the distance to one queue
MAX_NEAR = 2  # of these, agents of the own data centre; the others balance the load
FAR_LOAD = 0.5  # load that a way to another data centre is worth


class Placement:
    """Places new flows, and orders the agents in which an old one may be found.

    All of its state is a cache: what a balancer does not remember, it searches.

    Parameters
    ----------
    data_centre : str
        Where the balancer runs.
    directory : AgentDirectory
        The agents, their load and whether they live.
    """

    def __init__(self, data_centre, directory):
        self._data_centre = data_centre
        self._directory = directory
        self._flows = FlowMemory()
        self.liveness = Liveness()

    def __len__(self):
        return len(self._flows)

    def find(self, service, flow):
        """Return the `Member` to which packets of a flow were sent, or None."""
        node = self._flows.get(flow)
        member = None if node is None else self._directory.find(node)
        if member is None or member.service != service:
            return None
        return member

    def placed(self, flow, node):
        """Remember the agent of a flow."""
        self._flows.put(flow, node)

    def forget(self, flow):
        """Forget the agent of a flow."""
        self._flows.drop(flow)

    def describe(self, caller):
        """Return what is known of a caller's flows, one dict for each."""
        return [
            {"flow": str(flow), "sent_to": node}
            for flow, node in self._flows.items()
            if str(flow.caller) == caller
        ]

    def open(self, service, flow, copy, now):
        """Return a `Dispatch` or `Discard` for a packet that opens a flow.

        Parameters
        ----------
        service : str
            Service of the flow.
        flow : Flow
            The flow.
        copy : int
            How often the packet was sent before; each copy has other candidates.
        now : float
            Seconds on a monotonic clock.
        """
        known = self.find(service, flow)
        if known is not None and self.is_alive(known, now):
            # A copy of a packet that waits there, or is on its way.
            self.liveness.expect(known.node, now)
            return Dispatch(known, "cached")
        ranked = self._ranked(service, flow, True)
        alive = (m for m in ranked if self.is_alive(m, now))
        # Looking at a few agents only keeps the cost of a new flow low.
        usable = list(islice(alive, MAX_CANDIDATES * (copy + 1))) or ranked
        if not usable:
            return Discard("no-open-member")
        first = (copy * MAX_CANDIDATES) % len(usable)
        candidates = (usable[first:] + usable[:first])[:MAX_CANDIDATES]
        candidates.sort(key=self._cost)
        self.liveness.expect(candidates[0].node, now)
        return Dispatch(candidates[0], "least-loaded", tuple(candidates[1:]))

    def order(self, service, flow, opens, now):
        """Return the agents that may take or hold a flow, the likeliest first.

        Those that live go before those that are silent. The candidates of new
        flows, which come from the same order, hold nearly all old ones.

        Parameters
        ----------
        service : str
            Service of the flow.
        flow : Flow
            The flow.
        opens : bool
            Whether only agents that take new flows are wanted.
        now : float
            Seconds on a monotonic clock.
        """
        ranked = self._ranked(service, flow, opens)
        ranked.sort(key=lambda m: not self.is_alive(m, now))
        return ranked

    def is_alive(self, member, now):
        """Whether an agent has been heard lately and owes no answer."""
        if self.liveness.is_suspect(member.node, now):
            return False
        return self._directory.is_alive(member.node, now)

    def _ranked(self, service, flow, opens):
        view = self._directory.view(service)
        if view is None:
            return []
        members = view.open_members if opens else view.members
        return self._near_first(rank(flow_key(service, flow), members))

    def _near_first(self, ranked):
        near = [m for m in ranked if m.data_centre == self._data_centre]
        far = [m for m in ranked if m.data_centre != self._data_centre]
        split = MAX_CANDIDATES - len(near[:MAX_NEAR])
        return near[:MAX_NEAR] + far[:split] + near[MAX_NEAR:] + far[split:]

    def _cost(self, member):
        is_far = member.data_centre != self._data_centre
        return self._directory.load(member) + FAR_LOAD * is_far
