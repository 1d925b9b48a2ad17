"""Finds the agents of flows that a balancer does not know.

The balancer first asks all agents, several at a time, whether they know the flow.
Only an agent that started after its target may not know a flow that the target holds.
If no agent knows the flow, such agents are sent a packet of it, one after the other;
a target that does not hold the flow returns the packet.
"""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.routing.packet import Packet
from ryesaddle.internal.store.pacing import TokenBucket

# An agent normally answers within a few milliseconds. It waits up to 20 ms for its
# target to return a packet of a flow that the target does not hold.
ANSWER_TIMEOUT_S = 0.1
IDLE_SEARCH_TIMEOUT_S = 10.0  # a caller that has been silent for this long has given up
MAX_SEARCHES = 2_000  # bounds memory; each flow with an unknown agent has one
MAX_QUEUED_PACKETS = 4  # queued for one flow; callers retransmit the rest
# Nearly every live flow is known to one of the first agents. Each further batch is
# twice as large, so that the number of rounds grows with the logarithm of the agents.
FIRST_BATCH = 8
MAX_BATCH = 64
# Further queries and probes are mostly for flows that ended with their target. They
# are rate-limited to leave CPU time for other flows on a small host.
QUERIES_PER_S, QUERY_BURST = 1_000.0, 2_000
UNTHROTTLED_PROBES = 6
PROBES_PER_S, PROBE_BURST = 100.0, 100
# Searches that wait for a rate limit and are continued at one check. Each costs a sort
# of the agents, and the limits permit about as many steps between two checks.
MAX_RESUMED_SEARCHES = 8


class QueuedPacket(msgspec.Struct, frozen=True):
    """A packet that is queued until the agent of its flow is found."""

    packet: Packet
    payload: bytes


class Search(msgspec.Struct):
    """The state of the search for one flow.

    Attributes
    ----------
    packets : list of QueuedPacket
        Queued packets, oldest first. Probes carry the first one.
    refused_by : set of str
        Agents whose target does not hold the flow.
    uncertain : set of str
        Agents that do not know whether their target holds the flow.
    silent : set of str
        Agents that did not answer a query in time. They have not been probed.
    unanswered : set of str
        Agents that did not answer a probe in time, or that were passed over as
        unreachable.
    queried : dict of str to float
        Agents whose answer to a query is awaited, and when they were queried, in
        monotonic seconds.
    batch_size : int
        How many agents the next query goes to.
    probed_node : str
        The agent whose answer to a probe is awaited; empty if there is none.
    probed_at : float
        When that agent was probed, in monotonic seconds.
    probe_count : int
        How many probes were sent.
    throttled : bool
        Whether the next step waits for the rate limit.
    last_packet_at : float
        When the caller last sent a packet, in monotonic seconds.
    """

    packets: list[QueuedPacket] = []
    refused_by: set[str] = set()
    uncertain: set[str] = set()
    silent: set[str] = set()
    unanswered: set[str] = set()
    queried: dict[str, float] = {}
    batch_size: int = FIRST_BATCH
    probed_node: str = ""
    probed_at: float = 0.0
    probe_count: int = 0
    throttled: bool = False
    last_packet_at: float = 0.0

    @property
    def awaits_answer(self):
        """Whether a query or a probe is under way."""
        return bool(self.queried or self.probed_node)

    @property
    def effort(self):
        """How many agents were queried and probed so far."""
        return len(self.tried()) + self.probe_count

    def tried(self):
        """Return the agents that need no further query."""
        return (
            self.refused_by
            | self.uncertain
            | self.silent
            | self.unanswered
            | self.queried.keys()
        )


class QueryAgents(msgspec.Struct, frozen=True):
    """Ask these agents whether they know the flow."""

    nodes: tuple[str, ...]


class ProbeAgent(msgspec.Struct, frozen=True):
    """Send the first packet of the flow to this agent.

    Attributes
    ----------
    node : str
        The agent.
    number : int
        How many agents were probed before.
    """

    node: str
    number: int


class AwaitAnswers(msgspec.Struct, frozen=True):
    """Do nothing until an agent answers or the rate limit permits the next step."""


class NotFound(msgspec.Struct, frozen=True):
    """Every agent has answered that its target does not hold the flow."""


class Inconclusive(msgspec.Struct, frozen=True):
    """The search is paused until the caller sends again, for this reason."""

    reason: str


