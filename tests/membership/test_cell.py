import unittest
from unittest import mock

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ryesaddle.internal.membership.action import FetchFromOtherCell
from ryesaddle.internal.membership.cell import CellMember
from ryesaddle.internal.membership.member_tracker import MEMBER_TIMEOUT_S
from tests.support.cells import CellSimulation

NODES = ("a", "b", "c")
nodes = st.sampled_from(NODES)
STEPS = settings(max_examples=300, stateful_step_count=50)
MUTANT_STEPS = settings(
    max_examples=1_500, stateful_step_count=50, phases=[Phase.generate]
)


class CellMachine(RuleBasedStateMachine):
    """Runs a cell with store failures, paused or crashed members and lost messages."""

    def __init__(self):
        super().__init__()
        self.world = CellSimulation(NODES)
        self.paused = set()

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0)), rounds=st.integers(1, 8))
    def run_rounds(self, seconds, rounds):
        for _ in range(rounds):
            self.world.now += seconds
            for node in sorted(set(NODES) - self.paused):
                self.world.tick(node)
                self.world.watch(node)
            for _ in range(len(self.world.messages)):
                self.world.deliver(0)
            self.answer_running()

    def answer_running(self):
        kept = [p for p in self.world.pending if p[0] in self.paused]
        self.world.pending = [p for p in self.world.pending if p[0] not in self.paused]
        for _ in range(len(self.world.pending)):
            self.world.answer(0)
        self.world.pending += kept

    @rule(node=nodes)
    def tick_one(self, node):
        if node not in self.paused:
            self.world.tick(node)

    @rule(node=nodes)
    def watch(self, node):
        if node not in self.paused:
            self.world.watch(node)

    @precondition(lambda self: self.world.pending)
    @rule(index=st.integers(0, 5), lose=st.booleans())
    def answer_one(self, index, lose):
        self.world.answer(index, lose)

    @precondition(lambda self: self.world.messages)
    @rule(index=st.integers(0, 9), keep=st.booleans())
    def deliver_one(self, index, keep):
        self.world.deliver(index, keep)

    @rule()
    def drop_messages(self):
        self.world.messages.clear()

    @rule(node=nodes)
    def pause_or_resume(self, node):
        self.paused ^= {node}

    @rule(watch_first=st.booleans())
    def pause_leader_past_its_lease(self, watch_first):
        leaders = {n for n, cell in self.world.members.items() if cell.leads}
        before, self.paused = self.paused, self.paused | leaders
        self.run_rounds(1.0, 14)
        self.paused = before
        for node in sorted(leaders - self.paused):
            if watch_first:
                self.world.watch(node)

    @rule(seconds=st.sampled_from((2.0, 4.0, 30.0)))
    def advance_clock(self, seconds):
        self.world.now += seconds

    @rule(node=nodes)
    def resign(self, node):
        if node not in self.paused:
            cell = self.world.members[node]
            self.world.perform(node, cell.resign())

    @rule()
    def toggle_store_outage(self):
        self.world.down = not self.world.down

    @rule(node=nodes)
    def crash_and_restart(self, node):
        self.world.restart(node)
        self.paused.discard(node)

    @invariant()
    def record_terms_never_decrease(self):
        terms = [record.term for record in self.world.records]
        assert terms == sorted(terms), terms

    @invariant()
    def record_generations_strictly_increase(self):
        numbers = [record.generation for record in self.world.records]
        assert numbers == sorted(set(numbers)), numbers

    def teardown(self):
        self.world.settle()
        leaders = [n for n, cell in self.world.members.items() if cell.leads]
        assert len(leaders) == 1, leaders
        found = {m.identity for m in self.world.record.value.members}
        assert found == {c.me.identity for c in self.world.members.values()}


