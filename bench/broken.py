"""Broken flows through a schedule of replacements, drains and crashes."""

import random
from dataclasses import dataclass

import xxhash

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.owner import Accept, Refuse
from ryesaddle.internal.routing.rendezvous import flow_key, rank
from tests.support.flows import SERVICE, FlowSimulation

TARGETS = 7
BALANCERS = 4
FLOWS = 400
PACKETS_PER_EVENT = 400
EVENTS = ("drain", "add", "replace balancer", "drain", "add", "crash", "add") * 4
TABLE_SIZE = 4_099


@dataclass
class Counts:
    """Flows broken by planned change, flows lost with a crash, and extra hops."""

    planned: int = 0
    on_dead: int = 0
    packets: int = 0
    hops: int = 0


class Baselines:
    """Where three usual designs would send a packet, from the same views."""

    def __init__(self):
        self.tracked = [{} for _ in range(BALANCERS)]

    def hash_only(self, balancer, caller, members, before, draining):
        """Rendezvous hashing over the members that are not draining."""
        return _top(caller, members)

    def maglev_tracking(self, balancer, caller, members, before, draining):
        """A Maglev table, and connection tracking at each balancer.

        A tracked flow stays with its target while that drains.

        Reference: Eisenbud et al., "Maglev", NSDI 2016.
        """
        table = self.tracked[balancer]
        names = {m.node for m in (*members, *draining)}
        if table.get(caller) not in names:
            table[caller] = _maglev(caller, members)
        return table[caller]

    def previous_owner(self, balancer, caller, members, before, draining):
        """Hashing with a second chance at the owner of the previous view.

        Reference: Olteanu et al., "Stateless Datacenter Load-balancing with
        Beamer", NSDI 2018.
        """
        return (_top(caller, members), _top(caller, before))


def run_broken(seed=1):
    """Return one row of counts for the product and each baseline."""
    rows = [{"design": "ask the members", **vars(_run_product(seed))}]
    for name in ("hash_only", "maglev_tracking", "previous_owner"):
        rows.append({"design": name, **vars(_run_baseline(name, seed))})
    return rows


def _run_product(seed):
    world, rng, counts = FlowSimulation(_names()), random.Random(seed), Counts()
    flows = _open_flows(world, rng)
    lost = set()
    for event in EVENTS:
        crashed = _apply(world, rng, event, flows, lost)
        counts.on_dead += crashed
        before = world.hops
        for _ in range(PACKETS_PER_EVENT):
            _spread_views(world, rng)
            flow_id, (caller, owner) = rng.choice(sorted(flows.items()))
            if flow_id in lost:
                continue
            balancer = rng.randrange(BALANCERS)
            decision, agent = world.send(balancer, caller, flow_id, False)
            counts.packets += 1
            broken = isinstance(decision, Refuse) or (
                isinstance(decision, Accept) and agent is not owner
            )
            if broken:
                lost.add(flow_id)
                counts.planned += 1
        counts.hops += world.hops - before
        world.settle()
    return counts


def _run_baseline(name, seed):
    world, rng, counts = FlowSimulation(_names()), random.Random(seed), Counts()
    world.balancers = [type(world.balancers[0])() for _ in range(BALANCERS)]
    baselines = Baselines()
    flows = {}
    for number in range(FLOWS):
        caller = Address("10.0.0.1", 1_000 + number)
        members = world.history[-1].members
        for balancer in range(BALANCERS):
            choice = getattr(baselines, name)(balancer, caller, members, members, ())
        owner = choice[0] if isinstance(choice, tuple) else choice
        agent = world.agents[owner]
        agent.flows.add(str(number).encode())
        flows[str(number).encode()] = (caller, agent)
    world.balancer_views = [world.history[-1]] * BALANCERS
    previous = [world.history[-1]] * BALANCERS
    lost = set()
    for event in EVENTS:
        crashed = _apply(world, rng, event, flows, lost)
        counts.on_dead += crashed
        if event == "replace balancer":
            baselines.tracked[rng.randrange(BALANCERS)].clear()
        for _ in range(PACKETS_PER_EVENT):
            held = list(world.balancer_views)
            _spread_views(world, rng)
            previous = [
                old if new is not old else keep
                for old, new, keep in zip(held, world.balancer_views, previous)
            ]
            flow_id, (caller, owner) = rng.choice(sorted(flows.items()))
            if flow_id in lost:
                continue
            balancer = rng.randrange(BALANCERS)
            view = world.balancer_views[balancer]
            members, before = _serving(view), _serving(previous[balancer])
            draining = [m for m in view.members if m.draining]
            choice = getattr(baselines, name)(
                balancer, caller, members, before, draining
            )
            chosen = choice if isinstance(choice, tuple) else (choice,)
            counts.packets += 1
            node = owner.owner.me.node
            if node not in chosen or not owner.alive:
                lost.add(flow_id)
                counts.planned += 1
            elif chosen[0] != node:
                counts.hops += 1
        world.settle()
        world.balancer_views = [world.history[-1]] * BALANCERS
    return counts


