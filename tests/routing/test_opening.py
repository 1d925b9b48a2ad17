"""The opening of a flow of which several opening packets are under way."""

import unittest
from unittest import mock

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ryesaddle.daemons.passthrough.agent import CHECK_INTERVAL_S
from ryesaddle.internal.target.flows import COPY_PERIOD_S
from ryesaddle.internal.target.router import REFUSAL_BACKOFF_S, UNRESPONSIVE_AFTER_S
from tests.support.opening import FLOW, HandshakeTarget, OpeningSimulation
from tests.support.passthrough import SERVICE, routes

BALANCERS = (1, 2)
AGENTS = (1, 2, 3)
MACHINE_SETTINGS = settings(max_examples=400, stateful_step_count=60)
balancers = st.sampled_from(BALANCERS)
agents = st.sampled_from(AGENTS)


class OpeningMachine(RuleBasedStateMachine):
    """One caller, two balancers and three agents; messages in every order."""

    @initialize(busy=st.lists(st.booleans(), min_size=3, max_size=3))
    def start(self, busy):
        self.world = OpeningSimulation(busy, BALANCERS)
        self.world.send_copy(1)

    @precondition(lambda self: self.world.may_send_copy)
    @rule(balancer=balancers)
    def send_copy(self, balancer):
        self.world.send_copy(balancer)

    @precondition(lambda self: self.world.may_send_data)
    @rule(balancer=balancers)
    def send_data(self, balancer):
        self.world.send_data(balancer)

    @precondition(lambda self: self.world.links)
    @rule(index=st.integers(0, 5))
    def deliver(self, index):
        links = self.world.links
        self.world.deliver(links[index % len(links)])

    @rule()
    def deliver_all(self):
        self.world.deliver_except()

    @rule(seconds=st.sampled_from((0.001, 0.02, 0.12, 0.3)))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(number=agents)
    def answer_request(self, number):
        self.world.answer_request(number)

    @rule(number=agents)
    def fill(self, number):
        self.world.fill(number)

    @rule(number=agents)
    def change_refusal(self, number):
        target = self.world.agents[number][1]
        target.refuses = not target.refuses

    @rule(number=agents)
    def open_other_flow(self, number):
        self.world.open_other_flow(number)

    @rule(number=agents)
    def drain(self, number):
        self.world.drain(number)

    @rule(number=agents)
    def restart_agent(self, number):
        self.world.restart_agent(number)

    @rule(number=balancers)
    def restart_balancer(self, number):
        self.world.restart_balancer(number)

    @rule(number=agents)
    def end_flow(self, number):
        self.world.end_flow(number)

    @invariant()
    def no_open_flow_is_reset(self):
        if hasattr(self, "world"):
            assert self.world.resets_of_open_flow == []


class OpeningMachineTest(unittest.TestCase):
    def test_no_order_of_messages_resets_an_open_flow(self):
        run_state_machine_as_test(OpeningMachine, settings=MACHINE_SETTINGS)


class OpeningTest(unittest.TestCase):
    def assert_not_reset(self, world, balancer):
        """Assert that the caller's next packets reach the target of its flow."""
        world.deliver_except()
        world.send_data(balancer)
        world.deliver_except()
        self.assertEqual(world.resets_of_open_flow, [])
        world.advance(0.2)
        world.deliver_except()
        self.assertIsNotNone(world.target_of(FLOW))
        self.assertEqual(world.resets_of_open_flow, [])

    def send_copy_to(self, world, balancer, agent):
        """Send a copy that a balancer forwards to an agent, as the others are full."""
        for number in world.agents:
            if number != agent:
                world.fill(number)
            world.report(number)
        world.send_copy(balancer)
        self.assertIn((f"edge-{balancer}", f"side-{agent}"), world.links)


