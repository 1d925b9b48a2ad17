"""Agents, a lossy network and a view store for proofs about claims."""

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
    """One run of one agent."""

    def __init__(self, name, incarnation):
        self.me = ClaimMember(name, incarnation)
        self.acceptor = Acceptor(self.me, KEY_TTL_S)
        self.claimant = Claimant(self.me, random.Random(incarnation))
        self.claims = []
        self.frozen = False


class ClaimWorld:
    """Agents that exchange messages which may be lost, repeated and reordered."""

    def __init__(self, names):
        self.now = 0.0
        self.incarnations = dict.fromkeys(names, 0)
        self.agents = {}
        self.network = []
        self.dispatched = {}
        self.given_up = set()
        self.keys = {}
        self.collected = {}
        for name in names:
            self.restart(name)
        self.committed = ClaimView(1, tuple(a.me for a in self.agents.values()))
        self.install_all(Handover())

    def restart(self, name):
        """Crash an agent; its next run knows nothing."""
        self.incarnations[name] += 1
        self.agents[name] = ClaimAgent(name, self.incarnations[name])

    def propose(self, name, key):
        agent = self.agents[name]
        claim, actions = agent.claimant.propose(key, self.now)
        if claim is not None:
            agent.claims.append(claim)
            self.keys[claim] = key
            self.post(agent, actions)
        return claim

    def post(self, agent, actions):
        self.network += [(agent.me, action.to, action.msg) for action in actions]

    def deliver(self, index, keep=False):
        """Deliver one message; with ``keep`` a copy stays in the network."""
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
            self.post(agent, agent.claimant.handle(sender, msg, self.now))

    def tick(self, seconds):
        self.now += seconds
        for agent in self.agents.values():
            if not agent.frozen:
                self.post(agent, agent.claimant.tick(self.now))

    def give_up(self, claim):
        agent = self.owner(claim)
        if agent is None or agent.frozen:
            return
        if agent.claimant.status(claim)[0] is ClaimStatus.DISPATCHED:
            return
        self.post(agent, agent.claimant.give_up(claim))
        self.given_up.add(claim)

    def take(self, claim):
        agent = self.owner(claim) if claim else None
        if agent and not agent.frozen and agent.claimant.take(claim):
            self.dispatched.setdefault(self.keys[claim], []).append(claim)

    def follow_up(self, claim):
        """Ask the holder that a losing claim names, as an agent would."""
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
            self.post(agent, agent.claimant.skip(claim, self.now))

    def owner(self, claim):
        agent = self.agents.get(claim.node)
        return agent if agent and agent.me.incarnation == claim.incarnation else None

    def seal(self, name, coordinator):
        """Collect the handover of one member for a coordinator."""
        agent = self.agents[name]
        if agent.frozen:
            return
        number = self.committed.number
        handover = agent.acceptor.seal(number, self.now)
        if handover is not None:
            pool = self.collected.setdefault((coordinator, number), {})
            pool[agent.me] = handover

    def commit(self, coordinator, names):
        """Write the next view if the coordinator has sealed enough."""
        view = self.committed
        pool = self.collected.get((coordinator, view.number), {})
        if not view.is_covered_by(pool.keys()):
            return None
        members = tuple(self.agents[name].me for name in names)
        self.committed = ClaimView(view.number + 1, members, view.members)
        return self.committed

    def install(self, name, coordinator):
        """Install the committed view at one agent from a coordinator's pool."""
        agent = self.agents[name]
        view = self.committed
        pool = self.collected.get((coordinator, view.number - 1), {})
        old = ClaimView(view.number - 1, view.previous)
        if view.number == 1 or agent.frozen or not old.is_covered_by(pool.keys()):
            return
        if agent.acceptor.install(view, combine(pool.values()), self.now):
            self.post(agent, agent.claimant.change_view(view, self.now))

    def install_all(self, handover):
        for agent in self.agents.values():
            if agent.acceptor.install(self.committed, handover, self.now):
                self.post(agent, agent.claimant.change_view(self.committed, self.now))

    def settle(self, rounds=60):
        """Deliver everything in order and let time pass."""
        for _ in range(rounds):
            while self.network:
                self.deliver(0)
            self.tick(0.5)

    def granted(self, claim):
        agent = self.owner(claim)
        return agent is not None and isinstance(agent.claimant.result(claim), Granted)


def same_incarnation(world, name):
    """Restart an agent that forgets everything but keeps its incarnation."""
    world.agents[name] = ClaimAgent(name, world.incarnations[name])
    agent = world.agents[name]
    agent.acceptor.install(world.committed, Handover(), world.now)
    agent.claimant.change_view(world.committed, world.now)
    agent.claimant._sequence = 1_000 * int(world.now + 1)
