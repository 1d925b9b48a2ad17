"""Searches for the agents of flows that a balancer does not remember."""

from collections import OrderedDict

import msgspec

from ryesaddle.internal.routing.packet import Packet
from ryesaddle.internal.store.pacing import TokenBucket

# An agent answers within a few milliseconds whether its target holds a flow; it
# waits 20 ms itself for the target to return the packet.
ANSWER_S = 0.1
FORGET_S = 10.0  # a caller that has not sent for so long sends no more
MAX_SEARCHES = 2_000  # bounds memory; one for each flow whose agent is not known
MAX_PACKETS = 4  # of one flow that wait for its agent; callers send more again
# Nearly every flow that lives is found among the first agents. What lies beyond is
# mostly flows that ended with their target, which must not take a small host's
# processor from the others: 100 questions cost it about 30 ms.
FREE_QUESTIONS = 6
QUESTIONS_PER_S, QUESTION_BURST = 100.0, 100


class Waiting(msgspec.Struct, frozen=True):
    """A packet that waits for the agent of its flow."""

    packet: Packet
    payload: bytes


class Search(msgspec.Struct):
    """What is known of one flow.

    Attributes
    ----------
    service : str
        Service of the flow.
    packets : list of Waiting
        Its packets, oldest first; the first is with the agent that is asked now.
    asked : set of str
        Agents that do not hold it.
    silent : set of str
        Agents that have not answered.
    node : str
        The agent that is asked now, empty if none is.
    sent_at, active_at : float
        When that was, and when the caller has last sent, in seconds.
    """

    service: str
    packets: list[Waiting]
    asked: set[str]
    silent: set[str]
    node: str = ""
    sent_at: float = 0.0
    active_at: float = 0.0


class Ask(msgspec.Struct, frozen=True):
    """Send the first packet of the flow to this agent."""

    node: str
    number: int


class Nowhere(msgspec.Struct, frozen=True):
    """No agent holds the flow: every one of them has said so."""


class Unknown(msgspec.Struct, frozen=True):
    """Wait for the caller to send again; ``reason`` tells why."""

    reason: str


class Searches:
    """Asks one agent after the other for each flow.

    What an agent has answered holds on: a flow that is open moves to no other
    target. So each agent is asked once for a flow, however often its caller sends.
    """

    def __init__(self):
        self._searches = OrderedDict()
        self._bucket = TokenBucket(QUESTIONS_PER_S, QUESTION_BURST)

    def __len__(self):
        return len(self._searches)

    def __contains__(self, flow):
        return flow in self._searches

    def __getitem__(self, flow):
        return self._searches[flow]

    def add(self, packet, payload, service, now):
        """Note a packet of a flow; return whether an agent is to be asked now."""
        search = self._searches.get(packet.flow)
        if search is None:
            search = self._searches[packet.flow] = Search(service, [], set(), set())
            if len(self._searches) > MAX_SEARCHES:
                self._searches.popitem(last=False)
        search.active_at = now
        self._searches.move_to_end(packet.flow)
        if len(search.packets) < MAX_PACKETS:
            search.packets.append(Waiting(packet, payload))
        return not search.node

    def refused(self, flow, node):
        """Note that an agent does not hold a flow; return whether to go on."""
        search = self._searches.get(flow)
        if search is None:
            return False
        search.asked.add(node)
        search.silent.discard(node)
        if search.node not in ("", node):
            return False
        search.node = ""
        return True

    def pass_over(self, flow, node):
        """Ask the others first: an agent was sent the packet and may be dark.

        That it is silent says nothing of the flow, which its target may hold.
        """
        search = self._searches[flow]
        if node not in search.asked:
            search.silent.add(node)

    def held(self, flow):
        """End the search for a flow that is found; return its `Search`, or None."""
        return self._searches.pop(flow, None)

    def next(self, flow, members, complete, now):
        """Return `Ask`, `Nowhere` or `Unknown`.

        Parameters
        ----------
        flow : Flow
            The flow.
        members : sequence of Member
            All agents that may hold it, the likeliest first.
        complete : bool
            Whether these are certainly all.
        now : float
            Seconds on a monotonic clock.
        """
        search = self._searches[flow]
        left = [m for m in members if m.node not in search.asked | search.silent]
        if left:
            number = len(search.asked) + len(search.silent)
            if number >= FREE_QUESTIONS and not self._bucket.try_take(now):
                return self._pause(search, "too-many-questions")
            search.node, search.sent_at = left[0].node, now
            return Ask(left[0].node, number)
        if complete and not search.silent and members:
            del self._searches[flow]
            return Nowhere()
        reason = "agents-silent" if search.silent else "agents-unknown"
        search.silent.clear()
        return self._pause(search, reason)

    def overdue(self, now):
        """Return the flows whose agent has not answered; forget the old ones."""
        found = []
        for flow, search in list(self._searches.items()):
            if search.node and now - search.sent_at >= ANSWER_S:
                search.silent.add(search.node)
                search.node = ""
                found.append(flow)
            elif not search.node and now - search.active_at >= FORGET_S:
                del self._searches[flow]
        return found

    @staticmethod
    def _pause(search, reason):
        search.packets.clear()
        return Unknown(reason)
