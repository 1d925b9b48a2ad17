import unittest

import msgspec
from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.target.report import TargetReport
from ryesaddle.internal.target.state import Applied, Ignored, TargetState

HEARTBEAT_INTERVAL_S = 0.77


def report(target="i-1", sequence=1, **more):
    return TargetReport(target=target, service="case-desk", sequence=sequence, **more)


def state_after(*reports):
    state = TargetState("case-desk", HEARTBEAT_INTERVAL_S)
    for number, item in enumerate(reports):
        state.apply_heartbeat(item, float(number))
    return state


class HeartbeatTest(unittest.TestCase):
    def test_a_target_is_closed_before_its_first_heartbeat(self):
        self.assertFalse(state_after().is_open())
        self.assertEqual(state_after().target, "")

    def test_a_first_heartbeat_opens_and_draining_closes_at_once(self):
        state = state_after(report())
        self.assertTrue(state.is_open())
        self.assertEqual(
            state.apply_heartbeat(report(sequence=2, draining=True), 1),
            Applied("drains"),
        )
        self.assertFalse(state.is_open())

    def test_a_late_heartbeat_does_not_undo_draining(self):
        state = state_after(report(sequence=1), report(sequence=3, draining=True))
        self.assertEqual(state.apply_heartbeat(report(sequence=2), 5), Ignored("late"))
        self.assertFalse(state.is_open())

    def test_a_heartbeat_of_another_service_is_ignored(self):
        state = state_after()
        other = msgspec.structs.replace(report(), service="pack-archive")
        self.assertEqual(state.apply_heartbeat(other, 0), Ignored("other-service"))
        self.assertFalse(state.is_open())

    def test_a_late_heartbeat_of_a_replaced_target_is_ignored(self):
        state = state_after(report("i-1"), report("i-2"))
        self.assertEqual(
            state.apply_heartbeat(report("i-1", 99), 5), Ignored("ended-before")
        )
        self.assertEqual(state.target, "i-2")

    def test_a_heartbeat_of_an_unknown_target_that_started_earlier_is_ignored(self):
        state = state_after(report("i-2", started_at=2_000))
        late = report("i-1", 50, started_at=1_000)
        self.assertEqual(state.apply_heartbeat(late, 5), Ignored("started-before"))

    def test_a_restarted_target_may_begin_a_new_sequence(self):
        state = state_after(report("i-1", 70, started_at=1_000, draining=True))
        again = report("i-1", 1, started_at=2_000)
        self.assertEqual(state.apply_heartbeat(again, 5), Applied("started"))
        self.assertTrue(state.is_open())
        late = report("i-1", 71, started_at=1_000)
        self.assertEqual(state.apply_heartbeat(late, 6), Ignored("started-before"))

    def test_a_late_heartbeat_of_an_ended_target_is_ignored(self):
        state = state_after(report("i-1", 3))
        self.assertTrue(state.mark_ended("i-1"))
        self.assertFalse(state.is_open())
        state.apply_heartbeat(report("i-2", 1), 5)
        self.assertEqual(
            state.apply_heartbeat(report("i-1", 4), 6), Ignored("ended-before")
        )
        self.assertFalse(state.mark_ended("i-1"))
        self.assertTrue(state.is_open())

    def test_a_late_heartbeat_is_ignored_while_no_other_target_is_known(self):
        state = state_after(report("i-1", 3))
        state.mark_ended("i-1")
        self.assertEqual(
            state.apply_heartbeat(report("i-1", 4), 6), Ignored("ended-before")
        )

    def test_a_target_may_restart_after_it_has_ended(self):
        state = state_after(report("i-1", 3, started_at=1_000))
        state.mark_ended("i-1")
        again = report("i-1", 1, started_at=2_000)
        self.assertEqual(state.apply_heartbeat(again, 5), Applied("started"))

    def test_silence_is_measured_in_heartbeat_intervals(self):
        state = state_after(report())
        self.assertFalse(state.has_missed_heartbeats(2 * HEARTBEAT_INTERVAL_S, 2))
        self.assertTrue(state.has_missed_heartbeats(2.1 * HEARTBEAT_INTERVAL_S, 2))