class ForgottenFlowTest(OpeningTest):
    def accepted_late(self):
        """Return a world and the agent whose target has accepted the flow late.

        The agent has returned the opening packet, and the caller has no answer yet.
        """
        world = OpeningSimulation([False, False, False])
        world.send_copy(1)
        ((_, agent),) = world.links
        world.deliver(("edge-1", agent))
        world.advance(UNRESPONSIVE_AFTER_S + CHECK_INTERVAL_S)
        number = int(agent.removeprefix("side-"))
        world.deliver((agent, f"target-{number}"))
        world.deliver((f"target-{number}", agent))
        world.advance(CHECK_INTERVAL_S)
        return world, number

    def test_a_queued_copy_does_not_reset_a_flow_that_was_accepted_late(self):
        world, agent = self.accepted_late()
        self.send_copy_to(world, 2, agent)
        world.fill(agent)
        self.assert_not_reset(world, 2)

    def test_a_copy_at_a_draining_target_does_not_reset_a_flow_accepted_late(self):
        world, agent = self.accepted_late()
        self.send_copy_to(world, 2, agent)
        world.drain(agent)
        self.assert_not_reset(world, 2)

    def test_a_copy_does_not_reset_a_flow_of_which_the_first_packet_was_returned(self):
        world = OpeningSimulation([False, False, False])
        world.send_copy(1)
        world.send_copy(1)
        ((_, agent),) = world.links
        number = int(agent.removeprefix("side-"))
        target = world.agents[number][1]
        for refuses in (True, False):
            world.deliver(("edge-1", agent))
            target.refuses = refuses
            world.deliver((agent, f"target-{number}"))
        for _ in range(2):
            world.deliver((f"target-{number}", agent))
        world.advance(REFUSAL_BACKOFF_S)
        self.send_copy_to(world, 2, number)
        world.fill(number)
        self.assert_not_reset(world, 2)


class SecondTargetTest(OpeningTest):
    def test_a_target_that_was_not_chosen_does_not_reset_the_flow(self):
        world = OpeningSimulation([False, False, False])
        world.send_copy(1)
        world.deliver_except("caller")
        (first,) = [n for n in AGENTS if FLOW in world.agents[n][1].half_open]
        second = first % len(AGENTS) + 1
        self.send_copy_to(world, 2, second)
        world.deliver_except("caller")
        world.deliver(("", "caller"))
        world.agents[second][1].refuses = True
        world.open_other_flow(second)
        world.send_data(2)
        world.deliver(("edge-2", f"side-{second}"))
        self.assert_not_reset(world, 2)

    def test_a_flow_of_a_replaced_target_is_reset_without_a_search(self):
        world = OpeningSimulation([False, False, False])
        world.send_copy(1)
        world.deliver_except()
        (holder,) = [n for n in AGENTS if FLOW in world.agents[n][1].half_open]
        world.send_data(1)
        world.deliver_except()
        agent, _ = world.agents[holder]
        world.agents[holder] = (agent, HandshakeTarget("i-9", SERVICE, 9))
        agent.verify_flows()
        world.deliver_except()
        self.assertTrue(world.was_reset)
        self.assertEqual(agent._metrics.counts["agent.reset.target-ended"], 1)


class QueuedCopyTest(OpeningTest):
    def opened_from_second_copy(self, agents=AGENTS):
        """Return a world and the agent that still queues the first opening packet."""
        world = OpeningSimulation([True for _ in agents])
        world.send_copy(1)
        world.deliver_except()
        (queued_at,) = [n for n in agents if FLOW in world.agents[n][0]._queue]
        other = queued_at % len(agents) + 1
        for _ in range(4):
            world.answer_request(other)
        world.deliver_except()
        self.send_copy_to(world, 2, other)
        world.deliver_except()
        self.assertIn(FLOW, world.agents[queued_at][0]._queue)
        self.assertIn(FLOW, world.agents[other][1].half_open)
        self.assertIsNotNone(world.chosen)
        return world, queued_at

    def test_a_packet_that_was_queued_is_not_rejected_after_its_copy_opened(self):
        world, queued_at = self.opened_from_second_copy()
        for number in AGENTS:
            world.fill(number)
        with mock.patch("ryesaddle.internal.target.queue.MAX_QUEUED_FLOWS", 0):
            world.drain(queued_at)
            world.advance(CHECK_INTERVAL_S)
            self.assert_not_reset(world, 2)

    def test_an_evacuation_does_not_reset_a_flow_that_a_copy_has_opened(self):
        world, _ = self.opened_from_second_copy()
        world.evacuate()
        world.advance(CHECK_INTERVAL_S)
        self.assert_not_reset(world, 2)

    def test_a_packet_that_was_queued_does_not_reset_a_flow_that_its_target_ends(self):
        world, queued_at = self.opened_from_second_copy(agents=(1, 2))
        (holder,) = {1, 2} - {queued_at}
        world.send_data(2)
        world.deliver_except()
        world.end_flow(holder)
        world.deliver_except()
        world.fill(holder)
        world.drain(queued_at)
        world.advance(CHECK_INTERVAL_S)
        self.assert_not_reset(world, 2)


