"""Evacuation of a data centre, as balancers and agents carry it out."""

import unittest
from unittest import mock

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.config.evacuation import EvacuationState
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.target.router import OVERCOMMIT_FLOWS, AgentRouter
from ryesaddle.internal.wire.passthrough import ForwardedPacket
from tests.support.packets import packet
from tests.support.passthrough import (
    ACK,
    FRONT,
    SERVICE,
    SYN,
    PacketSimulation,
    Target,
)

EVACUATED = EvacuationState(0, 10, ("dc",))
LIFTED = EvacuationState(0, 12, ())
SLOTS = 2  # of each target in the simulation


def caller(number):
    return Address("100.64.0.7", 10_000 + number)


class EvacuationCase(unittest.TestCase):
    """Agents 1 and 2 are in data centre ``dc``, as the balancers; 3 is in ``dc-2``."""

    data_centres = {1: "dc", 2: "dc", 3: "dc-2"}

    def setUp(self):
        self.world = PacketSimulation()
        self.world.data_centres = self.data_centres
        self.callers = 0
        for number in (1, 2):
            self.world.start_balancer(number)
        for number in self.data_centres:
            self.start_agent(number, Target(f"i-{number}", SERVICE))
        self.world.pass_time(2.0)
        for number in self.data_centres:
            self.world.report(number)

    def start_agent(self, number, target):
        self.world.start_agent(number, SERVICE, target)
        self.world.heartbeat(number)

    def read(self, state, balancer=1):
        """Let a balancer read a state from the store."""
        self.world.evacuations[balancer].apply_reading(state, self.world.now)
        self.world.settle()

    def open_flows(self, count=20, balancer=1):
        """Open flows; return how many each target got, and the number of resets."""
        before = {n: len(t.flows) for n, (_, t) in self.world.agents.items()}
        resets = 0
        for _ in range(count):
            self.callers += 1
            _, reset = self.world.send(balancer, caller(self.callers), SYN)
            resets += len(reset)
            # A flow that stays without a request counts as abandoned after 40 ms.
            self.world.pass_time(0.05)
            for number in self.world.agents:
                self.world.report(number)
        opened = {
            n: len(t.flows) - before[n] for n, (_, t) in self.world.agents.items()
        }
        return opened, resets

    def fill(self, number):
        """Send so many requests to an agent that further flows wait in its queue."""
        flows, now = self.world.agents[number][0]._flows, self.world.now
        for index in range(SLOTS + OVERCOMMIT_FLOWS):
            flow = Flow(caller(1_000 * number + index), FRONT)
            request = Packet(flow, has_data=True, sequence_number=1)
            flows.record_opening(flow, now)
            flows.record_caller_packet(request, b"", now)
        flows.record_sign_of_life()

    def assert_evacuated(self, balancer=1):
        opened, resets = self.open_flows(balancer=balancer)
        self.assertEqual((opened, resets), ({1: 0, 2: 0, 3: 20}, 0))


