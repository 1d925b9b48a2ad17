"""Simulates the balancers and agents of one service and the flows between them."""

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.dispatcher import Dispatch, Dispatcher
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.owner import (
    Accept,
    Arrival,
    Owner,
    PassOn,
    Refuse,
    Silence,
)
from ryesaddle.internal.routing.view import ServiceView
from ryesaddle.internal.wire.message import Forward

SERVICE = "case-desk"
MAX_HOPS = 40


def member(node, incarnation=1, draining=False, service=SERVICE, failing=False):
    """Return an agent as the service view lists it."""
    address = Address("127.0.0.1", 1_000 + sum(node.encode()))
    return Member(
        node=node,
        incarnation=incarnation,
        address=address,
        control=address,
        data_centre="bkk-a",
        service=service,
        target=f"target-{node}",
        draining=draining,
        failing=failing,
    )


class FlowAgent:
    """One incarnation of an agent and the flows that it owns."""

    def __init__(self, me):
        self.owner = Owner(me)
        self.flows = set()
        self.alive = True
        self.load = 0


class FlowSimulation:
    """Balancers and agents with delayed views and lost introductions.

    A test chooses which views arrive, in any order, and which introductions do.
    """

    def __init__(self, nodes, balancers=2):
        self.now = 0.0
        self.version = 0
        self.announced = {}
        self.history = [ServiceView(SERVICE)]
        self.agents = {}
        self.balancers = [Dispatcher() for _ in range(balancers)]
        self.balancer_views = [None] * balancers
        self.hops = 0
        for node in nodes:
            self.start(node)
        self.publish()
        self.settle()

    def start(self, node, incarnation=1):
        me = member(node, incarnation)
        self.agents[node] = FlowAgent(me)
        self.announced[node] = me

    def publish(self):
        """Publish the announced members as the next version of the view."""
        self.version += 1
        members = tuple(m for _, m in sorted(self.announced.items()))
        self.history.append(
            ServiceView(
                SERVICE,
                self.version,
                members,
                generations={"cell": self.version},
            )
        )

    def deliver_view(self, node, version):
        """Deliver a version of the view, which may be an old one, to an agent."""
        view = self.history[min(version, self.version)]
        agent = self.agents.get(node)
        # An agent learns of itself from the store, so never from a view in which
        # it is missing although it was announced before.
        if agent and agent.alive:
            agent.owner.update(view)

    def introduce(self, node, to=None):
        """Deliver an agent's introduction to one member or to all members."""
        agent = self.agents.get(node)
        if agent is None or not agent.alive:
            return
        for peer in agent.owner.unacknowledged():
            other = self.agents.get(peer.node)
            if to not in (None, peer.node) or other is None or not other.alive:
                continue
            if other.owner.me.identity != peer.identity:
                continue
            generation = agent.owner.view.generations["cell"]
            if other.owner.introduced(agent.owner.me, "cell", generation):
                agent.owner.acknowledged(peer.identity)

    def settle(self):
        """Deliver the latest view and all introductions to every live process."""
        for node in self.agents:
            self.deliver_view(node, self.version)
        for node in self.agents:
            self.introduce(node)
        self.balancer_views = [self.history[-1]] * len(self.balancers)

    def send(self, balancer, caller, flow_id, opens):
        """Send a datagram through a balancer.

        Returns the final decision and the agent that made it, or None if no agent did.
        """
        view = self.balancer_views[balancer]
        decision = self.balancers[balancer].route(
            SERVICE, caller, opens, view, self.now
        )
        if not isinstance(decision, Dispatch):
            return Silence(decision.reason), None
        target = decision.member
        forward = Forward(
            SERVICE,
            caller,
            Address("b", balancer),
            target.node,
            target.incarnation,
            b"",
        )
        return self.follow_forwards(target, forward, flow_id, opens, balancer)

    def follow_forwards(self, target, forward, flow_id, opens, balancer):
        for _ in range(MAX_HOPS):
            agent = self.agents.get(target.node)
            if agent is None or not agent.alive:
                return Silence("dead"), None
            owned = flow_id in agent.flows
            arrival = Arrival(forward, owned, opens, flow_id)
            decision = agent.owner.decide(arrival, agent.load)
            if isinstance(decision, Accept):
                agent.flows.add(flow_id)
                me = agent.owner.me
                self.balancers[balancer].answered(
                    SERVICE, forward.caller, me.node, me.incarnation, self.now
                )
            if not isinstance(decision, PassOn):
                return decision, agent
            self.hops += 1
            target = decision.member
            forward = Forward(
                SERVICE,
                forward.caller,
                forward.balancer,
                target.node,
                target.incarnation,
                b"",
                decision.visited,
                decision.pending,
                decision.offer_load,
                decision.returned,
            )
        raise AssertionError("datagram still forwarded after MAX_HOPS hops")

    def stop_when_empty(self, node):
        """Remove an agent if it drains and has no flows; return whether it did."""
        agent = self.agents[node]
        if agent.owner.draining and not agent.flows:
            agent.alive = False
            del self.announced[node]
            return True
        return False


__all__ = ["SERVICE", "Accept", "FlowSimulation", "Refuse", "Silence", "member"]