class CellTest(unittest.TestCase):
    def test_record_terms_and_generations_increase_under_faults(self):
        run_state_machine_as_test(CellMachine, settings=STEPS)

    def test_state_machine_detects_a_leader_that_ignores_a_newer_term(self):
        with (
            mock.patch.object(
                CellMember, "_is_superseded_by", lambda self, record: False
            ),
            self.assertRaises(AssertionError),
        ):
            machine = type("Mutant", (CellMachine,), {})
            run_state_machine_as_test(machine, settings=MUTANT_STEPS)

    def test_a_leader_paused_past_its_lease_steps_down_on_a_later_record(self):
        world = CellSimulation(NODES)
        world.settle()
        leader = next(n for n, cell in world.members.items() if cell.leads)
        world.settle(12.0, [n for n in NODES if n != leader])
        world.watch(leader)
        world.tick(leader)
        self.assertFalse(world.members[leader].leads)
        world.settle()
        terms = [record.term for record in world.records]
        self.assertEqual(terms, sorted(terms))

    def test_a_leader_drops_no_member_after_its_own_pause(self):
        world = CellSimulation(NODES)
        world.settle()
        leader = next(n for n, cell in world.members.items() if cell.leads)
        before = world.record.value.members
        world.now += MEMBER_TIMEOUT_S + 0.2
        world.tick(leader)
        world.watch(leader)
        while world.pending:
            world.answer(0)
        self.assertEqual(world.record.value.members, before)

    def test_a_member_that_crashed_is_dropped_within_four_seconds(self):
        world = CellSimulation(NODES)
        world.settle()
        leader = next(n for n, cell in world.members.items() if cell.leads)
        dead = next(n for n in NODES if n != leader)
        world.settle(4.0, [n for n in NODES if n != dead])
        self.assertNotIn(dead, {m.node for m in world.record.value.members})

    def test_a_leader_that_resigns_is_replaced_within_a_second(self):
        world = CellSimulation(NODES)
        world.settle()
        leader = next(n for n, cell in world.members.items() if cell.leads)
        rest = [n for n in NODES if n != leader]
        world.perform(leader, world.members[leader].resign())
        while world.pending:
            world.answer(0)
        for node in rest:
            world.members[node].resigned(world.lease.value.term, world.now)
        world.settle(1.0, rest)
        self.assertEqual(sum(world.members[n].leads for n in rest), 1)

    def test_a_member_without_leader_asks_other_cells_within_two_seconds(self):
        world = CellSimulation(NODES)
        world.settle()
        follower = next(n for n, cell in world.members.items() if not cell.leads)
        lost_at = world.now
        actions = []
        while not any(isinstance(a, FetchFromOtherCell) for a in actions):
            world.now += 0.1
            actions = world.members[follower].tick(world.now)
        self.assertLessEqual(world.now - lost_at, 2.0)

    def test_a_dead_leader_is_replaced_and_no_other_member_is_dropped(self):
        world = CellSimulation(NODES)
        world.settle()
        leader = next(n for n, cell in world.members.items() if cell.leads)
        rest = [n for n in NODES if n != leader]
        world.settle(12.0, rest)
        self.assertEqual({m.node for m in world.record.value.members}, set(rest))
        dropped = [
            set(rest) - {m.node for m in record.members}
            for record in world.records
            if record.term == world.lease.value.term
        ]
        self.assertFalse(any(dropped), dropped)

    def test_store_calls_do_not_grow_with_the_members_of_a_cell(self):
        calls = []
        for size in (3, 12):
            world = CellSimulation([f"node-{n}" for n in range(size)])
            world.settle()
            before = world.calls
            world.settle(60.0)
            calls.append(world.calls - before)
        self.assertEqual(calls[0], calls[1])

    def test_store_calls_grow_with_changes_not_with_nodes(self):
        calls = []
        for size in (3, 12):
            names = [f"node-{n}" for n in range(size)]
            world = CellSimulation(names)
            world.settle()
            before = len(world.records)
            follower = next(n for n in names if not world.members[n].leads)
            for _ in range(5):
                world.restart(follower)
                world.settle(5.0)
            calls.append(len(world.records) - before)
        self.assertEqual(calls[0], calls[1])

    def test_a_leader_keeps_its_role_during_a_store_outage(self):
        world = CellSimulation(NODES)
        world.settle()
        leader = next(n for n, cell in world.members.items() if cell.leads)
        world.down = True
        for _ in range(600):
            world.now += 0.1
            for node in NODES:
                world.tick(node)
            while world.messages or world.pending:
                while world.messages:
                    world.deliver(0)
                while world.pending:
                    world.answer(0)
        self.assertTrue(world.members[leader].leads)
        reads = sum(type(p[2]).__name__ == "ReadLease" for p in world.pending)
        self.assertEqual(reads, 0)