class StandstillTest(EvacuationCase):
    """Processes that stood still act on no permission that ran out meanwhile."""

    def setUp(self):
        super().setUp()
        for balancer in (1, 2):
            self.read(EVACUATED, balancer)
            self.read(LIFTED, balancer)
        self.world.pass_time(2.5)  # until the targets no longer count as cold

    def pass_time_without(self, number, seconds, evacuation=LIFTED):
        """Let all processes but one agent go on; balancer 1 reads a state meanwhile."""
        address = f"10.0.2.{number}"
        self.world.is_lost = lambda source, target: target.host == address
        self.read(evacuation)
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.now += 0.05
            for other, (agent, _) in self.world.agents.items():
                if other != number:
                    agent.run_periodic_checks()
            for evacuations in self.world.evacuations.values():
                evacuations.confirmed_state()
            self.world.settle()
        self.world.is_lost = lambda source, target: False

    def hand_over(self, number, count=5):
        """Let an agent handle opening packets that have waited in its socket."""
        for index in range(count):
            sent = packet(caller(index), FRONT, SYN, 77)
            self.world.sent_by_callers.add(sent)
            self.world.allowed_services[Flow(caller(index), FRONT)].add(SERVICE)
            forwarded = ForwardedPacket(SERVICE, Address("10.0.1.2", 7000), sent)
            self.world.agents[number][0]._on_forwarded_packet(forwarded, None)
        self.world.settle()

    def stand_still_through_evacuation(self):
        self.pass_time_without(1, 6.0, EvacuationState(0, 14, ("dc",)))
        self.hand_over(1)

    def test_an_agent_takes_no_new_flow_before_it_was_told_again(self):
        self.stand_still_through_evacuation()
        self.assertEqual(len(self.world.agents[1][1].flows), 0)
        self.assertGreater(len(self.world.agents[3][1].flows), 0)

    def test_without_the_rule_it_opens_flows_in_an_evacuated_data_centre(self):
        """Guards the test above: the rule is what it sees."""
        with mock.patch.object(AgentRouter, "awaits_evacuations", return_value=False):
            self.stand_still_through_evacuation()
        self.assertGreater(len(self.world.agents[1][1].flows), 0)

    def test_it_takes_new_flows_again_once_a_balancer_has_confirmed(self):
        self.pass_time_without(1, 6.0)
        self.hand_over(1)
        self.assertEqual(len(self.world.agents[1][1].flows), 0)
        self.world.pass_time(0.3)
        self.world.report(1)
        self.assertGreater(self.open_flows()[0][1], 0)

    def test_a_confirmation_sent_before_the_standstill_ended_does_not_count(self):
        self.pass_time_without(1, 6.0)
        router = self.world.agents[1][0]._router
        self.assertTrue(router.awaits_evacuations(self.world.now))
        router.confirm_evacuations(self.world.now)
        self.assertTrue(router.awaits_evacuations(self.world.now))

    def test_a_balancer_that_stood_still_confirms_nothing_before_it_has_asked(self):
        evacuations = self.world.evacuations[1]
        evacuations.confirmed_state()
        asked_at = self.world.now
        self.world.now += 6.0
        self.assertIsNone(evacuations.confirmed_state())
        evacuations.apply_reading(LIFTED, asked_at)
        self.assertIsNone(evacuations.confirmed_state())
        evacuations.record_failed_reading(self.world.now)
        self.assertEqual(evacuations.confirmed_state(), LIFTED)

    def test_without_evacuations_a_standstill_closes_no_agent(self):
        """Where the setting is absent, nobody could confirm anything."""
        router = AgentRouter(None, SERVICE, None, None, None)
        self.assertFalse(router.awaits_evacuations(0.0))
        self.assertFalse(router.awaits_evacuations(60.0))