def _names():
    return [f"agent-{number}" for number in range(TARGETS)]


def _open_flows(world, rng):
    world.balancers = [type(world.balancers[0])() for _ in range(BALANCERS)]
    world.balancer_views = [world.history[-1]] * BALANCERS
    flows = {}
    for number in range(FLOWS):
        caller = Address("10.0.0.1", 1_000 + number)
        flow_id = str(number).encode()
        balancer = rng.randrange(BALANCERS)
        decision, agent = world.send(balancer, caller, flow_id, True)
        assert isinstance(decision, Accept)
        flows[flow_id] = (caller, agent)
    return flows


def _apply(world, rng, event, flows, lost):
    """Perform one event; return how many flows died with a crashed target."""
    alive = sorted(n for n, a in world.agents.items() if a.alive)
    serving = [n for n in alive if not world.agents[n].owner.draining]
    if event == "drain" and len(serving) > 3:
        agent = world.agents[rng.choice(serving)]
        agent.owner.draining = True
        node = agent.owner.me.node
        world.announced[node] = _draining(world.announced[node])
    elif event == "add":
        node = f"agent-{TARGETS + len(world.agents)}"
        world.start(node)
    elif event == "replace balancer":
        world.balancers[rng.randrange(BALANCERS)] = type(world.balancers[0])()
        return 0
    elif event == "crash" and len(serving) > 3:
        agent = world.agents[rng.choice(serving)]
        agent.alive = False
        del world.announced[agent.owner.me.node]
        dead = [f for f, (_, owner) in flows.items() if owner is agent]
        fresh = [f for f in dead if f not in lost]
        lost.update(dead)
        world.publish()
        return len(fresh)
    world.publish()
    return 0


def _draining(member):
    return type(member)(
        **{f: getattr(member, f) for f in member.__struct_fields__ if f != "draining"},
        draining=True,
    )


def _spread_views(world, rng):
    """Let one balancer and one agent catch up, now and then."""
    if rng.random() < 0.02:
        world.balancer_views[rng.randrange(BALANCERS)] = world.history[-1]
    if rng.random() < 0.02:
        node = rng.choice(sorted(world.agents))
        world.deliver_view(node, world.version)
        world.introduce(node)


def _serving(view):
    return [m for m in view.members if not m.draining]


def _top(caller, members):
    return rank(flow_key(SERVICE, caller), members)[0].node


def _maglev(caller, members):
    slot = xxhash.xxh3_64_intdigest(flow_key(SERVICE, caller)) % TABLE_SIZE
    return _maglev_table(tuple(sorted(m.node for m in members)))[slot]


_tables = {}


def _maglev_table(names):
    if names not in _tables:
        _tables[names] = _fill_table(names)
    return _tables[names]


def _fill_table(names):
    hashed = [name.encode() for name in names]
    offsets = [xxhash.xxh3_64_intdigest(n, seed=1) % TABLE_SIZE for n in hashed]
    skips = [xxhash.xxh3_64_intdigest(n, seed=2) % (TABLE_SIZE - 1) + 1 for n in hashed]
    table, positions, filled = [None] * TABLE_SIZE, [0] * len(names), 0
    while True:
        for number, name in enumerate(names):
            slot = None
            while slot is None or table[slot] is not None:
                slot = (offsets[number] + positions[number] * skips[number]) % (
                    TABLE_SIZE
                )
                positions[number] += 1
            table[slot] = name
            filled += 1
            if filled == TABLE_SIZE:
                return table
