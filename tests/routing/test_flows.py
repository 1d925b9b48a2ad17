import unittest
from unittest import mock

from hypothesis import Phase, given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.owner import Arrival, Owner, PassOn
from ryesaddle.internal.wire.message import Forward
from tests.support.flows import (
    SERVICE,
    Accept,
    FlowSimulation,
    Refuse,
    Silence,
    member,
)

NODES = ("a", "b", "c", "d", "e")
nodes = st.sampled_from(NODES)
balancers = st.integers(0, 1)
MACHINE_SETTINGS = settings(max_examples=400, stateful_step_count=50)
MUTATION_SETTINGS = settings(
    max_examples=10_000, stateful_step_count=40, phases=[Phase.generate]
)


class FlowMachine(RuleBasedStateMachine):
    """Concurrent planned changes while views reach the processes at different times."""

    def __init__(self):
        super().__init__()
        self.world = FlowSimulation(NODES[:2])
        self.established = {}
        self.count = 0

    @rule(balancer=balancers, load=st.integers(0, 3))
    def open_flow(self, balancer, load):
        self.count += 1
        caller = Address("10.0.0.1", 1_000 + self.count)
        flow_id = str(self.count).encode()
        for node, agent in self.world.agents.items():
            agent.load = load if node < "c" else 0
        decision, agent = self.world.send(balancer, caller, flow_id, True)
        if isinstance(decision, Accept):
            self.established[flow_id] = (caller, agent)

    @precondition(lambda self: self.established)
    @rule(balancer=balancers, index=st.integers(0, 50))
    def send_on_established_flow(self, balancer, index):
        self.check(balancer, list(self.established)[index % len(self.established)])

    @precondition(lambda self: self.established)
    @rule(balancer=balancers)
    def send_on_all_flows(self, balancer):
        for flow_id in self.established:
            self.check(balancer, flow_id)

    def check(self, balancer, flow_id):
        caller, owner = self.established[flow_id]
        decision, agent = self.world.send(balancer, caller, flow_id, False)
        assert not isinstance(decision, Refuse), f"flow {flow_id} was refused"
        if isinstance(decision, Accept):
            assert agent is owner, f"flow {flow_id} moved to another agent"

    @precondition(lambda self: self.established)
    @rule(index=st.integers(0, 50))
    def close_flow(self, index):
        flow_id = list(self.established)[index % len(self.established)]
        _, owner = self.established.pop(flow_id)
        owner.flows.discard(flow_id)

    @rule(node=nodes, seen_by=st.sets(nodes), seen_by_balancer=balancers | st.none())
    def add_agent(self, node, seen_by, seen_by_balancer):
        held = self.world.agents.get(node)
        if held is None or not held.alive:
            incarnation = held.owner.me.incarnation + 1 if held else 1
            self.world.start(node, incarnation)
            self.world.publish()
        for receiver in (node, *sorted(seen_by)):
            self.world.deliver_view(receiver, self.world.version)
        if seen_by_balancer is not None:
            self.world.balancer_views[seen_by_balancer] = self.world.history[-1]

    @rule(node=nodes)
    def drain_agent(self, node):
        agent = self.world.agents.get(node)
        if agent and agent.alive:
            agent.owner.draining = True
            draining = member(node, agent.owner.me.incarnation, draining=True)
            self.world.announced[node] = draining
            self.world.publish()

    @rule(node=nodes)
    def stop_drained_agent(self, node):
        agent = self.world.agents.get(node)
        if agent and agent.alive and self.world.stop_when_empty(node):
            self.world.publish()

    @rule(balancer=balancers)
    def replace_balancer(self, balancer):
        self.world.balancers[balancer] = type(self.world.balancers[balancer])()

    @rule(balancer=balancers, version=st.integers(0, 40))
    def update_balancer(self, balancer, version):
        version = min(version, self.world.version)
        self.world.balancer_views[balancer] = self.world.history[version]

    @rule(node=nodes, version=st.integers(0, 40))
    def update_agent(self, node, version):
        self.world.deliver_view(node, version)

    @rule(node=nodes, to=nodes | st.none())
    def introduce(self, node, to):
        self.world.introduce(node, to)

    @rule(seconds=st.floats(0.1, 20.0))
    def wait(self, seconds):
        self.world.now += seconds

    @precondition(lambda self: self.established)
    @rule()
    def check_that_every_flow_reaches_its_owner_after_settling(self):
        self.world.settle()
        self.world.now += 0.01
        for flow_id, (caller, owner) in self.established.items():
            decision, agent = self.world.send(0, caller, flow_id, False)
            assert isinstance(decision, Accept) and agent is owner, decision


def run_mutated_machine():
    machine = type("Mutant", (FlowMachine,), {})
    run_state_machine_as_test(machine, settings=MUTATION_SETTINGS)


