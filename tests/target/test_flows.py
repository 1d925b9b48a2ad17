import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.target.flows import (
    MAX_OPENING_S,
    MIN_OPENING_S,
    Opened,
    Served,
    TargetFlows,
)

FRONT = Address("198.18.0.1", 443)
WORK_S = 1.2
IDLE_S = 60.0


def flow(number):
    return Flow(Address("100.64.0.7", 1_000 + number), FRONT)


def asked(number, sequence_number=1):
    return Packet(flow(number), has_data=True, sequence_number=sequence_number)


class WorkTest(unittest.TestCase):
    def setUp(self):
        self.flows = TargetFlows()

    def open_and_ask(self, number, now=0.0):
        self.flows.opened(flow(number), now, None, WORK_S)
        self.flows.from_caller(asked(number), b"request", now + 0.007)

    def test_a_request_counts_from_its_opening_to_its_answer(self):
        self.open_and_ask(1)
        self.assertEqual(self.flows.at_work(0.5), 1)
        found = self.flows.from_target(Packet(flow(1), has_data=True), 0.5)
        self.assertEqual(found, Served(0.5))
        self.assertEqual(self.flows.at_work(0.5), 0)

    def test_the_first_packet_of_a_target_tells_how_long_opening_took(self):
        self.flows.opened(flow(1), 0.0, b"opening")
        accepts = Packet(flow(1), accepts=True)
        self.assertEqual(self.flows.from_target(accepts, 0.001), Opened(0.001))
        self.assertIsNone(self.flows.from_target(accepts, 0.002))

    def test_a_repeated_request_is_not_counted_again_after_its_answer(self):
        self.open_and_ask(1)
        self.flows.from_target(Packet(flow(1), has_data=True), 0.1)
        self.flows.from_caller(asked(1), b"request", 0.2)
        self.assertEqual(self.flows.at_work(0.2), 0)
        self.flows.from_caller(asked(1, sequence_number=2), b"next", 0.3)
        self.assertEqual(self.flows.at_work(0.3), 1)

    def test_positions_may_wrap_around(self):
        self.flows.opened(flow(1), 0.0, None, WORK_S)
        self.flows.from_caller(asked(1, 2**32 - 1), b"", 0.01)
        self.flows.from_target(Packet(flow(1), has_data=True), 0.1)
        self.flows.from_caller(asked(1, 5), b"", 0.2)
        self.assertEqual(self.flows.at_work(0.2), 1)

    def test_a_caller_that_never_comes_does_not_hold_a_place(self):
        self.flows.opened(flow(1), 0.0)
        self.assertEqual(self.flows.at_work(MIN_OPENING_S / 2), 1)
        self.assertEqual(self.flows.at_work(MAX_OPENING_S), 0)

    def test_a_lost_answer_stops_counting_when_the_request_has_timed_out(self):
        self.open_and_ask(1)
        self.assertEqual(self.flows.expire(WORK_S + 0.1, IDLE_S), [flow(1)])
        self.assertEqual(self.flows.at_work(WORK_S + 0.1), 0)
        self.assertEqual(self.flows.expire(WORK_S + 0.2, IDLE_S), [])

    def test_lost_closing_packets_leave_nothing_behind(self):
        for number in range(500):
            self.open_and_ask(number, number * 0.01)
            self.flows.from_target(Packet(flow(number), has_data=True), number * 0.01)
        self.assertEqual(self.flows.at_work(5.0), 0)
        self.flows.expire(5.0 + IDLE_S, IDLE_S)
        self.assertEqual(len(self.flows), 0)


class SilenceTest(unittest.TestCase):
    def test_silence_counts_from_the_first_unanswered_opening(self):
        flows = TargetFlows()
        self.assertEqual(flows.silent_s(1.0), 0.0)
        flows.opened(flow(1), 1.0, "first")
        flows.opened(flow(2), 1.1, "second")
        self.assertAlmostEqual(flows.silent_s(1.2), 0.2)
        self.assertEqual(flows.unanswered(), ["first", "second"])
        self.assertEqual(len(flows), 0)

    def test_any_packet_of_the_target_ends_its_silence(self):
        flows = TargetFlows()
        flows.opened(flow(1), 1.0, "first")
        flows.from_target(Packet(flow(9)), 1.05)
        self.assertEqual(flows.silent_s(1.2), 0.0)


class WaitingTest(unittest.TestCase):
    def test_only_flows_that_wait_for_an_answer_are_verified(self):
        flows = TargetFlows()
        for number in (1, 2, 3):
            flows.opened(flow(number), 0.0, None, WORK_S)
        flows.from_caller(asked(1), b"one", 0.01)
        flows.from_caller(asked(2), b"two", 0.01)
        flows.from_target(Packet(flow(2), has_data=True), 0.02)
        self.assertEqual(flows.waiting(), [b"one"])


class FlowsMachine(RuleBasedStateMachine):
    """Packets of any kind in any order, some of them lost."""

    def __init__(self):
        super().__init__()
        self.flows = TargetFlows()
        self.now = 0.0

    numbers = st.integers(0, 5)

    @rule(number=numbers)
    def open(self, number):
        self.flows.opened(flow(number), self.now, number, WORK_S)

    @rule(number=numbers, data=st.booleans(), resets=st.booleans(), at=numbers)
    def caller_sends(self, number, data, resets, at):
        sent = Packet(flow(number), has_data=data, resets=resets, sequence_number=at)
        self.flows.from_caller(sent, b"", self.now)

    @rule(number=numbers, data=st.booleans(), ends=st.booleans(), resets=st.booleans())
    def target_sends(self, number, data, ends, resets):
        sent = Packet(flow(number), has_data=data, ends=ends, resets=resets)
        self.flows.from_target(sent, self.now)

    @rule(number=numbers)
    def target_returns(self, number):
        self.flows.returned(flow(number))

    @rule(pause_s=st.sampled_from([0.001, 0.05, 0.5, 2.0, 70.0]))
    def pass_time(self, pause_s):
        self.now += pause_s
        self.flows.expire(self.now, IDLE_S)

    @invariant()
    def the_count_is_that_of_the_flows_at_work(self):
        counted = self.flows.at_work(self.now)
        records = self.flows._flows.values()
        assert counted == sum(r.at_work for r in records)
        assert 0 <= counted <= len(self.flows)

    def teardown(self):
        self.flows.expire(self.now + WORK_S + MAX_OPENING_S, IDLE_S)
        assert self.flows.at_work(self.now + WORK_S + MAX_OPENING_S) == 0


class FlowsMachineTest(unittest.TestCase):
    def test_the_count_of_work_heals_whatever_is_lost(self):
        run_state_machine_as_test(FlowsMachine, settings=settings(max_examples=200))