class Searches:
    """Searches for flows.

    A target that does not hold an open flow never will, because open flows do not
    move between targets. An agent that has said so is therefore not asked again,
    however often the caller sends.
    """

    def __init__(self):
        self._searches = OrderedDict()
        self._query_limiter = TokenBucket(QUERIES_PER_S, QUERY_BURST)
        self._probe_limiter = TokenBucket(PROBES_PER_S, PROBE_BURST)

    def __len__(self):
        return len(self._searches)

    def __contains__(self, flow):
        return flow in self._searches

    def __getitem__(self, flow):
        return self._searches[flow]

    def add(self, packet, payload, now):
        """Queue a packet; return whether `next_step` is due."""
        search = self._searches.get(packet.flow)
        if search is None:
            search = self._searches[packet.flow] = Search()
            if len(self._searches) > MAX_SEARCHES:
                self._searches.popitem(last=False)
        search.last_packet_at = now
        self._searches.move_to_end(packet.flow)
        if len(search.packets) < MAX_QUEUED_PACKETS:
            search.packets.append(QueuedPacket(packet, payload))
        return not search.awaits_answer

    def record_refusal(self, flow, node):
        """Record that the target of an agent does not hold a flow.

        Returns whether `next_step` is due.
        """
        search = self._searches.get(flow)
        if search is None:
            return False
        for nodes in (search.uncertain, search.silent, search.unanswered):
            nodes.discard(node)
        search.refused_by.add(node)
        return self._record_answer(search, node)

    def record_uncertain(self, flow, node):
        """Record that an agent does not know whether its target holds a flow.

        Returns whether `next_step` is due.
        """
        search = self._searches.get(flow)
        if search is None or node in search.refused_by or node == search.probed_node:
            return False
        search.silent.discard(node)
        if node not in search.unanswered:
            search.uncertain.add(node)
        return self._record_answer(search, node)

    def record_unanswered(self, flow, node):
        """Record that an agent has answered without saying whether it holds a flow.

        Returns whether `next_step` is due.
        """
        search = self._searches.get(flow)
        if search is None:
            return False
        self.skip_agent(flow, node)
        return self._record_answer(search, node)

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
        """Return the next step of a search, one of the structs in this module.

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
        if search.awaits_answer:
            return AwaitAnswers()
        search.throttled = False
        names = [m.node for m in members]
        tried = search.tried()
        untried = [name for name in names if name not in tried]
        if untried:
            return self._query(search, untried, now)
        for unsure in (search.uncertain, search.silent):
            nodes = [name for name in names if name in unsure]
            if nodes:
                return self._probe(search, nodes[0], now)
        if complete and not search.unanswered and members:
            del self._searches[flow]
            return NotFound()
        reason = "agents-silent" if search.unanswered else "agents-unknown"
        search.unanswered.clear()
        search.packets.clear()
        search.batch_size = FIRST_BATCH
        return Inconclusive(reason)

    def expire_queries(self, now):
        """Time out queries and probes, and drop searches of idle callers.

        Returns
        -------
        list of Flow
            The flows for which `next_step` is due. Of those that wait for a rate
            limit, the ones with the least effort: a flow that is held is mostly found
            by one of the first steps.
        """
        due, throttled = [], []
        for flow, search in list(self._searches.items()):
            if self._expire_answers(search, now):
                due.append(flow)
            elif search.awaits_answer:
                continue
            elif now - search.last_packet_at >= IDLE_SEARCH_TIMEOUT_S:
                del self._searches[flow]
            elif search.throttled:
                throttled.append(flow)
        throttled.sort(key=lambda flow: self._searches[flow].effort)
        return due + throttled[:MAX_RESUMED_SEARCHES]

    def _query(self, search, untried, now):
        batch = untried[: search.batch_size]
        is_first = search.batch_size == FIRST_BATCH
        if not is_first and not self._query_limiter.try_take(now, len(batch)):
            return self._throttle(search)
        search.batch_size = min(MAX_BATCH, 2 * search.batch_size)
        search.queried = dict.fromkeys(batch, now)
        return QueryAgents(tuple(batch))

    def _probe(self, search, node, now):
        number = search.probe_count
        if number >= UNTHROTTLED_PROBES and not self._probe_limiter.try_take(now):
            return self._throttle(search)
        search.uncertain.discard(node)
        search.silent.discard(node)
        search.probed_node, search.probed_at = node, now
        search.probe_count += 1
        return ProbeAgent(node, number)

    @staticmethod
    def _throttle(search):
        search.throttled = True
        return AwaitAnswers()

    @staticmethod
    def _record_answer(search, node):
        """Clear what was awaited from an agent; return whether nothing else is."""
        search.queried.pop(node, None)
        if search.probed_node == node:
            search.probed_node = ""
        return not search.awaits_answer

    @staticmethod
    def _expire_answers(search, now):
        """Give up answers that are late; return whether these were the last."""
        late = [n for n, at in search.queried.items() if now - at >= ANSWER_TIMEOUT_S]
        for node in late:
            del search.queried[node]
            search.silent.add(node)
        if search.probed_node and now - search.probed_at >= ANSWER_TIMEOUT_S:
            late.append(search.probed_node)
            search.unanswered.add(search.probed_node)
            search.probed_node = ""
        return bool(late) and not search.awaits_answer
