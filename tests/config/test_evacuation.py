import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.config.evacuation import Evacuations, EvacuationState
from ryesaddle.internal.store.era import ERA_SETTLE_S, EraTracker

EVACUATED = EvacuationState(0, 10, ("bkk-a",))
LIFTED = EvacuationState(0, 12, ())


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.evacuations = Evacuations()
        self.eras = EraTracker()

    def read(self, state, now=100.0, asked_at=None):
        """Apply a reading as a balancer does; the client rejects outdated answers."""
        if not self.eras.observe(state.era, now):
            return False
        is_settled = not self.eras.settle_delay_s(now if asked_at is None else asked_at)
        return self.evacuations.apply_reading(state, is_settled)

    @given(st.permutations([(0, 5), (0, 10), (0, 12), (1, 3), (1, 4)]))
    def test_any_order_of_states_ends_at_the_newest(self, order):
        evacuations = Evacuations()
        for era, revision in order:
            evacuations.merge(EvacuationState(era, revision, (f"{era}-{revision}",)))
        self.assertEqual(evacuations.data_centres, ("1-4",))

    def test_an_older_reading_brings_neither_evacuation_nor_removal_back(self):
        self.assertTrue(self.read(EVACUATED))
        self.assertFalse(self.read(EvacuationState(0, 9, ())))
        self.assertEqual(self.evacuations.data_centres, ("bkk-a",))
        self.assertTrue(self.read(LIFTED))
        self.assertFalse(self.evacuations.merge(EVACUATED))
        self.assertEqual(self.evacuations.data_centres, ())

    def test_a_newer_reading_of_the_same_data_centres_is_no_change(self):
        self.read(EVACUATED)
        self.assertFalse(self.read(EvacuationState(0, 11, ("bkk-a",))))
        self.assertEqual(self.evacuations.state.revision, 11)

    def test_readings_of_a_new_era_count_only_after_it_has_settled(self):
        # The store may have come back with a copy from before the evacuation.
        self.read(EVACUATED)
        rolled_back = EvacuationState(1, 8, ())
        self.assertFalse(self.read(rolled_back, 100.0))
        self.assertFalse(self.read(rolled_back, 100.0 + 0.9 * ERA_SETTLE_S))
        self.assertEqual(self.evacuations.state, EVACUATED)
        again = EvacuationState(1, 9, ("bkk-a", "bkk-b"))
        self.assertTrue(self.read(again, 100.0 + ERA_SETTLE_S))
        self.assertEqual(self.evacuations.state, again)

    def test_an_answer_that_was_asked_for_before_the_era_settled_does_not_count(self):
        self.read(EVACUATED)
        self.eras.learn(1, 100.0)
        reading, settled_at = EvacuationState(1, 8, ()), 100.0 + ERA_SETTLE_S
        self.read(reading, settled_at + 0.1, asked_at=settled_at - 0.1)
        self.assertEqual(self.evacuations.state, EVACUATED)

    def test_an_answer_of_an_earlier_era_is_outdated(self):
        self.eras.learn(1, 100.0)
        self.assertFalse(self.read(EVACUATED, 200.0))
        self.assertIsNone(self.evacuations.state)

    def test_a_process_without_state_uses_unsettled_readings_until_told_otherwise(self):
        # Otherwise a balancer that starts would send new flows to any data centre.
        self.assertTrue(self.read(EvacuationState(3, 8, ("bkk-a",))))
        self.assertFalse(self.read(EvacuationState(3, 7, ())))
        self.assertTrue(self.read(EvacuationState(3, 9, ("bkk-b",)), 100.5))
        peer = Evacuations()
        peer.merge(EVACUATED)
        self.assertFalse(peer.merge(self.evacuations.state))
        self.evacuations.merge(EVACUATED)
        self.assertEqual(self.evacuations.state, EVACUATED)
        self.assertFalse(self.read(EvacuationState(3, 10, ()), 101.0))
