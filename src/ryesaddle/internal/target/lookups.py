"""Flows that balancers look up at an agent and that its target is asked about."""

from collections import OrderedDict, defaultdict

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.wire.passthrough import FlowId, FlowLookupResult

# A target returns a packet within a millisecond. More packets at once could fill its
# receive buffer, and a packet lost there would look like one that it has kept.
MAX_ASKED = 256
MAX_WAITING = 4_096  # bounds memory: the payloads take at most 5 MB
MAX_LATE = 4_096  # packets that a slow target may still return; bounds memory
MAX_RESULT_FLOWS = 32  # an encoded flow takes 30 bytes; results fit into 1,200 bytes


class _Lookup(msgspec.Struct):
    payload: bytes
    balancers: list[Address]
    token: int = 0
    asked_at: float = 0.0


class FlowLookups:
    """Tracks which flows the target was asked about, and collects the answers.

    Addresses thousands of flows that are looked up at once after a power loss: the
    target is asked about a bounded number at a time, about each flow only once for
    all balancers, and answers for one balancer share datagrams.
    """

    def __init__(self):
        self._waiting = OrderedDict()
        self._asked = OrderedDict()
        self._flow_by_token = {}
        self._late = OrderedDict()
        self._answers = defaultdict(list)

    def __len__(self):
        return len(self._waiting) + len(self._asked)

    def add(self, flow, payload, balancer):
        """Add a flow that the target must be asked about.

        The answer is "unsure" at once if too many flows wait.
        """
        lookup = self._asked.get(flow) or self._waiting.get(flow)
        if lookup is not None:
            if balancer not in lookup.balancers:
                lookup.balancers.append(balancer)
        elif len(self._waiting) < MAX_WAITING:
            self._waiting[flow] = _Lookup(payload, [balancer])
        else:
            self.record_answer(flow, balancer, "unsure")

    def next_waiting(self):
        """Return the next flow to ask the target about, or None.

        Returns
        -------
        tuple of Flow, bytes and Address
            The flow, a packet of it, and the balancer that sent the packet.
        """
        if not self._waiting or len(self._asked) >= MAX_ASKED:
            return None
        flow, lookup = next(iter(self._waiting.items()))
        return flow, lookup.payload, lookup.balancers[0]

    def record_asked(self, flow, token, now):
        """Record that the target is sent a packet of a waiting flow.

        Parameters
        ----------
        flow : Flow
            The flow.
        token : int
            Attached to the packet.
        now : float
            Seconds on a monotonic clock.
        """
        lookup = self._asked[flow] = self._waiting.pop(flow)
        lookup.token, lookup.asked_at = token, now
        self._flow_by_token[token] = flow

    def record_return(self, token, flow):
        """Record that the target returned a packet; return whether it was a lookup."""
        if self._flow_by_token.get(token) == flow:
            self.resolve(flow, "absent")
            return True
        # The return of a target that is busy, as many are after a power loss, replaces
        # the earlier answer.
        late_flow, balancers = self._late.get(token, (None, ()))
        if late_flow != flow:
            return False
        del self._late[token]
        for balancer in balancers:
            self.record_answer(flow, balancer, "absent")
        return True

    def resolve(self, flow, verdict):
        """Answer all balancers that wait for a flow; return whether any does.

        Parameters
        ----------
        flow : Flow
            The flow.
        verdict : str
            Name of the field of `FlowLookupResult` that lists the flow.
        """
        lookup = self._asked.pop(flow, None) or self._waiting.pop(flow, None)
        if lookup is None:
            return False
        self._flow_by_token.pop(lookup.token, None)
        for balancer in lookup.balancers:
            self.record_answer(flow, balancer, verdict)
        return True

    def record_answer(self, flow, balancer, verdict):
        """Add an answer to the next result for a balancer."""
        self._answers[balancer].append((verdict, FlowId(*flow)))

    def expire(self, now, delay_s, presumes):
        """Answer for the flows whose packet the target has not returned in time.

        Parameters
        ----------
        now : float
            Seconds on a monotonic clock.
        delay_s : float
            Time that the target has to return a packet, in seconds.
        presumes : bool
            Whether the target appears to run. A target that has crashed returns
            nothing either, so that nothing follows from its silence.
        """
        while self._asked:
            flow, lookup = next(iter(self._asked.items()))
            if now - lookup.asked_at < delay_s:
                break
            self._late[lookup.token] = (flow, lookup.balancers)
            if len(self._late) > MAX_LATE:
                self._late.popitem(last=False)
            self.resolve(flow, "presumed" if presumes else "unsure")

    def ask_again(self):
        """Ask about all flows again, because another run of the target has started."""
        self._flow_by_token.clear()
        self._late.clear()
        self._waiting = OrderedDict((*self._asked.items(), *self._waiting.items()))
        self._asked.clear()

    def pop_results(self, node):
        """Return (balancer, `FlowLookupResult`) pairs for all answers.

        Parameters
        ----------
        node : str
            Name of this agent.
        """
        results = []
        for balancer, answers in self._answers.items():
            for start in range(0, len(answers), MAX_RESULT_FLOWS):
                flows = defaultdict(list)
                for verdict, flow in answers[start : start + MAX_RESULT_FLOWS]:
                    flows[verdict].append(flow)
                fields = {verdict: tuple(found) for verdict, found in flows.items()}
                results.append((balancer, FlowLookupResult(node, **fields)))
        self._answers.clear()
        return results
