import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.membership.stale_entries import (
    STALE_AFTER_S,
    StaleEntryDetector,
)

NAMES = [f"side-{number}" for number in range(8)]


class StaleEntryDetectorTest(unittest.TestCase):
    def test_exactly_one_live_balancer_is_responsible(self):
        nodes = [f"edge-{number}" for number in range(5)]
        responsible = [
            node
            for node in nodes
            if StaleEntryDetector(node).is_responsible([n for n in nodes if n != node])
        ]
        self.assertEqual(len(responsible), 1)
        self.assertTrue(StaleEntryDetector("edge-1").is_responsible([]))

    def test_an_entry_is_stale_only_after_the_timeout(self):
        detector, heard = StaleEntryDetector("edge-1"), set(NAMES[1:])
        self.assertEqual(detector.find_stale(NAMES, heard, 0.0), [])
        self.assertEqual(detector.find_stale(NAMES, heard, STALE_AFTER_S - 1), [])
        self.assertEqual(detector.find_stale(NAMES, heard, STALE_AFTER_S), NAMES[:1])

    def test_a_sign_of_life_restarts_the_timeout(self):
        detector, heard = StaleEntryDetector("edge-1"), set(NAMES[1:])
        detector.find_stale(NAMES, heard, 0.0)
        detector.find_stale(NAMES, set(NAMES), STALE_AFTER_S - 1)
        self.assertEqual(detector.find_stale(NAMES, heard, STALE_AFTER_S + 1), [])

    def test_a_partitioned_balancer_removes_nothing(self):
        detector = StaleEntryDetector("edge-1")
        for now in (0.0, STALE_AFTER_S, 10 * STALE_AFTER_S):
            self.assertEqual(detector.find_stale(NAMES, set(NAMES[:2]), now), [])

    @given(st.lists(st.tuples(st.sets(st.sampled_from(NAMES)), st.floats(0, 15))))
    def test_a_recently_live_process_is_never_removed(self, steps):
        detector, now, last = (
            StaleEntryDetector("edge-1"),
            0.0,
            dict.fromkeys(NAMES, 0.0),
        )
        for heard, pause_s in steps:
            now += pause_s
            last.update(dict.fromkeys(heard, now))
            for name in detector.find_stale(NAMES, heard, now):
                self.assertGreaterEqual(now - last[name], STALE_AFTER_S)
