"""Flows broken by a schedule of replacements, drains and crashes."""

import random
from dataclasses import dataclass

import xxhash

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.owner import Accept, Refuse
from ryesaddle.internal.routing.rendezvous import flow_key, rank
from tests.support.flows import SERVICE, FlowSimulation

TARGET_COUNT = 7
BALANCER_COUNT = 4
FLOW_COUNT = 400
PACKETS_PER_EVENT = 400
EVENTS = ("drain", "add", "replace balancer", "drain", "add", "crash", "add") * 4
MAGLEV_TABLE_SIZE = 4_099


@dataclass
class Counts:
    """Flows broken by planned changes or lost in crashes, packets and extra hops."""

    planned: int = 0
    on_dead: int = 0
    packets: int = 0
    hops: int = 0


class Baselines:
    """Routing decisions of three common designs, from the same views."""

    def __init__(self):
        self.tracking_tables = [{} for _ in range(BALANCER_COUNT)]

    def hash_only(self, balancer, caller, members, previous_members, draining):
        """Rendezvous hashing over the members that are not draining."""
        return _first_ranked_node(caller, members)

    def maglev_tracking(self, balancer, caller, members, previous_members, draining):
        """A Maglev table, and connection tracking at each balancer.

        A tracked flow stays with its target while the target drains.

        Reference: Eisenbud et al., "Maglev", NSDI 2016.
        """
        table = self.tracking_tables[balancer]
        names = {m.node for m in (*members, *draining)}
        if table.get(caller) not in names:
            table[caller] = _maglev_node(caller, members)
        return table[caller]

    def previous_owner(self, balancer, caller, members, previous_members, draining):
        """Hashing, with the owner in the previous view as the second choice.

        Reference: Olteanu et al., "Stateless Datacenter Load-balancing with
        Beamer", NSDI 2018.
        """
        return (
            _first_ranked_node(caller, members),
            _first_ranked_node(caller, previous_members),
        )


def run_broken(seed=1):
    """Return one row of counts for the product and each baseline."""
    rows = [{"design": "ask the members", **vars(_run_product(seed))}]
    for name in ("hash_only", "maglev_tracking", "previous_owner"):
        rows.append({"design": name, **vars(_run_baseline(name, seed))})
    return rows


def _run_product(seed):
    world, rng, counts = FlowSimulation(_initial_nodes()), random.Random(seed), Counts()
    flows = _open_flows(world, rng)
    ended_flows = set()
    for event in EVENTS:
        newly_lost_flows = _apply_event(world, rng, event, flows, ended_flows)
        counts.on_dead += newly_lost_flows
        hops_before = world.hops
        for _ in range(PACKETS_PER_EVENT):
            _update_some_views(world, rng)
            flow_id, (caller, owner) = rng.choice(sorted(flows.items()))
            if flow_id in ended_flows:
                continue
            balancer = rng.randrange(BALANCER_COUNT)
            decision, agent = world.send(balancer, caller, flow_id, False)
            counts.packets += 1
            broken = isinstance(decision, Refuse) or (
                isinstance(decision, Accept) and agent is not owner
            )
            if broken:
                ended_flows.add(flow_id)
                counts.planned += 1
        counts.hops += world.hops - hops_before
        world.settle()
    return counts


def _run_baseline(name, seed):
    world, rng, counts = FlowSimulation(_initial_nodes()), random.Random(seed), Counts()
    world.balancers = [type(world.balancers[0])() for _ in range(BALANCER_COUNT)]
    baselines = Baselines()
    flows = {}
    for number in range(FLOW_COUNT):
        caller = Address("10.0.0.1", 1_000 + number)
        members = world.history[-1].members
        for balancer in range(BALANCER_COUNT):
            choice = getattr(baselines, name)(balancer, caller, members, members, ())
        owner_node = choice[0] if isinstance(choice, tuple) else choice
        agent = world.agents[owner_node]
        agent.flows.add(str(number).encode())
        flows[str(number).encode()] = (caller, agent)
    world.balancer_views = [world.history[-1]] * BALANCER_COUNT
    previous = [world.history[-1]] * BALANCER_COUNT
    ended_flows = set()
    for event in EVENTS:
        newly_lost_flows = _apply_event(world, rng, event, flows, ended_flows)
        counts.on_dead += newly_lost_flows
        if event == "replace balancer":
            baselines.tracking_tables[rng.randrange(BALANCER_COUNT)].clear()
        for _ in range(PACKETS_PER_EVENT):
            old_views = list(world.balancer_views)
            _update_some_views(world, rng)
            previous = [
                old if new is not old else unchanged
                for old, new, unchanged in zip(
                    old_views, world.balancer_views, previous
                )
            ]
            flow_id, (caller, owner) = rng.choice(sorted(flows.items()))
            if flow_id in ended_flows:
                continue
            balancer = rng.randrange(BALANCER_COUNT)
            view = world.balancer_views[balancer]
            members, previous_members = (
                _members_not_draining(view),
                _members_not_draining(previous[balancer]),
            )
            draining = [m for m in view.members if m.draining]
            choice = getattr(baselines, name)(
                balancer, caller, members, previous_members, draining
            )
            chosen_nodes = choice if isinstance(choice, tuple) else (choice,)
            counts.packets += 1
            node = owner.owner.me.node
            if node not in chosen_nodes or not owner.alive:
                ended_flows.add(flow_id)
                counts.planned += 1
            elif chosen_nodes[0] != node:
                counts.hops += 1
        world.settle()
        world.balancer_views = [world.history[-1]] * BALANCER_COUNT
    return counts