class OtherWriterTest(unittest.TestCase):
    """Guards against a heartbeat of another writer that replaces the target."""

    def hear(self, state, now, *args, **more):
        return state.apply_heartbeat(report(*args, **more), now)

    def test_a_heartbeat_without_the_start_that_the_target_tells_is_ignored(self):
        for born, expected in ((1_000, "no-start"), (None, "not-confirmed")):
            state = state_after(report("i-1", 4, started_at=born, draining=True))
            # Such a heartbeat is ignored also while the target is silent.
            late_s = 0.5 if born is None else 30.0
            self.assertEqual(self.hear(state, late_s, "i-other", 3), Ignored(expected))
            same = self.hear(state, 0.6, "i-1", 9, draining=True)
            self.assertEqual(same, Ignored("no-start") if born else Applied("same"))
            self.assertTrue(state.is_draining("i-1"))

    def test_a_target_that_is_heard_is_replaced_only_by_one_that_has_just_started(self):
        state = state_after(report("i-1", 4))
        self.assertEqual(self.hear(state, 0.5, "i-2", 7), Ignored("not-confirmed"))
        self.assertEqual(self.hear(state, 0.6, "i-2", 1), Applied("started"))

    def test_a_target_that_drains_is_not_replaced_while_it_is_heard(self):
        state = state_after(report("i-1", 4, draining=True))
        self.assertEqual(self.hear(state, 0.5, "i-2", 1), Ignored("not-confirmed"))
        self.assertTrue(state.is_draining("i-1"))
        # It has ended without a goodbye.
        self.assertEqual(self.hear(state, 1.5, "i-2", 2), Applied("started"))

    def test_a_copy_of_a_heartbeat_under_another_identifier_is_ignored(self):
        state = state_after(report("i-1", 4, started_at=1_000, draining=True))
        copied = self.hear(state, 0.5, "i-other", 5, started_at=1_000)
        self.assertEqual(copied, Ignored("started-before"))
        self.assertTrue(state.is_draining("i-1"))

    def test_a_target_at_another_address_is_ignored(self):
        own, other = Address("10.0.0.1", 80), Address("10.0.0.2", 80)
        state = TargetState("case-desk", HEARTBEAT_INTERVAL_S, own)
        ignored = self.hear(state, 0.0, "i-2", 1, address=other)
        self.assertEqual(ignored, Ignored("other-address"))
        heard = self.hear(state, 0.0, "i-1", 1, address=own)
        self.assertEqual(heard, Applied("started"))

    def test_a_target_that_was_replaced_by_mistake_is_heard_again(self):
        for born in (None, 1_000):
            state = state_after(report("i-1", 4, started_at=born))
            later = born and born + 1
            self.hear(state, 0.5, "i-other", 1, started_at=later)
            self.assertEqual(state.target, "i-other")
            for sequence in range(5, 9):
                now = sequence * HEARTBEAT_INTERVAL_S
                self.hear(state, now, "i-1", sequence, started_at=born, draining=True)
            self.assertTrue(state.is_draining("i-1"))


class ClockChangeTest(unittest.TestCase):
    """A target starts again after its host's clock was set back."""

    def hear(self, state, target, born, sequences, at):
        """Apply heartbeats one interval apart; return what became of each."""
        applied = []
        for number, sequence in enumerate(sequences):
            item = report(target, sequence, started_at=born)
            now = at + number * HEARTBEAT_INTERVAL_S
            applied.append(type(state.apply_heartbeat(item, now)))
        return applied

    def test_the_new_start_is_heard_once_the_earlier_one_missed_two_heartbeats(self):
        # Guards against a target that is ignored for as long as it runs.
        for name in ("i-1", "i-2"):
            state = state_after(report("i-1", 70, started_at=9_000, draining=True))
            heard = self.hear(state, name, 1_000, (1, 2, 3, 4), HEARTBEAT_INTERVAL_S)
            self.assertEqual(heard, [Ignored, Ignored, Applied, Applied])
            self.assertEqual((state.target, state.is_open()), (name, True))

    def test_the_new_start_is_heard_after_a_goodbye_of_the_earlier_one(self):
        state = state_after(report("i-1", 70, started_at=9_000))
        state.mark_ended("i-1")
        heard = self.hear(state, "i-1", 1_000, (1, 2, 3, 4), HEARTBEAT_INTERVAL_S)
        self.assertEqual(heard, [Ignored, Ignored, Applied, Applied])

    def test_late_heartbeats_of_the_replaced_start_are_ignored(self):
        state = state_after(report("i-1", 70, started_at=9_000))
        self.hear(state, "i-1", 1_000, (1, 2, 3, 4), HEARTBEAT_INTERVAL_S)
        late = report("i-1", 71, started_at=9_000, draining=True)
        self.assertEqual(state.apply_heartbeat(late, 5), Ignored("ended-before"))

    def test_a_late_heartbeat_does_not_open_a_draining_target_that_is_silent(self):
        state = state_after(report("i-1", 70, started_at=9_000, draining=True))
        for now in (10.0, 10.01):
            late = report("i-1", int(now * 100), started_at=1_000)
            self.assertEqual(
                state.apply_heartbeat(late, now), Ignored("started-before")
            )
        self.assertFalse(state.is_open())

    def test_an_earlier_start_is_ignored_while_the_present_one_is_heard(self):
        state = state_after(report("i-1", 70, started_at=9_000, draining=True))
        for number in range(1, 9):
            now = number * HEARTBEAT_INTERVAL_S
            self.hear(state, "i-1", 1_000, (number,), now)
            present = report("i-1", 70 + number, started_at=9_000, draining=True)
            self.assertEqual(state.apply_heartbeat(present, now), Applied("same"))
        self.assertFalse(state.is_open())