class EstablishedFlowTest(unittest.TestCase):
    def test_established_flows_survive_planned_changes(self):
        run_state_machine_as_test(FlowMachine, settings=MACHINE_SETTINGS)

    def test_state_machine_detects_flows_accepted_before_all_members_know_the_agent(
        self,
    ):
        with (
            mock.patch.object(Owner, "unacknowledged", lambda self: []),
            self.assertRaises(AssertionError),
        ):
            run_mutated_machine()

    def test_state_machine_detects_a_refusal_by_the_first_agent(self):
        def refuse_at_once(self, fwd):
            return Refuse("unowned")

        with (
            mock.patch.object(Owner, "_find_owner", refuse_at_once),
            self.assertRaises(AssertionError),
        ):
            run_mutated_machine()

    def test_state_machine_detects_draining_members_treated_as_unknown(self):
        def known_open(self):
            return {m.node: m for m in self._other_members() if not m.draining}

        with (
            mock.patch.object(Owner, "_known_members", known_open),
            self.assertRaises(AssertionError),
        ):
            run_mutated_machine()


class StaleViewTest(unittest.TestCase):
    def join_with_stale_views(self):
        """Let agent c accept a flow while the views of agents a and b lack it."""
        world = FlowSimulation(NODES[:2])
        world.start("c")
        world.publish()
        world.deliver_view("c", world.version)
        world.introduce("c")
        for node in ("a", "b"):
            world.agents[node].owner.draining = True
        caller = Address("10.0.0.1", 1_000)
        world.balancer_views[0] = world.history[-1]
        decision, owner = world.send(0, caller, b"flow", True)
        self.assertIs(owner, world.agents["c"])
        self.assertIsInstance(decision, Accept)
        return world, caller

    def test_an_agent_with_a_view_one_hour_old_does_not_refuse_a_flow(self):
        world, caller = self.join_with_stale_views()
        world.now += 3_600
        decision, _ = world.send(1, caller, b"flow", False)
        self.assertIsInstance(decision, Accept)

    def test_a_flow_is_refused_after_its_agent_joined_and_left_without_being_in_a_view(
        self,
    ):
        world, caller = self.join_with_stale_views()
        world.agents["c"].alive = False
        del world.announced["c"]
        world.publish()
        world.settle()
        decision, _ = world.send(1, caller, b"flow", False)
        self.assertIsInstance(decision, Refuse)


class CrashTest(unittest.TestCase):
    def test_a_flow_of_a_crashed_agent_is_refused_once_the_agent_leaves_the_view(self):
        world = FlowSimulation(NODES[:3])
        caller = Address("10.0.0.1", 1_000)
        _, owner = world.send(0, caller, b"flow", True)
        owner.alive = False
        decision, _ = world.send(1, caller, b"flow", False)
        self.assertIsInstance(decision, Silence)
        del world.announced[owner.owner.me.node]
        world.publish()
        world.settle()
        for balancer in (0, 1):
            decision, _ = world.send(balancer, caller, b"flow", False)
            self.assertIsInstance(decision, Refuse)

    def test_a_draining_agent_accepts_no_new_flow_from_balancers_with_stale_views(self):
        world = FlowSimulation(NODES[:3])
        for agent in list(world.agents.values())[:2]:
            agent.owner.draining = True
        open_agent = world.agents[NODES[2]]
        for number in range(50):
            caller = Address("10.0.0.1", 1_000 + number)
            decision, agent = world.send(0, caller, str(number).encode(), True)
            self.assertIsInstance(decision, Accept)
            self.assertIs(agent, open_agent)


class OtherServiceTest(unittest.TestCase):
    @given(
        service=st.sampled_from(("case-desk", "pack-archive")),
        agent=st.sampled_from(("a", "z")),
        incarnation=st.integers(1, 2),
        owned=st.booleans(),
        opens=st.booleans(),
        returned=st.booleans(),
        offer_load=st.integers(-1, 3),
    )
    def test_a_datagram_for_another_service_agent_or_incarnation_is_never_accepted(
        self, service, agent, incarnation, owned, opens, returned, offer_load
    ):
        world = FlowSimulation(("a", "b"))
        me = world.agents["a"].owner
        forward = Forward(
            service,
            Address("10.0.0.1", 1),
            Address("b", 0),
            agent,
            incarnation,
            b"",
            offer_load=offer_load,
            returned=returned,
        )
        decision = me.decide(Arrival(forward, owned, opens, b"x"), 0)
        if (service, agent, incarnation) != (SERVICE, "a", 1):
            self.assertEqual(decision, Silence("misdirected"))

    def test_an_agent_never_passes_a_datagram_to_another_service(self):
        world = FlowSimulation(("a", "b"))
        other_service_member = member("z", service="pack-archive")
        me = world.agents["a"].owner
        self.assertFalse(me.introduced(other_service_member, "cell", 1))
        forward = Forward(SERVICE, Address("10.0.0.1", 1), Address("b", 0), "a", 1, b"")
        decision = me.decide(Arrival(forward, False, False, b"x"), 0)
        self.assertIsInstance(decision, PassOn)
        self.assertEqual(decision.member.service, SERVICE)
