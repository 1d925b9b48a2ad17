"""Finds the agents of flows that a balancer does not know.

The balancer sends a packet of the flow to one agent after the other until one of
them confirms that its target holds the flow.
"""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.routing.packet import Packet
from ryesaddle.internal.store.pacing import TokenBucket

# An agent normally answers within a few milliseconds. It waits up to 20 ms for its
# target to return a packet of a flow that the target does not hold.
QUERY_TIMEOUT_S = 0.1
IDLE_SEARCH_TIMEOUT_S = 10.0  # a caller that has been silent for this long has given up
MAX_SEARCHES = 2_000  # bounds memory; each flow with an unknown agent has one
MAX_QUEUED_PACKETS = 4  # queued for one flow; callers retransmit the rest
# Nearly every live flow is found at one of the first agents. Further queries are
# mostly for flows that ended with their target, and are rate-limited to leave CPU
# time for other flows on a small host: 100 queries cost about 30 ms there.
UNTHROTTLED_QUERIES = 6
QUERIES_PER_S, QUERY_BURST = 100.0, 100


class QueuedPacket(msgspec.Struct, frozen=True):
    """A packet that is queued until the agent of its flow is found."""

    packet: Packet
    payload: bytes


class Search(msgspec.Struct):
    """The state of the search for one flow.

    Attributes
    ----------
    service : str
        Service of the flow.
    packets : list of QueuedPacket
        Queued packets, oldest first. Queries carry the first one.
    refused_by : set of str
        Agents that do not hold the flow.
    unanswered : set of str
        Agents that did not answer in time, or that were passed over as unreachable.
    queried_node : str
        The agent whose answer is awaited; empty if there is none.
    queried_at : float
        When that agent was queried, in monotonic seconds.
    last_packet_at : float
        When the caller last sent a packet, in monotonic seconds.
    """

    service: str
    packets: list[QueuedPacket]
    refused_by: set[str]
    unanswered: set[str]
    queried_node: str = ""
    queried_at: float = 0.0
    last_packet_at: float = 0.0


class QueryAgent(msgspec.Struct, frozen=True):
    """Send the first packet of the flow to this agent.

    Attributes
    ----------
    node : str
        The agent.
    number : int
        How many agents were tried or skipped before.
    """

    node: str
    number: int


class NotFound(msgspec.Struct, frozen=True):
    """Every agent has answered that it does not hold the flow."""


class Inconclusive(msgspec.Struct, frozen=True):
    """The search is paused until the caller sends again, for this reason."""

    reason: str


class Searches:
    """Searches for flows, each of which queries one agent at a time.

    An agent that does not hold an open flow never will, because open flows do not
    move between targets. Each agent is therefore asked until it has answered once,
    however often the caller sends.
    """

    def __init__(self):
        self._searches = OrderedDict()
        self._query_limiter = TokenBucket(QUERIES_PER_S, QUERY_BURST)

    def __len__(self):
        return len(self._searches)

    def __contains__(self, flow):
        return flow in self._searches

    def __getitem__(self, flow):
        return self._searches[flow]

    def add(self, packet, payload, service, now):
        """Queue a packet; return whether the next agent is to be queried now."""
        search = self._searches.get(packet.flow)
        if search is None:
            search = self._searches[packet.flow] = Search(service, [], set(), set())
            if len(self._searches) > MAX_SEARCHES:
                self._searches.popitem(last=False)
        search.last_packet_at = now
        self._searches.move_to_end(packet.flow)
        if len(search.packets) < MAX_QUEUED_PACKETS:
            search.packets.append(QueuedPacket(packet, payload))
        return not search.queried_node

    def record_refusal(self, flow, node):
        """Record that an agent does not hold a flow.

        Returns whether the next agent is to be queried now.
        """
        search = self._searches.get(flow)
        if search is None:
            return False
        search.refused_by.add(node)
        search.unanswered.discard(node)
        if search.queried_node not in ("", node):
            return False
        search.queried_node = ""
        return True

    def skip_agent(self, flow, node):
        """Query the other agents first, because this one may be unreachable.

        The missing answer does not count as a refusal: the agent's target may hold
        the flow.
        """
        search = self._searches[flow]
        if node not in search.refused_by:
            search.unanswered.add(node)

    def finish(self, flow):
        """End the search for a flow; return its `Search`, or None if there was none."""
        return self._searches.pop(flow, None)

    def next_step(self, flow, members, complete, now):
        """Return the next step: `QueryAgent`, `NotFound` or `Inconclusive`.

        Parameters
        ----------
        flow : Flow
            A flow with a search and at least one queued packet.
        members : sequence of Member
            All known agents that may hold it, most likely first.
        complete : bool
            Whether ``members`` is known to include every agent.
        now : float
            Seconds on a monotonic clock.
        """
        search = self._searches[flow]
        untried = [
            m for m in members if m.node not in search.refused_by | search.unanswered
        ]
        if untried:
            number = len(search.refused_by) + len(search.unanswered)
            if number >= UNTHROTTLED_QUERIES and not self._query_limiter.try_take(now):
                return self._pause(search, "too-many-questions")
            search.queried_node, search.queried_at = untried[0].node, now
            return QueryAgent(untried[0].node, number)
        if complete and not search.unanswered and members:
            del self._searches[flow]
            return NotFound()
        reason = "agents-silent" if search.unanswered else "agents-unknown"
        search.unanswered.clear()
        return self._pause(search, reason)

    def expire_queries(self, now):
        """Time out unanswered queries and drop searches of idle callers.

        Returns the flows whose query timed out.
        """
        timed_out = []
        for flow, search in list(self._searches.items()):
            if search.queried_node and now - search.queried_at >= QUERY_TIMEOUT_S:
                search.unanswered.add(search.queried_node)
                search.queried_node = ""
                timed_out.append(flow)
            elif (
                not search.queried_node
                and now - search.last_packet_at >= IDLE_SEARCH_TIMEOUT_S
            ):
                del self._searches[flow]
        return timed_out

    @staticmethod
    def _pause(search, reason):
        search.packets.clear()
        return Inconclusive(reason)