class RestoreTest(unittest.TestCase):
    def test_draining_survives_a_restart_of_the_agent(self):
        state = state_after()
        self.assertTrue(state.restore("i-1", True))
        self.assertFalse(state.is_open())

    def test_a_source_that_does_not_know_of_draining_does_not_undo_it(self):
        for order in ((True, False), (False, True)):
            state = state_after()
            for draining in order:
                state.restore("i-1", draining)
            self.assertFalse(state.is_open())

    def test_draining_prevails_if_sources_name_different_targets(self):
        # The store may still have the entry of the target before.
        for order in ((True, False), (False, True)):
            state = state_after()
            for draining in order:
                state.restore("i-2" if draining else "i-1", draining)
            self.assertFalse(state.is_open())

    def test_a_restored_target_is_closed_until_it_is_confirmed_or_heard(self):
        state = state_after()
        state.restored_confirmed = False
        state.restore("i-1", False)
        self.assertFalse(state.is_open())
        state.restored_confirmed = True
        self.assertTrue(state.is_open())
        state.restored_confirmed = False
        state.apply_heartbeat(report("i-1", 9), 0.0)
        self.assertTrue(state.is_open())

    def test_one_late_heartbeat_does_not_open_a_target_that_drained_before(self):
        # It was sent before the draining, and the agent has restarted since.
        for born in (None, 1_000):
            state = state_after()
            state.restore("i-1", True)
            late = report("i-1", 5, started_at=born)
            self.assertEqual(
                state.apply_heartbeat(late, 0.0), Ignored("drained-before")
            )
            self.assertFalse(state.is_open())
            later = report("i-1", 6, started_at=born)
            state.apply_heartbeat(later, HEARTBEAT_INTERVAL_S)
            self.assertTrue(state.is_open())

    def test_a_new_start_opens_at_once_although_the_target_drained_before(self):
        state = state_after()
        state.restore("i-1", True)
        state.apply_heartbeat(report("i-1", 1), 0.0)
        self.assertTrue(state.is_open())

    def test_a_target_that_said_goodbye_is_not_restored(self):
        # Balancers that do not know of the goodbye yet still report the target.
        state = state_after(report("i-1"))
        state.mark_ended("i-1")
        self.assertFalse(state.restore("i-1", False))
        self.assertEqual(state.target, "")

    def test_a_heartbeat_takes_precedence_over_restored_state(self):
        state = state_after()
        state.restore("i-1", True)
        state.apply_heartbeat(report("i-2"), 0)
        self.assertTrue(state.is_open())
        self.assertFalse(state.restore("i-1", True))
        self.assertTrue(state.is_open())


class OrderTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.integers(1, 6), st.booleans()), max_size=30
        ),
        st.randoms(use_true_random=False),
    )
    def test_with_start_times_the_newest_heartbeat_decides_in_any_order(
        self, sent, rng
    ):
        """Heartbeats of several targets, delivered in random order."""
        reports = [
            report(f"i-{start}", seq, started_at=start, draining=draining)
            for start, seq, draining in sent
        ]
        rng.shuffle(reports)
        state = state_after()
        # Within two heartbeat intervals. Later, a start that seems earlier may be one
        # after the host's clock was set back (`ClockChangeTest`).
        for number, item in enumerate(reports):
            state.apply_heartbeat(item, number * HEARTBEAT_INTERVAL_S / 20)
        if not reports:
            return
        newest = max((r.started_at, r.sequence) for r in reports)
        first = next(r for r in reports if (r.started_at, r.sequence) == newest)
        self.assertEqual(state.target, first.target)
        self.assertEqual(state.draining, first.draining)
