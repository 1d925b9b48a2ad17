"""A cache of the agent that each flow was last sent to."""

from collections import OrderedDict

MAX_FLOWS = 500_000


class FlowCache:
    """Maps flows to agents and evicts the least recently recorded flow when full.

    Parameters
    ----------
    max_flows : int
        Maximum number of flows.
    """

    def __init__(self, max_flows=MAX_FLOWS):
        self._max_flows = max_flows
        self._agents = OrderedDict()

    def __len__(self):
        return len(self._agents)

    def put(self, flow, agent):
        """Set the agent of a flow; return whether the entry is new or changed."""
        changed = self._agents.get(flow) != agent
        self._agents[flow] = agent
        self._agents.move_to_end(flow)
        if len(self._agents) > self._max_flows:
            self._agents.popitem(last=False)
        return changed

    def get(self, flow):
        """Return the agent of a flow, or None if the flow is not cached."""
        return self._agents.get(flow)

    def items(self):
        """Return all (flow, agent) pairs."""
        return self._agents.items()

    def drop(self, flow):
        """Remove a flow, if present."""
        self._agents.pop(flow, None)