class PropagationTest(EvacuationCase):
    def test_one_reading_closes_the_data_centre_at_balancers_and_agents(self):
        self.read(EVACUATED)
        self.assert_evacuated(1)
        # Balancer 2 has not heard of it: the agents send its new flows on.
        self.assert_evacuated(2)

    def test_the_removal_opens_the_data_centre_again(self):
        self.read(EVACUATED)
        self.read(LIFTED)
        opened, _ = self.open_flows()
        self.assertGreater(opened[1], 0)
        self.assertGreater(opened[2], 0)

    def test_an_older_reading_changes_nothing_at_balancers_and_agents(self):
        self.read(EVACUATED)
        self.read(EvacuationState(0, 9, ()), balancer=2)
        self.assert_evacuated(1)
        self.assert_evacuated(2)
        self.read(LIFTED)
        self.read(EVACUATED, balancer=2)
        self.assertGreater(self.open_flows()[0][1], 0)

    def test_created_and_deleted_in_quick_succession_leaves_it_open(self):
        self.read(LIFTED, balancer=2)
        self.read(EVACUATED, balancer=1)
        # The next gossip of balancer 2 tells balancer 1 of the newer reading.
        newest = self.world.evacuations[2].state
        self.world.evacuations[1].merge(newest, "balancer edge-2")
        self.world.settle()
        self.assertGreater(self.open_flows(balancer=1)[0][1], 0)

    def test_a_balancer_that_decides_alone_sends_no_new_flow(self):
        # All updates and acknowledgements are lost, so no agent knows.
        self.world.is_lost = lambda source, to: source.host.startswith("10.0.1.")
        self.read(EVACUATED)
        self.world.is_lost = lambda source, to: False
        self.assert_evacuated(1)

    def test_an_agent_that_missed_the_update_learns_it_from_an_acknowledgement(self):
        self.world.is_lost = lambda source, to: to.host == "10.0.2.1"
        self.read(EVACUATED)
        self.world.is_lost = lambda source, to: False
        self.world.pass_time(1.1)
        self.world.report(1)
        # Balancer 2 still believes that agent 1 is open.
        self.assertEqual(self.open_flows(balancer=2)[0][1], 0)

    def test_an_agent_that_starts_learns_it_from_the_first_acknowledgement(self):
        self.read(EVACUATED)
        target = self.world.agents[1][1]
        self.world.stop_agent(1, gone=False)
        self.start_agent(1, target)
        self.assert_evacuated(2)

    def test_a_balancer_that_starts_gets_the_state_of_a_peer(self):
        self.read(EVACUATED)
        self.world.start_balancer(1)
        for number in self.data_centres:
            self.world.report(number)
        peer = self.world.evacuations[2]
        peer.merge(EVACUATED, "test")
        self.world.evacuations[1].merge(peer.state, "balancer edge-2")
        self.assert_evacuated(1)

    def test_without_the_agents_decision_a_stale_balancer_sends_new_flows(self):
        # Guards the tests above: the decision of the agents is what they see.
        with mock.patch.object(AgentRouter, "set_evacuated", lambda *args: None):
            self.read(EVACUATED)
            opened, _ = self.open_flows(balancer=2)
        self.assertGreater(opened[1] + opened[2], 0)

    def test_without_the_balancers_decision_agents_that_missed_it_get_new_flows(self):
        with mock.patch.object(Placement, "set_evacuated", lambda *args: None):
            self.world.is_lost = lambda source, to: source.host.startswith("10.0.1.")
            self.read(EVACUATED)
            self.world.is_lost = lambda source, to: False
            opened, _ = self.open_flows(3)
        self.assertGreater(opened[1] + opened[2], 0)


class FlowTest(EvacuationCase):
    def test_open_flows_go_on_in_an_evacuated_data_centre(self):
        self.open_flows(12)
        self.read(EVACUATED)
        for number in range(1, 13):
            answers, resets = self.world.send(1, caller(number), ACK)
            self.assertEqual((len(answers), resets), (1, []))
        # The same through a balancer that has to search for the flows.
        self.world.start_balancer(1)
        for number in range(1, 13):
            answers, resets = self.world.send(1, caller(number), ACK)
            self.assertEqual((len(answers), resets), (1, []))

    def test_the_cached_agent_of_a_flow_gets_no_opening_packet(self):
        # A caller uses its port again: the balancer still caches the former flow.
        self.open_flows(12)
        for _, target in self.world.agents.values():
            target.flows.clear()
        self.read(EVACUATED)
        for number in range(1, 13):
            self.world.send(1, caller(number), SYN)
            self.world.pass_time(0.05)
        flows = {n: len(t.flows) for n, (_, t) in self.world.agents.items()}
        self.assertEqual(flows, {1: 0, 2: 0, 3: 12})

    def test_queued_opening_packets_leave_at_once(self):
        for number in self.data_centres:
            self.fill(number)
        self.open_flows(6)
        queued = sum(len(self.world.agents[n][0]._queue) for n in (1, 2))
        self.assertGreater(queued, 0)
        self.read(EVACUATED)
        for number in (1, 2):
            self.assertEqual(len(self.world.agents[number][0]._queue), 0)
        self.assertEqual(len(self.world.agents[3][0]._queue), 6)
        self.assertEqual(self.world.resets, [])


