"""The agents that a balancer knows, from their reports and from the store."""

import math
from collections import OrderedDict

import msgspec
import xxhash

from ryesaddle.internal.address import Address
from ryesaddle.internal.median import upper_median
from ryesaddle.internal.membership.readiness_gate import ACK_TIMEOUT_S
from ryesaddle.internal.membership.report_schedule import (
    ACK_INTERVAL_S,
    REPORT_INTERVAL_S,
)
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.view import ServiceView
from ryesaddle.internal.target.usual_answers import (
    UsualAnswer,
    combine_usual_answers,
)
from ryesaddle.internal.target.work_estimate import FORECAST_S
from ryesaddle.internal.wire.passthrough import AgentReport

LIVENESS_INTERVALS = 3.5  # three consecutive reports are missing
AGENT_EXPIRY_S = 30.0  # longer than the store keeps the entry of a silent agent
# A report with a smaller incarnation than the last one is ignored as delayed within
# this time. Later it is accepted: the host's clock was set back before the agent was
# restarted.
MAX_REPORT_DELAY_S = 2.0
# An agent that has just joined has reported less than the load to come: the forecast
# averages over this time.
JOINING_S = FORECAST_S
# Reports arrive no more often. The medians of 100 agents take some 30 us.
MEDIANS_MAX_AGE_S = REPORT_INTERVAL_S
USUAL_ANSWERS_MAX_AGE_S = ACK_INTERVAL_S  # each agent reports them as often
# If fewer have settled, the others share the new flows and replace what has gone.
MIN_SETTLED_SHARE = 0.75
# Estimates that differ by less are taken for equal: they deviate by 8 to 17 %, which
# must not change the order of equal targets.
EQUAL_WORK_FACTOR = 1.3
# Below this median forecast, requests per slot, flows count as having one request each.
LONG_FLOW_FORECAST = 0.1
# Departed agents are remembered so that an outdated store entry does not add them
# again. Each takes a name and two numbers.
MAX_DEPARTED_AGENTS = 1_024


class TargetEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of an agent and its target in the store.

    Attributes
    ----------
    node, service, data_centre : str
        Name of the agent, its service and its data centre.
    address : Address
        Where the agent receives datagrams.
    target : str
        Identifier of the target.
    draining : bool
        Whether the target is draining before it stops.
    control : Address or None
        Where the agent serves HTTP requests, if known.
    """

    node: str
    service: str
    data_centre: str
    address: Address
    control: Address | None = None
    target: str = ""
    draining: bool = False


class _Agent(msgspec.Struct):
    member: Member
    open: bool
    slots: int
    incarnation: int = 0
    load: float = 0.0
    sequence: int = 0
    interval_s: float = 0.2
    unreported_flows: int = 0
    updated_at: float = 0.0
    last_report_at: float | None = None
    # Whether the present run of the agent has named its target. Until then, the target
    # that an earlier run named is kept, since a restarted agent asks for it.
    has_named_target: bool = False
    work_s: float = 0.0
    forecast: float = 0.0
    joined_at: float = -math.inf
    answers_lookups: bool = True
    on_probation: bool = False
    usual_answers: tuple[UsualAnswer, ...] = ()


class _Medians(msgspec.Struct, frozen=True):
    """Medians over the agents of a service; 0 if no agent has reported a value.

    ``joining_forecast`` counts for agents that have just joined.
    """

    computed_at: float
    work_s: float
    forecast: float
    joining_forecast: float


class AgentDirectory:
    """Registry of the agents of all services.

    Reports from agents take precedence over entries from the store.

    Attributes
    ----------
    complete : bool
        Whether every registered agent is known or will report on its own.
    on_return : callable
        Called with the name of an agent that was silent and is heard again. An agent
        that joined behind the same cut may not be known.
    """

    def __init__(self):
        self.complete = False
        self.on_return = lambda node: None
        self._agents = {}
        self._departed = OrderedDict()
        self._views = {}
        self._medians = {}
        self._usual_answers = {}
        self._version = 0
        self._digest = None

    def __len__(self):
        return len(self._agents)

    def view(self, service):
        """Return the `ServiceView` of a service, or None if no agent serves it."""
        view = self._views.get(service)
        if view is None:
            view = self._build_view(service)
            if view is not None:
                self._views[service] = view
        return view

    def members(self):
        """Return all agents as `Member` items."""
        return [agent.member for agent in self._agents.values()]

    def count_open(self):
        """Return the number of agents that accept new flows."""
        return sum(agent.open for agent in self._agents.values())

    def digest(self):
        """Return an order-independent hash of the names and addresses of all agents."""
        if self._digest is None:
            names = sorted(f"{m.node} {m.address}" for m in self.members())
            self._digest = xxhash.xxh3_64_intdigest("|".join(names).encode())
        return self._digest

    def find(self, node):
        """Return the agent with this name as a `Member`, or None."""
        agent = self._agents.get(node)
        return None if agent is None else agent.member

    def apply_report(self, report: AgentReport, now):
        """Update an agent from its report.

        Returns
        -------
        str or None
            The change for the event log ("appeared", "open", "closed", "failing",
            "not-failing" or "gone"), None if nothing changed.
        """
        held = self._agents.get(report.node)
        if self._is_outdated(report, held, now):
            return None
        if held is not None and held.incarnation == report.incarnation:
            self.record_sign_of_life(report.node, now)
        if report.gone:
            self._departed[report.node] = (report.incarnation, now)
            if len(self._departed) > MAX_DEPARTED_AGENTS:
                self._departed.popitem(last=False)
            self.remove(report.node)
            return "gone"
        target, draining = report.target, report.draining
        has_named_target = bool(target) or (
            held is not None
            and held.incarnation == report.incarnation
            and held.has_named_target
        )
        if held is not None and not has_named_target:
            target, draining = held.member.target, held.member.draining
        member = Member(
            node=report.node,
            # Flows belong to the target, so a restarted agent is the same member.
            incarnation=0,
            address=report.address,
            control=report.address,
            data_centre=report.data_centre,
            service=report.service,
            target=target,
            draining=draining,
            failing=report.failing,
        )
        agent = _Agent(
            member,
            report.open,
            report.slots,
            report.incarnation,
            report.load,
            report.sequence,
            report.interval_s,
            updated_at=now,
            last_report_at=now,
            has_named_target=has_named_target,
            work_s=report.work_s,
            forecast=report.forecast,
            joined_at=held.joined_at if _is_same_run(held, report) else now,
            answers_lookups=report.answers_lookups,
            on_probation=report.on_probation,
            usual_answers=report.usual_answers
            or (held.usual_answers if _is_same_run(held, report) else ()),
        )
        self._agents[report.node] = agent
        if held is not None and (held.member, held.open) == (member, report.open):
            return None
        self._invalidate_views(held, member)
        if held is None or held.member.target != member.target:
            return "appeared"
        if held.member.failing != member.failing:
            return "failing" if member.failing else "not-failing"
        return "open" if report.open else "closed"

    def add_entries(self, entries, now):
        """Add agents from store entries, unless they are known or have departed."""
        for entry in entries:
            if entry.node in self._agents or entry.node in self._departed:
                continue
            member = Member(
                node=entry.node,
                incarnation=0,
                address=entry.address,
                control=entry.address,
                data_centre=entry.data_centre,
                service=entry.service,
                target=entry.target,
                draining=entry.draining,
            )
            is_open = entry.target != "" and not entry.draining
            self._agents[entry.node] = _Agent(member, is_open, 1, updated_at=now)
            self._invalidate_views(None, member)

    def remove(self, node):
        """Remove an agent."""
        agent = self._agents.pop(node, None)
        if agent is not None:
            self._invalidate_views(agent, agent.member)

    def answers_lookups(self, node):
        """Whether an agent understands `FlowLookup`; assumed until its first report."""
        agent = self._agents.get(node)
        return agent is None or agent.answers_lookups

    def count_flow(self, node):
        """Count a new flow towards an agent's load until its next report."""
        agent = self._agents.get(node)
        if agent is not None:
            agent.unreported_flows += 1

    def load(self, member):
        """Return the load per slot of an agent's target."""
        agent = self._agents.get(member.node)
        if agent is None:
            return 0.0
        return agent.load + agent.unreported_flows / agent.slots

    def relative_work(self, member, now):
        """Return the time of a request relative to the median of the service.

        It is 1 for agents without an estimate, and for those that differ from the
        median by no more than the estimates vary.
        """
        agent, median_s = self._agents.get(member.node), 0.0
        if agent is not None and agent.work_s > 0:
            median_s = self._service_medians(member.service, now).work_s
        if not median_s:
            return 1.0
        ratio = agent.work_s / median_s
        is_equal = 1 / EQUAL_WORK_FACTOR <= ratio <= EQUAL_WORK_FACTOR
        return 1.0 if is_equal else ratio

    def forecast(self, member, now):
        """Return the expected requests per slot from the open flows of an agent.

        An agent that has joined within `JOINING_S`, unless many have, counts with the
        median of its service at least, since its forecast does not show the requests
        to come yet. So does one without an estimate of its work, which may be of an
        older version that reports no forecast. All new flows would go to it otherwise.
        """
        agent = self._agents.get(member.node)
        if agent is None:
            return 0.0
        if now - agent.joined_at < JOINING_S:
            median = self._service_medians(member.service, now).joining_forecast
            return max(agent.forecast, median)
        if agent.work_s == 0:
            median = self._service_medians(member.service, now).forecast
            return max(agent.forecast, median)
        return agent.forecast

    def is_on_probation(self, node):
        """Whether the target of an agent gets probes: it has failed requests before."""
        agent = self._agents.get(node)
        return agent is not None and agent.on_probation

    def usual_answers(self, service, now):
        """Return the `UsualAnswer` of each route of a service, over its targets."""
        computed_at, answers = self._usual_answers.get(service, (-math.inf, ()))
        if now - computed_at >= USUAL_ANSWERS_MAX_AGE_S:
            answers = combine_usual_answers(
                agent.usual_answers
                for agent in self._agents.values()
                if agent.member.service == service
            )
            self._usual_answers[service] = now, answers
        return answers

    def count_failing(self):
        """Return the number of agents whose targets fail their requests."""
        return sum(agent.member.failing for agent in self._agents.values())

    def has_long_flows(self, service, now):
        """Whether the flows of a service bring several requests each."""
        return self._service_medians(service, now).forecast >= LONG_FLOW_FORECAST

    def live_agents(self, now):
        """Return the names of the agents that are alive."""
        return {node for node in self._agents if self.is_alive(node, now)}

    def silent_agents(self, now):
        """Return the names of the agents that do not report at present."""
        return self._agents.keys() - self.live_agents(now)

    def is_alive(self, node, now):
        """Whether an agent has reported within the last `LIVENESS_INTERVALS`."""
        agent = self._agents.get(node)
        if agent is None or agent.last_report_at is None:
            return False
        return now - agent.last_report_at <= LIVENESS_INTERVALS * agent.interval_s

    def record_sign_of_life(self, node, now):
        """Record that an agent was heard, in a report or otherwise."""
        agent = self._agents.get(node)
        if agent is None or agent.last_report_at is None:
            return
        # An agent that joins waits that long for a balancer that does not answer.
        max_silence_s = max(ACK_TIMEOUT_S, LIVENESS_INTERVALS * agent.interval_s)
        if now - agent.last_report_at > max_silence_s:
            self.on_return(node)

    def expired(self, now):
        """Return the agents without a report for `AGENT_EXPIRY_S` as `Member` items."""
        return [
            agent.member
            for agent in self._agents.values()
            if now - agent.updated_at > AGENT_EXPIRY_S
        ]

    def remove_expired(self, now, registered=()):
        """Remove and return the `expired` agents that are not ``registered``."""
        gone = [m for m in self.expired(now) if m.node not in registered]
        for member in gone:
            self.remove(member.node)
        return gone

    def _service_medians(self, service, now):
        medians = self._medians.get(service)
        if medians is None or now - medians.computed_at >= MEDIANS_MAX_AGE_S:
            agents = [
                agent
                for agent in self._agents.values()
                if agent.member.service == service
                and agent.open
                and self.is_alive(agent.member.node, now)
            ]
            settled = [
                agent
                for agent in agents
                if agent.work_s > 0 and now - agent.joined_at >= JOINING_S
            ]
            forecast = upper_median([agent.forecast for agent in settled or agents])
            is_settled = len(settled) >= MIN_SETTLED_SHARE * len(agents)
            medians = self._medians[service] = _Medians(
                now,
                upper_median([agent.work_s for agent in agents if agent.work_s > 0]),
                forecast,
                forecast if is_settled else 0.0,
            )
        return medians

    def _is_outdated(self, report, held, now):
        if report.node in self._departed:
            incarnation, departed_at = self._departed[report.node]
            if report.incarnation == incarnation:
                return True
            if (
                report.incarnation < incarnation
                and now - departed_at < MAX_REPORT_DELAY_S
            ):
                return True
        if held is None or held.last_report_at is None:
            return False
        if report.incarnation == held.incarnation:
            return report.sequence <= held.sequence
        return (
            report.incarnation < held.incarnation
            and now - held.last_report_at < MAX_REPORT_DELAY_S
        )

    def _invalidate_views(self, held, member):
        self._version += 1
        self._digest = None
        self._views.pop(member.service, None)
        if held is not None:
            self._views.pop(held.member.service, None)

    def _build_view(self, service):
        agents = [a for a in self._agents.values() if a.member.service == service]
        if not agents:
            return None
        closed = frozenset(a.member.node for a in agents if not a.open)
        members = tuple(a.member for a in agents)
        return ServiceView(service, self._version, members, closed)


def _is_same_run(held, report):
    """Whether an agent has reported in the same run and for the same target before."""
    return (
        held is not None
        and held.incarnation == report.incarnation
        and held.member.target == report.target
    )
