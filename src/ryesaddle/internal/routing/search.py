"""Finds the agents of flows that a balancer does not know.

The balancer first asks the agents that most likely hold the flow whether they have a
record of it, and then all other agents at once. Agents that have no record and do not
know all flows of their target are sent a packet of the flow for it; a target that does
not hold the flow returns the packet. While few flows are searched, the second and the
third round are one: the packet goes to all agents.
"""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.routing.lookup_batches import ITEM_BYTES
from ryesaddle.internal.routing.packet import Packet, are_of_one_flow
from ryesaddle.internal.store.pacing import TokenBucket

# An agent normally answers within a few milliseconds. It waits up to 20 ms for its
# target to return a packet of a flow that the target does not hold.
ANSWER_TIMEOUT_S = 0.1
# After a power loss an agent is asked for some thousand flows at once. At 0.65 of a
# core it needs 0.2 ms for each of which it must ask its target.
LOOKUP_TIMEOUT_S = 0.5
# Agents that have not answered, or could not tell, are asked again at this interval,
# which is the shortest after which a caller retransmits.
RETRY_INTERVAL_S = 0.2
IDLE_SEARCH_TIMEOUT_S = 2.0  # callers retransmit at least every 1.6 s
MAX_SEARCHES = 4_000  # bounds memory; each flow with an unknown agent has one
MAX_QUEUED_PACKETS = 4  # queued for one flow; callers retransmit the rest
FIRST_BATCH = 8  # nearly every live flow is known to one of these agents
# Processor time at the balancer in microseconds, answers included. Measured were 3 to
# 8 for a flow, and for a datagram 14 to 20 one at a time (bench/passthrough.py) and 36
# to 57 eight at a time, on a machine that was shared with other work.
LOOKUP_COST_US, DATAGRAM_COST_US = 8, 36
QUERY_COST_US = DATAGRAM_COST_US + LOOKUP_COST_US
# A fifth of a host with 0.39 of a core. The burst covers 330 flows that are lost at
# once among 46 agents: a third of the 975 requests that failed in a power loss of the
# tender portal.
COST_PER_S_US, COST_BURST_US = 78_000, 300_000
# The smallest hosts have links of 10 Mbit/s. A packet for all agents of a flow takes
# some 15 kB: 2,500 flows that were lost at once filled those links for seconds.
PACKET_BYTES_PER_S, PACKET_BURST_BYTES = 60_000, 250_000
FEW_SEARCHES = 8  # up to here, packets go to all agents in the second round
# Agents of an older version are sent a packet of the flow one after the other.
UNTHROTTLED_PROBES = 6
PROBES_PER_S, PROBE_BURST = 100.0, 100
# Searches that wait for the budget or for another attempt and are continued at one
# check, every 50 ms. They are bounded because each costs a pass over all agents.
MAX_RESUMED_SEARCHES = 16
MAX_RETRIED_SEARCHES = 100


class QueuedPacket(msgspec.Struct, frozen=True):
    """A packet that is queued until the agent of its flow is found."""

    packet: Packet
    payload: bytes


