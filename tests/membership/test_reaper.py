import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.membership.reaper import GONE_S, Reaper

NAMES = [f"side-{number}" for number in range(8)]


class ReaperTest(unittest.TestCase):
    def test_one_balancer_of_those_that_are_heard_looks_after_entries(self):
        nodes = [f"edge-{number}" for number in range(5)]
        mine = [
            node
            for node in nodes
            if Reaper(node).is_mine([n for n in nodes if n != node])
        ]
        self.assertEqual(len(mine), 1)
        self.assertTrue(Reaper("edge-1").is_mine([]))

    def test_an_entry_is_removed_after_long_silence_only(self):
        reaper, heard = Reaper("edge-1"), set(NAMES[1:])
        self.assertEqual(reaper.gone(NAMES, heard, 0.0), [])
        self.assertEqual(reaper.gone(NAMES, heard, GONE_S - 1), [])
        self.assertEqual(reaper.gone(NAMES, heard, GONE_S), NAMES[:1])

    def test_a_sign_of_life_starts_the_wait_anew(self):
        reaper, heard = Reaper("edge-1"), set(NAMES[1:])
        reaper.gone(NAMES, heard, 0.0)
        reaper.gone(NAMES, set(NAMES), GONE_S - 1)
        self.assertEqual(reaper.gone(NAMES, heard, GONE_S + 1), [])

    def test_a_balancer_that_is_cut_off_removes_nothing(self):
        reaper = Reaper("edge-1")
        for now in (0.0, GONE_S, 10 * GONE_S):
            self.assertEqual(reaper.gone(NAMES, set(NAMES[:2]), now), [])

    @given(st.lists(st.tuples(st.sets(st.sampled_from(NAMES)), st.floats(0, 15))))
    def test_whoever_was_heard_lately_is_never_removed(self, steps):
        reaper, now, last = Reaper("edge-1"), 0.0, dict.fromkeys(NAMES, 0.0)
        for heard, pause_s in steps:
            now += pause_s
            last.update(dict.fromkeys(heard, now))
            for name in reaper.gone(NAMES, heard, now):
                self.assertGreaterEqual(now - last[name], GONE_S)