class ReturnedCopyTest(OpeningTest):
    """A target returns the first opening packet and opens the flow from another one."""

    def opened_after_return(self, agent_count):
        """Return a world and the agent whose balancer has yet to get the packet."""
        world = OpeningSimulation([False] * agent_count)
        world.send_copy(1)
        world.send_copy(1)
        ((_, agent),) = world.links
        number = int(agent.removeprefix("side-"))
        for refuses in (True, False):
            world.deliver(("edge-1", agent))
            world.agents[number][1].refuses = refuses
            world.deliver((agent, f"target-{number}"))
        for _ in range(2):
            world.deliver((f"target-{number}", agent))
        world.deliver(("", "caller"))
        self.assertIsNotNone(world.chosen)
        return world, number

    def test_an_evacuation_does_not_reset_a_flow_that_the_returned_packet_missed(self):
        world, _ = self.opened_after_return(3)
        world.evacuate()
        self.assert_not_reset(world, 2)

    def test_a_full_agent_does_not_reset_a_flow_that_the_returned_packet_missed(self):
        world, holder = self.opened_after_return(5)
        for number in world.agents:
            if number != holder:
                world.fill(number)
        with mock.patch("ryesaddle.internal.target.queue.MAX_QUEUED_FLOWS", 0):
            self.assert_not_reset(world, 2)


class RejectedFlowTest(OpeningTest):
    def test_a_flow_that_no_agent_can_queue_is_reset_within_a_round_trip(self):
        world = OpeningSimulation([True, True, True])
        with mock.patch("ryesaddle.internal.target.queue.MAX_QUEUED_FLOWS", 0):
            world.send_copy(1)
            world.deliver_except()
        self.assertTrue(world.was_reset)

    def test_a_flow_that_a_silent_target_may_accept_is_not_reset(self):
        world = OpeningSimulation([False, False, False])
        world.send_copy(1)
        ((_, agent),) = world.links
        number = int(agent.removeprefix("side-"))
        world.deliver(("edge-1", agent))
        world.advance(UNRESPONSIVE_AFTER_S + CHECK_INTERVAL_S)
        world.evacuate()
        world.deliver((agent, "edge-1"))
        self.assertFalse(world.was_reset)
        world.deliver_except()
        self.assertIn(FLOW, world.agents[number][1].half_open)
        self.assert_not_reset(world, 1)


class LateCopyTest(OpeningTest):
    """An opening packet arrives late because the process that reads it stood still."""

    def deliver_except_from(self, world, sender):
        while links := [link for link in world.links if link[0] != sender]:
            world.deliver(links[0])

    def open_before_copy_arrives(self):
        """Return a world and the agent of the open flow; edge-2 holds a copy for it."""
        world = OpeningSimulation([False, False, False])
        world.send_copy(1)
        ((_, agent),) = world.links
        holder = int(agent.removeprefix("side-"))
        world.deliver_except("caller")
        self.send_copy_to(world, 2, holder)
        self.deliver_except_from(world, "edge-2")
        world.send_data(1)
        self.deliver_except_from(world, "edge-2")
        world.answer_request(holder)
        self.deliver_except_from(world, "edge-2")
        self.assertIsNotNone(world.target_of(FLOW))
        return world, holder

    def test_a_copy_later_than_any_does_not_reset_an_open_flow(self):
        world, holder = self.open_before_copy_arrives()
        world.advance(COPY_PERIOD_S)
        world.fill(holder)
        self.assert_not_reset(world, 1)

    def test_a_copy_later_than_any_does_not_reset_a_flow_that_its_target_ended(self):
        world, holder = self.open_before_copy_arrives()
        world.end_flow(holder)
        self.deliver_except_from(world, "edge-2")
        world.advance(COPY_PERIOD_S)
        world.fill(holder)
        self.assert_not_reset(world, 1)

    def test_a_full_agent_does_not_reset_a_flow_that_a_copy_opened_before(self):
        world = OpeningSimulation([True] * 6)
        world.send_copy(1)
        world.send_copy(2)
        (agent,) = [to for sender, to in world.links if sender == "edge-2"]
        for _ in range(4):
            world.answer_request(int(agent.removeprefix("side-")))
        self.deliver_except_from(world, "edge-1")
        self.assertIsNotNone(world.chosen)
        with mock.patch("ryesaddle.internal.target.queue.MAX_QUEUED_FLOWS", 0):
            self.assert_not_reset(world, 2)


class OutdatedRoutesTest(OpeningTest):
    def test_a_balancer_that_lacks_a_new_route_does_not_reset_a_copy(self):
        world = OpeningSimulation([False, False, False])
        world.route_updaters[1].install(routes(2), "test")
        world.routes = routes(1, shares=())
        world.restart_balancer(2)
        world.send_copy(1)
        world.deliver_except("caller")
        # The caller has the acceptance before a reset that was sent after it.
        world.send_copy(2)
        self.assertFalse(world.was_reset)