class Search(msgspec.Struct):
    """The state of the search for one flow.

    Attributes
    ----------
    started_at : float
        Start of the search, in monotonic seconds.
    packets : list of QueuedPacket
        Queued packets, oldest first. Lookups and probes carry the first one.
    targets : dict of str to str
        The target of each agent that was asked, as known when it was asked.
    refused_by : dict of str to str
        Agents whose target does not hold the flow, and that target.
    presumed : set of str
        Agents whose target runs and has not returned a packet of the flow.
    presumed_holder : str
        The agent that was taken for the holder; empty if there is none.
    uncertain : set of str
        Agents that cannot tell without asking their target.
    sent_to : set of str
        Agents that were sent a packet of the flow for their target.
    unanswered : set of str
        Agents that did not answer or could not tell. They are asked again later.
    skipped : set of str
        Agents that are not asked in the first round, as they may be unreachable.
    queried, looked_up : dict of str to float
        Agents whose answer is awaited, and when they were asked, in monotonic seconds.
    first_round_over : bool
        Whether the most likely agents have been queried.
    with_packet : bool
        Whether the lookups of the present round carry a packet of the flow.
    probed_node : str
        The agent whose answer to a probe is awaited; empty if there is none.
    probed_at : float
        When that agent was probed, in monotonic seconds.
    probe_count : int
        How many probes were sent.
    asked_count : int
        How many agents were asked in all rounds.
    asked_at : float
        When agents were last queried or looked up, in monotonic seconds; at first the
        start of the search.
    retry_at : float
        When the next attempt begins, in monotonic seconds; 0 if none is due.
    throttled : bool
        Whether the next step waits for the rate limit.
    last_packet_at : float
        When the caller last sent a packet, in monotonic seconds.
    ack_number : int
        Acknowledgement number of that packet.
    """

    started_at: float = 0.0
    packets: list[QueuedPacket] = []
    targets: dict[str, str] = {}
    refused_by: dict[str, str] = {}
    presumed: set[str] = set()
    presumed_holder: str = ""
    uncertain: set[str] = set()
    sent_to: set[str] = set()
    unanswered: set[str] = set()
    skipped: set[str] = set()
    queried: dict[str, float] = {}
    looked_up: dict[str, float] = {}
    first_round_over: bool = False
    with_packet: bool = False
    probed_node: str = ""
    probed_at: float = 0.0
    probe_count: int = 0
    asked_count: int = 0
    asked_at: float = 0.0
    retry_at: float = 0.0
    throttled: bool = False
    last_packet_at: float = 0.0
    ack_number: int = 0

    @property
    def awaits_answer(self):
        """Whether a query, a lookup or a probe is under way."""
        return bool(self.queried or self.looked_up or self.probed_node)

    @property
    def effort(self):
        """How many agents were asked and probed so far."""
        return self.asked_count + self.probe_count

    def forget_ended_targets(self, members):
        """Forget answers that were given for another target than an agent has now."""
        for member in members:
            target = self.refused_by.get(member.node)
            if target is not None and target != member.target:
                del self.refused_by[member.node]

    def is_settled(self, node):
        """Whether an agent needs no lookup in this attempt."""
        return (
            node in self.refused_by or node in self.presumed or node in self.unanswered
        )

    def end_attempt(self):
        """Prepare the next attempt, which begins `RETRY_INTERVAL_S` after this one."""
        self.retry_at = max(self.asked_at, self.retry_at) + RETRY_INTERVAL_S
        for nodes in (self.presumed, self.uncertain, self.unanswered):
            nodes.clear()


class QueryAgents(msgspec.Struct, frozen=True):
    """Ask these agents whether they have a record of the flow."""

    nodes: tuple[str, ...]


class LookUp(msgspec.Struct, frozen=True):
    """Ask these agents for the flow.

    Attributes
    ----------
    nodes : tuple of str
        The agents.
    with_packet : bool
        Whether the lookup carries the first packet of the flow for their targets.
    """

    nodes: tuple[str, ...]
    with_packet: bool = True