def _initial_nodes():
    return [f"agent-{number}" for number in range(TARGET_COUNT)]


def _open_flows(world, rng):
    world.balancers = [type(world.balancers[0])() for _ in range(BALANCER_COUNT)]
    world.balancer_views = [world.history[-1]] * BALANCER_COUNT
    flows = {}
    for number in range(FLOW_COUNT):
        caller = Address("10.0.0.1", 1_000 + number)
        flow_id = str(number).encode()
        balancer = rng.randrange(BALANCER_COUNT)
        decision, agent = world.send(balancer, caller, flow_id, True)
        assert isinstance(decision, Accept)
        flows[flow_id] = (caller, agent)
    return flows


def _apply_event(world, rng, event, flows, ended_flows):
    """Apply one event; return how many flows were lost with a crashed target."""
    alive = sorted(n for n, a in world.agents.items() if a.alive)
    serving = [n for n in alive if not world.agents[n].owner.draining]
    if event == "drain" and len(serving) > 3:
        agent = world.agents[rng.choice(serving)]
        agent.owner.draining = True
        node = agent.owner.me.node
        world.announced[node] = _draining(world.announced[node])
    elif event == "add":
        node = f"agent-{TARGET_COUNT + len(world.agents)}"
        world.start(node)
    elif event == "replace balancer":
        world.balancers[rng.randrange(BALANCER_COUNT)] = type(world.balancers[0])()
        return 0
    elif event == "crash" and len(serving) > 3:
        agent = world.agents[rng.choice(serving)]
        agent.alive = False
        del world.announced[agent.owner.me.node]
        flows_of_target = [f for f, (_, owner) in flows.items() if owner is agent]
        newly_lost = [f for f in flows_of_target if f not in ended_flows]
        ended_flows.update(flows_of_target)
        world.publish()
        return len(newly_lost)
    world.publish()
    return 0


def _draining(member):
    return type(member)(
        **{f: getattr(member, f) for f in member.__struct_fields__ if f != "draining"},
        draining=True,
    )


def _update_some_views(world, rng):
    """Bring one balancer and one agent up to date, each with a small probability."""
    if rng.random() < 0.02:
        world.balancer_views[rng.randrange(BALANCER_COUNT)] = world.history[-1]
    if rng.random() < 0.02:
        node = rng.choice(sorted(world.agents))
        world.deliver_view(node, world.version)
        world.introduce(node)


def _members_not_draining(view):
    return [m for m in view.members if not m.draining]


def _first_ranked_node(caller, members):
    return rank(flow_key(SERVICE, caller), members)[0].node


def _maglev_node(caller, members):
    slot = xxhash.xxh3_64_intdigest(flow_key(SERVICE, caller)) % MAGLEV_TABLE_SIZE
    return _maglev_table(tuple(sorted(m.node for m in members)))[slot]


_maglev_tables = {}


def _maglev_table(names):
    if names not in _maglev_tables:
        _maglev_tables[names] = _build_maglev_table(names)
    return _maglev_tables[names]


def _build_maglev_table(names):
    hashed = [name.encode() for name in names]
    offsets = [xxhash.xxh3_64_intdigest(n, seed=1) % MAGLEV_TABLE_SIZE for n in hashed]
    skips = [
        xxhash.xxh3_64_intdigest(n, seed=2) % (MAGLEV_TABLE_SIZE - 1) + 1
        for n in hashed
    ]
    table, positions, filled = [None] * MAGLEV_TABLE_SIZE, [0] * len(names), 0
    while True:
        for number, name in enumerate(names):
            slot = None
            while slot is None or table[slot] is not None:
                slot = (offsets[number] + positions[number] * skips[number]) % (
                    MAGLEV_TABLE_SIZE
                )
                positions[number] += 1
            table[slot] = name
            filled += 1
            if filled == MAGLEV_TABLE_SIZE:
                return table
