"""Where the datagrams of each flow were sent."""

from collections import OrderedDict

MAX_FLOWS = 500_000


class FlowMemory:
    """A bounded map of flows to agents; the least recently used go first.

    Parameters
    ----------
    max_flows : int
        How many flows to remember.
    """

    def __init__(self, max_flows=MAX_FLOWS):
        self._max_flows = max_flows
        self._agents = OrderedDict()

    def __len__(self):
        return len(self._agents)

    def put(self, flow, agent):
        """Remember the agent of a flow; return whether that is news."""
        news = self._agents.get(flow) != agent
        self._agents[flow] = agent
        self._agents.move_to_end(flow)
        if len(self._agents) > self._max_flows:
            self._agents.popitem(last=False)
        return news

    def get(self, flow):
        """Return the agent of a flow, or None."""
        return self._agents.get(flow)

    def items(self):
        """Return all (flow, agent) pairs."""
        return self._agents.items()

    def drop(self, flow):
        """Forget a flow."""
        self._agents.pop(flow, None)
