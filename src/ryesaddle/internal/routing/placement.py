"""Balancer-side choice of agents for flows whose state the targets hold."""

from itertools import islice

from ryesaddle.internal.admission.health import FAILING_LOAD
from ryesaddle.internal.routing.dispatcher import Discard, Dispatch
from ryesaddle.internal.routing.flow_cache import FlowCache
from ryesaddle.internal.routing.liveness import Liveness
from ryesaddle.internal.routing.rendezvous import flow_key, rank

# Three candidates close 90 % of the gap between hashing and one shared queue.
MAX_CANDIDATES = 3
# A choice lasts for a long flow, so more candidates pay. With many more, balancers
# whose views are 0.2 s old choose the same agents (bench/long_flows.py).
LONG_FLOW_CANDIDATES = 6
# Of these, agents of the balancer's own data centre; the others spread the load.
MAX_LOCAL_CANDIDATES = 2
REMOTE_LOAD_PENALTY = 0.5  # cost of crossing to another data centre, as agent load


class Placement:
    """Chooses agents for new flows and ranks the agents that may hold an open one.

    All state is a cache: a balancer searches for flows that it has no entry for.

    Parameters
    ----------
    data_centre : str
        Data centre that the balancer runs in.
    directory : AgentDirectory
        The agents, their load and whether they are alive.
    """

    def __init__(self, data_centre, directory):
        self._data_centre = data_centre
        self._directory = directory
        self._flows = FlowCache()
        self._evacuated = frozenset()
        self.liveness = Liveness()

    def __len__(self):
        return len(self._flows)

    def set_evacuated(self, data_centres):
        """Place no new flows in these data centres from now on, only in others."""
        self._evacuated = frozenset(data_centres)

    def is_evacuated(self, service):
        """Whether all targets of a service are in evacuated data centres."""
        view = self._directory.view(service) if self._evacuated else None
        if view is None:
            return False
        return all(m.data_centre in self._evacuated for m in view.members)

    def find(self, flow):
        """Return the `Member` that a flow was last sent to, or None if unknown.

        Its service may be another one than the route gives now, because open flows
        stay at their target when the configuration changes.
        """
        node = self._flows.get(flow)
        return None if node is None else self._directory.find(node)

    def record_agent(self, flow, node):
        """Cache the agent of a flow."""
        self._flows.put(flow, node)

    def forget(self, flow):
        """Remove the cached agent of a flow."""
        self._flows.drop(flow)

    def describe(self, caller):
        """Return one dict for each cached flow of a caller."""
        return [
            {"flow": str(flow), "sent_to": node}
            for flow, node in self._flows.items()
            if str(flow.caller) == caller
        ]

    def choose_agent(self, service, flow, copy, now, repeatable=False):
        """Return a `Dispatch` or `Discard` for a packet that opens a flow.

        Parameters
        ----------
        service : str
            Service of the flow.
        flow : Flow
            The flow.
        copy : int
            How many times the packet was sent before; each copy gets different
            candidates, if there are enough agents.
        now : float
            Seconds on a monotonic clock.
        repeatable : bool
            Whether the caller may repeat its requests, so that the flow may be a probe
            of a target that has failed requests before.
        """
        known = self.find(flow)
        if (
            known is not None
            and known.service == service
            and known.data_centre not in self._evacuated
            and self.is_alive(known, now)
        ):
            # An earlier copy of the packet is queued at that agent or in transit.
            self.liveness.expect_answer(known.node, now)
            return Dispatch(known, "cached")
        ranked = self._ranked_members(service, flow, True, probes=repeatable)
        alive = (m for m in ranked if self.is_alive(m, now))
        # Checking only the first live agents bounds the cost of a new flow.
        is_long = self._directory.has_long_flows(service, now)
        count = LONG_FLOW_CANDIDATES if is_long else MAX_CANDIDATES
        eligible = list(islice(alive, count * (copy + 1))) or ranked
        if not eligible:
            evacuated = self.is_evacuated(service)
            return Discard("evacuated" if evacuated else "no-open-member")
        first = (copy * count) % len(eligible)
        candidates = (eligible[first:] + eligible[:first])[:count]
        candidates.sort(key=lambda member: self._cost(member, now))
        if self._directory.load(candidates[0]) >= FAILING_LOAD:
            candidates[1:1] = self._rank_failing(service, flow, candidates, now)[:1]
        self.liveness.expect_answer(candidates[0].node, now)
        others = tuple(candidates[1:MAX_CANDIDATES])
        return Dispatch(candidates[0], "least-loaded", others)

    def explain(self, member, now):
        """Return what the choice of an agent depends on, for the log."""
        return {
            "load": round(self._directory.load(member), 2),
            "forecast": round(self._directory.forecast(member, now), 2),
            "work": round(self._directory.relative_work(member, now), 2),
            "cost": round(self._cost(member, now), 2),
        }

    def rank_agents(self, service, flow, opens, now):
        """Return the agents that may accept or hold a flow, most likely first.

        Live agents precede silent ones. The candidates of new flows are taken from
        the same order, so the first agents in it hold nearly all open flows.

        Parameters
        ----------
        service : str
            Service of the flow.
        flow : Flow
            The flow.
        opens : bool
            Whether to return only agents that accept new flows.
        now : float
            Seconds on a monotonic clock.
        """
        ranked = self._ranked_members(service, flow, opens)
        ranked.sort(key=lambda m: not self.is_alive(m, now))
        return ranked

    def rank_for_search(self, services, flow, now):
        """Return the agents of all services, those most likely to hold a flow first.

        Any agent may hold the flow, since the services of its route may have changed
        after it was opened. Live agents precede silent ones.

        Parameters
        ----------
        services : sequence of str
            Services that the route of the flow gives now, that of new flows first;
            empty if the route is not known.
        flow : Flow
            The flow.
        now : float
            Seconds on a monotonic clock.
        """
        ranked = [self._ranked_members(service, flow, False) for service in services]
        # The first candidates of each service hold nearly all of its flows.
        members = [m for r in ranked for m in r[:MAX_CANDIDATES]]
        members += [m for r in ranked for m in r[MAX_CANDIDATES:]]
        members += [m for m in self._directory.members() if m.service not in services]
        members.sort(key=lambda m: not self.is_alive(m, now))
        return members

    def is_alive(self, member, now):
        """Return whether an agent was heard from recently and is not suspect."""
        if self.liveness.is_suspect(member.node, now):
            return False
        return self._directory.is_alive(member.node, now)

    def _ranked_members(self, service, flow, opens, probes=False):
        view = self._directory.view(service)
        if view is None:
            return []
        members = view.members
        if opens:
            members = view.open_members
            if probes:
                members += tuple(
                    member
                    for member in view.excluded_members
                    if self._directory.is_on_probation(member.node)
                )
            if self._evacuated:
                members = [m for m in members if m.data_centre not in self._evacuated]
        return self._local_first(rank(flow_key(service, flow), members))

    def _rank_failing(self, service, flow, candidates, now):
        """Return the members with failing targets that may relieve the candidates."""
        failing = [
            member
            for member in self._directory.view(service).excluded_members
            if member not in candidates
            and member.data_centre not in self._evacuated
            and self.is_alive(member, now)
        ]
        return rank(flow_key(service, flow), failing)

    def _local_first(self, ranked):
        local = [m for m in ranked if m.data_centre == self._data_centre]
        remote = [m for m in ranked if m.data_centre != self._data_centre]
        remote_slots = MAX_CANDIDATES - len(local[:MAX_LOCAL_CANDIDATES])
        return (
            local[:MAX_LOCAL_CANDIDATES]
            + remote[:remote_slots]
            + local[MAX_LOCAL_CANDIDATES:]
            + remote[remote_slots:]
        )

    def _cost(self, member, now):
        """Return the expected time to complete a request of a new flow.

        The unit is the median time of a request of the service. With equal targets
        and one request for each flow, the order is that of load alone.
        """
        is_remote = member.data_centre != self._data_centre
        directory = self._directory
        ahead = directory.load(member) + directory.forecast(member, now)
        work = directory.relative_work(member, now)
        return work * (ahead + 1) + REMOTE_LOAD_PENALTY * is_remote