class ProbeAgent(msgspec.Struct, frozen=True):
    """Send the first packet of the flow to this agent, which is of an older version.

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


class PresumeHolder(msgspec.Struct, frozen=True):
    """Only this agent's target can hold the flow, and it has not returned its packet.

    The search asks no more agents. It goes on for a while, because a busy target may
    return the packet late: no target holds the flow then.
    """

    node: str


class NotFound(msgspec.Struct, frozen=True):
    """Every agent has answered that its target does not hold the flow."""


class Inconclusive(msgspec.Struct, frozen=True):
    """The agents that may hold the flow are asked again, for this reason."""

    reason: str


class Searches:
    """Searches for flows.

    A target that does not hold an open flow never will, because open flows do not
    move between targets. An agent that has said so is therefore not asked again while
    its target stays the same, however often the caller sends.

    Addresses thousands of flows that are lost at once by a power loss: each is asked
    about in few rounds, within budgets of processor time and of bytes. Searches that
    have asked few agents go first: flows that are held are mostly found by the first.
    """

    def __init__(self):
        self._searches = OrderedDict()
        self._budget = TokenBucket(COST_PER_S_US, COST_BURST_US)
        self._packet_budget = TokenBucket(PACKET_BYTES_PER_S, PACKET_BURST_BYTES)
        self._probe_limiter = TokenBucket(PROBES_PER_S, PROBE_BURST)
        self._abandoned = []

    def __len__(self):
        return len(self._searches)

    def __contains__(self, flow):
        return flow in self._searches

    def __getitem__(self, flow):
        return self._searches[flow]

    def add(self, packet, payload, now):
        """Queue a packet; return whether `next_step` is due."""
        search = self._searches.get(packet.flow)
        if search is None or not (
            packet.resets or are_of_one_flow(packet.ack_number, search.ack_number)
        ):
            # What agents said about an earlier flow of the port no longer counts.
            search = self._searches[packet.flow] = Search(
                started_at=now, asked_at=now, ack_number=packet.ack_number
            )
            if len(self._searches) > MAX_SEARCHES:
                self._abandoned.append(self._searches.popitem(last=False))
        if search.presumed_holder:
            # The agent is gone or silent, so that another one must be found.
            search.presumed_holder = ""
            search.presumed.clear()
        search.last_packet_at = now
        if not packet.resets:
            search.ack_number = packet.ack_number
        self._searches.move_to_end(packet.flow)
        if len(search.packets) < MAX_QUEUED_PACKETS:
            search.packets.append(QueuedPacket(packet, payload))
        return not search.awaits_answer

    def record_refusal(self, flow, node, target=""):
        """Record that the target of an agent does not hold a flow.

        Parameters
        ----------
        flow : Flow
            The flow.
        node : str
            The agent.
        target : str
            Its present target, if the agent answers without having been asked.

        Returns
        -------
        bool
            Whether `next_step` is due.
        """
        search = self._searches.get(flow)
        if search is None:
            return False
        # A skipped agent that refuses has not kept what it was sent on arrival.
        for nodes in (search.presumed, search.unanswered, search.skipped):
            nodes.discard(node)
        search.refused_by[node] = search.targets.get(node, target)
        return self._record_answer(search, node)

    def record_uncertain(self, flow, node):
        """Record that an agent has no record of a flow, and does not know all flows.

        Returns whether `next_step` is due.
        """
        search = self._searches.get(flow)
        if search is None or search.queried.pop(node, None) is None:
            return False
        search.uncertain.add(node)
        return not search.awaits_answer

    def record_unanswered(self, flow, node):
        """Record that an agent has answered a lookup or probe, but could not tell.

        Returns whether `next_step` is due.
        """
        search = self._searches.get(flow)
        if search is None:
            return False
        if node not in search.refused_by:
            asks_target = search.with_packet or node == search.probed_node
            (search.unanswered if asks_target else search.uncertain).add(node)
        return self._record_answer(search, node)

    def record_presumed(self, flow, node):
        """Record that the target of an agent runs and has not returned a packet.

        Returns whether `next_step` is due.
        """
        search = self._searches.get(flow)
        if search is None:
            return False
        # An answer that comes after the timeout counts only if the agent is not asked
        # again: another attempt has begun or the agent is due for one.
        if node in search.looked_up:
            search.presumed.add(node)
        return self._record_answer(search, node)

    def skip_agent(self, flow, node):
        """Ask the other agents first, because this one may be unreachable.

        The missing answer does not count as a refusal: the agent's target may hold
        the flow.
        """
        self._searches[flow].skipped.add(node)

    def charge_datagrams(self, count, now):
        """Charge the budget for datagrams with lookups."""
        self._budget.charge(now, count * DATAGRAM_COST_US)

    def finish(self, flow):
        """End the search for a flow; return its `Search`, or None if there was none."""
        return self._searches.pop(flow, None)

    def next_step(
        self, flow, members, complete, now, answers_lookups=lambda node: True
    ):
        """Return the next step of a search, one of the structs in this module.

        Parameters
        ----------
        flow : Flow
            A flow with a search and at least one queued packet.
        members : sequence of Member
            All known agents that may hold it, most likely first. The order matters
            for the first round only.
        complete : bool
            Whether ``members`` is known to include every agent.
        now : float
            Seconds on a monotonic clock.
        answers_lookups : callable
            Whether an agent, given by its name, understands lookups. Agents of an
            older version do not, and are probed instead.
        """
        search = self._searches[flow]
        if search.awaits_answer:
            return AwaitAnswers()
        search.forget_ended_targets(members)
        possible = [m for m in members if m.node not in search.refused_by]
        if members and not possible and complete:
            del self._searches[flow]
            return NotFound()
        if now < search.retry_at or search.presumed_holder:
            return AwaitAnswers()
        search.throttled = False
        if not search.first_round_over:
            first = [m for m in possible if m.node not in search.skipped][:FIRST_BATCH]
            if first:
                return self._query(search, first, now)
            search.first_round_over = True
        pending = [m for m in possible if not search.is_settled(m.node)]
        if to_ask := [m for m in pending if answers_lookups(m.node)]:
            unasked = [m for m in to_ask if m.node not in search.uncertain]
            is_costly = len(self._searches) > FEW_SEARCHES and not search.sent_to
            if unasked and is_costly:
                return self._look_up(search, unasked, now)
            return self._look_up_with_packet(search, to_ask, now)
        if pending:
            return self._probe(search, pending[0], now)
        if len(possible) == 1 and possible[0].node in search.presumed:
            search.presumed_holder = possible[0].node
            return PresumeHolder(search.presumed_holder)
        search.end_attempt()
        return Inconclusive("agents-silent" if possible else "agents-unknown")

    def expire_queries(self, now):
        """Time out queries, lookups and probes, and drop searches of idle callers.

        Returns
        -------
        list of Flow
            The flows for which `next_step` is due. Of those that wait for a rate
            limit, the ones with the least effort: a flow that is held is mostly found
            by one of the first steps.
        """
        due, retried, throttled = [], [], []
        for flow, search in list(self._searches.items()):
            if self._expire_answers(search, now):
                due.append(flow)
            elif search.awaits_answer:
                continue
            elif now - search.last_packet_at >= IDLE_SEARCH_TIMEOUT_S:
                del self._searches[flow]
                if not search.presumed_holder:
                    self._abandoned.append((flow, search))
            elif search.throttled:
                throttled.append(flow)
            elif search.retry_at and now >= search.retry_at:
                retried.append(flow)
        throttled.sort(key=lambda flow: self._searches[flow].effort)
        retried.sort(key=lambda flow: self._searches[flow].retry_at)
        return due + retried[:MAX_RETRIED_SEARCHES] + throttled[:MAX_RESUMED_SEARCHES]

    def pop_abandoned(self):
        """Return (flow, `Search`) pairs of the searches that ended without a result."""
        abandoned, self._abandoned = self._abandoned, []
        return abandoned

    def _query(self, search, members, now):
        if not self._budget.try_overdraw(now, len(members) * QUERY_COST_US):
            return self._throttle(search)
        search.first_round_over = True
        nodes = self._record_asked(search, members, now)
        search.queried = dict.fromkeys(nodes, now)
        return QueryAgents(nodes)

    def _look_up(self, search, members, now):
        if not self._budget.try_overdraw(now, len(members) * LOOKUP_COST_US):
            return self._throttle(search)
        search.with_packet = False
        nodes = self._record_asked(search, members, now)
        search.looked_up = dict.fromkeys(nodes, now)
        return LookUp(nodes, with_packet=False)

    def _look_up_with_packet(self, search, members, now):
        cost_us = len(members) * LOOKUP_COST_US
        size = len(members) * (ITEM_BYTES + len(search.packets[0].payload))
        # Once a target that does not hold the flow was sent a packet of it, the other
        # agents must be asked at once: the packets of a flow may not reach foreign
        # targets for long while its own gets none.
        is_urgent = search.sent_to and any(
            m.node not in search.sent_to for m in members
        )
        if is_urgent:
            self._packet_budget.charge(now, size)
        elif not self._packet_budget.try_overdraw(now, size):
            return self._throttle(search)
        self._budget.charge(now, cost_us)
        search.with_packet = True
        nodes = self._record_asked(search, members, now)
        search.sent_to.update(nodes)
        search.looked_up = dict.fromkeys(nodes, now)
        return LookUp(nodes)

    def _probe(self, search, member, now):
        number = search.probe_count
        if number >= UNTHROTTLED_PROBES and not self._probe_limiter.try_take(now):
            return self._throttle(search)
        search.probed_node, search.probed_at = member.node, now
        search.sent_to.add(member.node)
        search.probe_count += 1
        return ProbeAgent(member.node, number)

    @staticmethod
    def _record_asked(search, members, now):
        search.asked_count += len(members)
        search.asked_at, search.retry_at = now, 0.0
        for member in members:
            search.targets[member.node] = member.target
        return tuple(m.node for m in members)

    @staticmethod
    def _throttle(search):
        search.throttled = True
        return AwaitAnswers()

    @staticmethod
    def _record_answer(search, node):
        """Clear what was awaited from an agent; return whether nothing else is."""
        search.queried.pop(node, None)
        search.looked_up.pop(node, None)
        if search.probed_node == node:
            search.probed_node = ""
        return not search.awaits_answer

    @staticmethod
    def _expire_answers(search, now):
        """Give up answers that are late; return whether these were the last."""
        if now - search.asked_at < ANSWER_TIMEOUT_S and not search.probed_node:
            return False
        late = [n for n, at in search.queried.items() if now - at >= ANSWER_TIMEOUT_S]
        for node in late:
            # The next round asks this agent too.
            del search.queried[node]
        for node, at in list(search.looked_up.items()):
            if now - at >= LOOKUP_TIMEOUT_S:
                late.append(node)
                del search.looked_up[node]
                search.unanswered.add(node)
        if search.probed_node and now - search.probed_at >= ANSWER_TIMEOUT_S:
            late.append(search.probed_node)
            search.unanswered.add(search.probed_node)
            search.probed_node = ""
        return bool(late) and not search.awaits_answer
