"""Simulates agents that claim keys over a lossy network, with a store for views."""

import random

from ryesaddle.internal.claims.acceptor import Acceptor
from ryesaddle.internal.claims.claimant import Claimant, ClaimStatus
from ryesaddle.internal.claims.handover import Handover, combine
from ryesaddle.internal.claims.identity import ClaimMember
from ryesaddle.internal.claims.message import Accept, Prepare, Release
from ryesaddle.internal.claims.proposal import Granted, HeldBy
from ryesaddle.internal.claims.view import ClaimView

KEY_TTL_S = 1_000_000.0


class ClaimAgent:
    """The state of one incarnation of an agent; a frozen agent does nothing."""

    def __init__(self, name, incarnation):
        self.me = ClaimMember(name, incarnation)
        self.acceptor = Acceptor(self.me, KEY_TTL_S)
        self.claimant = Claimant(self.me, random.Random(incarnation))
        self.claims = []
        self.frozen = False


class ClaimSimulation:
    """Agents whose messages may be lost, duplicated and reordered.

    A test chooses which message arrives next; messages that it never chooses are
    lost.
    """

    def __init__(self, names):
        self.now = 0.0
        self.incarnations = dict.fromkeys(names, 0)
        self.agents = {}
        self.network = []
        self.dispatched = {}
        self.given_up = set()
        self.keys = {}
        self.collected_handovers = {}
        for name in names:
            self.restart(name)
        self.committed = ClaimView(1, tuple(a.me for a in self.agents.values()))
        self.install_all(Handover())

    def restart(self, name):
        """Replace an agent by a new incarnation without any state."""
        self.incarnations[name] += 1
        self.agents[name] = ClaimAgent(name, self.incarnations[name])

    def propose(self, name, key):
        agent = self.agents[name]
        claim, actions = agent.claimant.propose(key, self.now)
        if claim is not None:
            agent.claims.append(claim)
            self.keys[claim] = key
            self.send(agent, actions)
        return claim

    def send(self, agent, actions):
        self.network += [(agent.me, action.to, action.msg) for action in actions]

    def deliver(self, index, keep=False):
        """Deliver one message; with ``keep`` it can be delivered again later."""
        index %= len(self.network)
        sender, to, msg = self.network[index] if keep else self.network.pop(index)
        agent = self.agents.get(to.node)
        if agent is None or agent.me != to or agent.frozen:
            return
        if isinstance(msg, Prepare | Accept | Release):
            answer = agent.acceptor.handle(msg, self.now)
            if answer is not None:
                self.network.append((to, sender, answer))
        else:
            self.send(agent, agent.claimant.handle(sender, msg, self.now))

    def tick(self, seconds):
        self.now += seconds
        for agent in self.agents.values():
            if not agent.frozen:
                self.send(agent, agent.claimant.tick(self.now))

    def give_up(self, claim):
        agent = self.owner(claim)
        if agent is None or agent.frozen:
            return
        if agent.claimant.status(claim)[0] is ClaimStatus.DISPATCHED:
            return
        self.send(agent, agent.claimant.give_up(claim))
        self.given_up.add(claim)

    def take(self, claim):
        agent = self.owner(claim) if claim else None
        if agent and not agent.frozen and agent.claimant.take(claim):
            self.dispatched.setdefault(self.keys[claim], []).append(claim)

    def follow_up(self, claim):
        """Propose a losing claim again if the winning claim was released or lost."""
        agent = self.owner(claim)
        result = agent.claimant.result(claim) if agent else None
        if not isinstance(result, HeldBy):
            return
        holder = self.owner(result.claim)
        if holder is None or holder.frozen:
            return
        if holder.claimant.status(result.claim)[0] in (
            ClaimStatus.RELEASED,
            ClaimStatus.LOST,
        ):
            self.send(agent, agent.claimant.skip(claim, self.now))

    def owner(self, claim):
        agent = self.agents.get(claim.node)
        return agent if agent and agent.me.incarnation == claim.incarnation else None

    def seal(self, name, coordinator):
        """Seal the current view at an agent and pass its handover to a coordinator."""
        agent = self.agents[name]
        if agent.frozen:
            return
        number = self.committed.number
        handover = agent.acceptor.seal(number, self.now)
        if handover is not None:
            handovers = self.collected_handovers.setdefault((coordinator, number), {})
            handovers[agent.me] = handover

    def commit(self, coordinator, names):
        """Commit the next view if the coordinator has handovers from enough members."""
        view = self.committed
        handovers = self.collected_handovers.get((coordinator, view.number), {})
        if not view.is_covered_by(handovers.keys()):
            return None
        members = tuple(self.agents[name].me for name in names)
        self.committed = ClaimView(view.number + 1, members, view.members)
        return self.committed

    def install(self, name, coordinator):
        """Install the committed view at one agent with the coordinator's handovers."""
        agent = self.agents[name]
        view = self.committed
        handovers = self.collected_handovers.get((coordinator, view.number - 1), {})
        old = ClaimView(view.number - 1, view.previous)
        if view.number == 1 or agent.frozen or not old.is_covered_by(handovers.keys()):
            return
        if agent.acceptor.install(view, combine(handovers.values()), self.now):
            self.send(agent, agent.claimant.change_view(view, self.now))

    def install_all(self, handover):
        for agent in self.agents.values():
            if agent.acceptor.install(self.committed, handover, self.now):
                self.send(agent, agent.claimant.change_view(self.committed, self.now))

    def settle(self, rounds=60):
        """Deliver all messages in order, advancing time by 0.5 s after each round."""
        for _ in range(rounds):
            while self.network:
                self.deliver(0)
            self.tick(0.5)

    def granted(self, claim):
        agent = self.owner(claim)
        return agent is not None and isinstance(agent.claimant.result(claim), Granted)


def restart_with_same_incarnation(simulation, name):
    """Restart an agent without its state but, wrongly, with the same incarnation."""
    simulation.agents[name] = ClaimAgent(name, simulation.incarnations[name])
    agent = simulation.agents[name]
    agent.acceptor.install(simulation.committed, Handover(), simulation.now)
    agent.claimant.change_view(simulation.committed, simulation.now)
    agent.claimant._sequence = 1_000 * int(simulation.now + 1)
