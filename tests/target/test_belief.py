import unittest

import msgspec
from hypothesis import given, strategies as st

from ryesaddle.internal.target.belief import Ignored, Taken, TargetBelief
from ryesaddle.internal.target.report import TargetReport

BEAT_S = 0.77


def report(target="i-1", sequence=1, **more):
    return TargetReport(target=target, service="case-desk", sequence=sequence, **more)


def belief(*reports):
    held = TargetBelief("case-desk", BEAT_S)
    for number, item in enumerate(reports):
        held.hear(item, float(number))
    return held


class HearTest(unittest.TestCase):
    def test_nothing_is_open_before_the_first_heartbeat(self):
        self.assertFalse(belief().is_open())
        self.assertEqual(belief().target, "")

    def test_a_first_heartbeat_opens_and_draining_closes_at_once(self):
        held = belief(report())
        self.assertTrue(held.is_open())
        self.assertEqual(
            held.hear(report(sequence=2, draining=True), 1), Taken("drains")
        )
        self.assertFalse(held.is_open())

    def test_a_late_heartbeat_does_not_undo_draining(self):
        held = belief(report(sequence=1), report(sequence=3, draining=True))
        self.assertEqual(held.hear(report(sequence=2), 5), Ignored("late"))
        self.assertFalse(held.is_open())

    def test_a_heartbeat_of_another_service_is_ignored(self):
        held = belief()
        other = msgspec.structs.replace(report(), service="pack-archive")
        self.assertEqual(held.hear(other, 0), Ignored("other-service"))
        self.assertFalse(held.is_open())

    def test_a_target_that_was_replaced_does_not_come_back(self):
        held = belief(report("i-1"), report("i-2"))
        self.assertEqual(held.hear(report("i-1", 99), 5), Ignored("ended-before"))
        self.assertEqual(held.target, "i-2")

    def test_an_earlier_start_is_ignored_even_if_never_heard(self):
        held = belief(report("i-2", started_at=2_000))
        late = report("i-1", 50, started_at=1_000)
        self.assertEqual(held.hear(late, 5), Ignored("started-before"))

    def test_the_same_target_may_start_again_with_a_new_sequence(self):
        held = belief(report("i-1", 70, started_at=1_000, draining=True))
        again = report("i-1", 1, started_at=2_000)
        self.assertEqual(held.hear(again, 5), Taken("started"))
        self.assertTrue(held.is_open())
        late = report("i-1", 71, started_at=1_000)
        self.assertEqual(held.hear(late, 6), Ignored("started-before"))

    def test_a_target_that_has_left_is_not_taken_for_present_again(self):
        held = belief(report("i-1", 3))
        self.assertTrue(held.leave("i-1"))
        self.assertFalse(held.is_open())
        held.hear(report("i-2", 1), 5)
        self.assertEqual(held.hear(report("i-1", 4), 6), Ignored("ended-before"))
        self.assertFalse(held.leave("i-1"))
        self.assertTrue(held.is_open())

    def test_a_goodbye_also_counts_while_no_other_target_is_known(self):
        held = belief(report("i-1", 3))
        held.leave("i-1")
        self.assertEqual(held.hear(report("i-1", 4), 6), Ignored("ended-before"))

    def test_a_target_may_start_again_after_its_goodbye(self):
        held = belief(report("i-1", 3, started_at=1_000))
        held.leave("i-1")
        again = report("i-1", 1, started_at=2_000)
        self.assertEqual(held.hear(again, 5), Taken("started"))

    def test_silence_is_measured_in_heartbeats(self):
        held = belief(report())
        self.assertFalse(held.is_silent(2 * BEAT_S, 2))
        self.assertTrue(held.is_silent(2.1 * BEAT_S, 2))


class RestoreTest(unittest.TestCase):
    def test_draining_holds_through_a_restart_of_the_agent(self):
        held = belief()
        self.assertTrue(held.restore("i-1", True))
        self.assertFalse(held.is_open())

    def test_one_who_has_not_heard_of_draining_does_not_undo_it(self):
        for order in ((True, False), (False, True)):
            held = belief()
            for draining in order:
                held.restore("i-1", draining)
            self.assertFalse(held.is_open())

    def test_a_heartbeat_goes_before_what_others_knew(self):
        held = belief()
        held.restore("i-1", True)
        held.hear(report("i-2"), 0)
        self.assertTrue(held.is_open())
        self.assertFalse(held.restore("i-1", True))
        self.assertTrue(held.is_open())


class OrderTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), st.integers(1, 6), st.booleans()), max_size=30
        ),
        st.randoms(use_true_random=False),
    )
    def test_with_starts_told_the_newest_heartbeat_decides_in_any_order(
        self, sent, rng
    ):
        """Each start has its own draining from some sequence on."""
        reports = [
            report(f"i-{start}", seq, started_at=start, draining=draining)
            for start, seq, draining in sent
        ]
        rng.shuffle(reports)
        held = belief(*reports)
        if not reports:
            return
        newest = max((r.started_at, r.sequence) for r in reports)
        first = next(r for r in reports if (r.started_at, r.sequence) == newest)
        self.assertEqual(held.target, first.target)
        self.assertEqual(held.draining, first.draining)