class RefusalTest(EvacuationCase):
    data_centres = {1: "dc", 2: "dc"}

    def test_a_flow_is_refused_at_once_if_all_data_centres_are_evacuated(self):
        self.read(EVACUATED)
        opened, resets = self.open_flows(5)
        self.assertEqual((opened, resets), ({1: 0, 2: 0}, 5))
        # Balancer 2 does not know: the agents return the flow, and it is only dropped.
        self.assertEqual(self.open_flows(5, balancer=2), ({1: 0, 2: 0}, 0))

    def test_a_copy_is_not_reset_since_another_may_have_opened_the_flow(self):
        self.world.send(1, caller(1), SYN)
        for balancer in (1, 2):
            self.read(EVACUATED, balancer)
            # The fabric may send the copy to a balancer that has not seen the first.
            _, resets = self.world.send(balancer, caller(1), SYN, copy=1)
            self.assertEqual(resets, [])
        answers, _ = self.world.send(1, caller(1), ACK)
        self.assertEqual(len(answers), 1)

    def test_a_returned_packet_is_not_reset_if_another_agent_has_the_flow(self):
        for number in (1, 2):
            self.fill(number)
        self.world.send(1, caller(1), SYN)
        queues = {n: a._queue for n, (a, _) in self.world.agents.items()}
        other = next(n for n, queue in queues.items() if not queue)
        # A copy that was queued elsewhere has opened the flow meanwhile.
        flow = Flow(caller(1), FRONT)
        self.world.balancers[1]._placement.record_agent(flow, f"side-{other}")
        self.read(EVACUATED)
        self.assertEqual([len(queue) for queue in queues.values()], [0, 0])
        self.assertEqual(self.world.resets, [])

    def test_a_service_without_open_targets_elsewhere_is_not_refused(self):
        self.world.data_centres = {**self.data_centres, 3: "dc-2"}
        target = Target("i-3", SERVICE)
        self.start_agent(3, target)
        target.draining = True
        self.world.heartbeat(3)
        self.read(EVACUATED)
        opened, resets = self.open_flows(5)
        self.assertEqual((sum(opened.values()), resets), (0, 0))


class WarmUpTest(EvacuationCase):
    LIMIT = 4

    def setUp(self):
        super().setUp()
        for balancer in self.world.balancers.values():
            updater = balancer._route_updater
            updater.routes = msgspec.structs.replace(
                updater.routes, warm_up_per_s=((SERVICE, float(self.LIMIT)),)
            )
        # The next acknowledgement carries the limit.
        self.world.pass_time(1.1)
        for number in self.data_centres:
            self.world.report(number)

    def test_a_cold_data_centre_gets_no_more_than_the_limit(self):
        self.read(EVACUATED)
        for number in (1, 2):
            self.world.agents[number][1].warm_up_s = 60.0
        self.read(LIFTED)
        # The heartbeats that say so come later than the first new flows.
        opened, _ = self.open_flows(10)
        for number in (1, 2):
            self.world.heartbeat(number)
        more, _ = self.open_flows(9)
        total = {n: opened[n] + more[n] for n in opened}
        self.assertEqual((total[1], total[2]), (self.LIMIT, self.LIMIT))
        self.assertEqual(sum(total.values()), 19)

    def test_a_restart_of_the_agent_gives_no_second_budget(self):
        for number in (1, 2):
            self.world.agents[number][1].warm_up_s = 60.0
            self.world.heartbeat(number)
        opened, _ = self.open_flows(10)
        self.assertEqual(opened[1], self.LIMIT)
        self.world.start_agent(1, SERVICE, self.world.agents[1][1])
        more, _ = self.open_flows(9)
        self.assertEqual(more[1], 0)
        self.world.heartbeat(1)
        self.world.pass_time(0.6)
        self.world.report(1)
        self.assertGreater(self.open_flows(10)[0][1], 0)
