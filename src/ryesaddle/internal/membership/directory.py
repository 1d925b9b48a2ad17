"""What a balancer knows of the agents, from their reports and from the store."""

from collections import OrderedDict

import msgspec
import xxhash

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.view import ServiceView
from ryesaddle.internal.wire.passing import AgentReport

HEARD_REPORTS = 3.5  # three reports are missing
FORGET_S = 30.0  # longer than an entry of a silent agent stays in the store
# Packets are at most so late. A smaller incarnation that is heard after it is no
# late report: the host's clock was set back before the agent started again.
OLD_RUN_S = 2.0
MAX_GONE = 1_024  # agents that late entries may name; each is a name and a number


class TargetEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What the store holds of an agent and its target.

    Attributes
    ----------
    node, service, data_centre : str
        The agent, the service it serves, and where it runs.
    address : Address
        Where it receives datagrams.
    target : str
        Identifier of the target.
    draining : bool
        Whether the target is about to stop.
    control : Address or None
        Where it serves HTTP calls, if that is known.
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
    sent: int = 0
    known_at: float = 0.0
    heard_at: float | None = None


class Directory:
    """The agents by service; reports go before entries of the store.

    Attributes
    ----------
    complete : bool
        Whether every agent that has registered is known, or will report by itself.
    """

    def __init__(self):
        self.complete = False
        self._agents = {}
        self._gone = OrderedDict()
        self._views = {}
        self._version = 0
        self._digest = None

    def __len__(self):
        return len(self._agents)

    def view(self, service):
        """Return the `ServiceView` of a service, or None if no agent serves it."""
        view = self._views.get(service)
        if view is None:
            view = self._build(service)
            if view is not None:
                self._views[service] = view
        return view

    def members(self):
        """Return all agents as `Member` items."""
        return [agent.member for agent in self._agents.values()]

    def count_open(self):
        """Return how many agents take new flows."""
        return sum(agent.open for agent in self._agents.values())

    def digest(self):
        """Return an integer that differs between different sets of agents."""
        if self._digest is None:
            names = sorted(f"{m.node} {m.address}" for m in self.members())
            self._digest = xxhash.xxh3_64_intdigest("|".join(names).encode())
        return self._digest

    def find(self, node):
        """Return the `Member` of that name, or None."""
        agent = self._agents.get(node)
        return None if agent is None else agent.member

    def hear(self, report: AgentReport, now):
        """Take a report; return what it changes, as a word for the log, or None."""
        held = self._agents.get(report.node)
        if self._is_old(report, held, now):
            return None
        if report.gone:
            self._gone[report.node] = (report.incarnation, now)
            if len(self._gone) > MAX_GONE:
                self._gone.popitem(last=False)
            self.remove(report.node)
            return "gone"
        member = Member(
            node=report.node,
            # Flows are at the target, so another run of the agent is the same.
            incarnation=0,
            address=report.address,
            control=report.address,
            data_centre=report.data_centre,
            service=report.service,
            target=report.target,
            draining=report.draining,
        )
        agent = _Agent(
            member,
            report.open,
            report.slots,
            report.incarnation,
            report.load,
            report.sequence,
            report.interval_s,
            known_at=now,
            heard_at=now,
        )
        self._agents[report.node] = agent
        if held is not None and (held.member, held.open) == (member, report.open):
            return None
        self._forget_views(held, member)
        if held is None or held.member.target != member.target:
            return "appeared"
        return "open" if report.open else "closed"

    def list(self, entries, now):
        """Take entries of the store for agents that have not reported yet."""
        for entry in entries:
            if entry.node in self._agents or entry.node in self._gone:
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
            self._agents[entry.node] = _Agent(member, is_open, 1, known_at=now)
            self._forget_views(None, member)

    def remove(self, node):
        """Forget an agent."""
        agent = self._agents.pop(node, None)
        if agent is not None:
            self._forget_views(agent, agent.member)

    def sent(self, node):
        """Note a new flow on its way to an agent, for its load until it reports."""
        agent = self._agents.get(node)
        if agent is not None:
            agent.sent += 1

    def load(self, member):
        """Return the work at an agent's target for each of its slots."""
        agent = self._agents.get(member.node)
        if agent is None:
            return 0.0
        return agent.load + agent.sent / agent.slots

    def heard(self, now):
        """Return the names of the agents that have reported lately."""
        return {node for node in self._agents if self.lives(node, now)}

    def lives(self, node, now):
        """Whether an agent has reported lately."""
        agent = self._agents.get(node)
        if agent is None or agent.heard_at is None:
            return False
        return now - agent.heard_at <= HEARD_REPORTS * agent.interval_s

    def forget_silent(self, now):
        """Forget and return the agents that have not reported for long."""
        silent = [
            agent.member
            for agent in self._agents.values()
            if now - agent.known_at > FORGET_S
        ]
        for member in silent:
            self.remove(member.node)
        return silent

    def _is_old(self, report, held, now):
        if report.node in self._gone:
            incarnation, gone_at = self._gone[report.node]
            if report.incarnation == incarnation:
                return True
            if report.incarnation < incarnation and now - gone_at < OLD_RUN_S:
                return True
        if held is None or held.heard_at is None:
            return False
        if report.incarnation == held.incarnation:
            return report.sequence <= held.sequence
        return report.incarnation < held.incarnation and now - held.heard_at < OLD_RUN_S

    def _forget_views(self, held, member):
        self._version += 1
        self._digest = None
        self._views.pop(member.service, None)
        if held is not None:
            self._views.pop(held.member.service, None)

    def _build(self, service):
        agents = [a for a in self._agents.values() if a.member.service == service]
        if not agents:
            return None
        closed = frozenset(a.member.node for a in agents if not a.open)
        members = tuple(a.member for a in agents)
        return ServiceView(service, self._version, members, closed)
