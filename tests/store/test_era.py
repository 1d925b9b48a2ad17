import unittest

from ryesaddle.internal.store.era import ERA_SETTLE_S, EraTracker


class EraTrackerTest(unittest.TestCase):
    def setUp(self):
        self.eras, self.risen = EraTracker(), []
        self.eras.subscribe(lambda *eras: self.risen.append(eras))

    def test_an_answer_of_a_former_era_is_outdated(self):
        answers = [self.eras.observe(era, 0.0) for era in (2, 2, 1, 3, 2, 0)]
        self.assertEqual(answers, [True, True, False, True, False, False])
        self.assertEqual((self.eras.era, self.risen), (3, [(2, 3)]))

    def test_a_process_that_starts_cannot_tell_how_old_the_era_is(self):
        # Without the wait, it would trust a list of a store that has just gone back.
        self.eras.observe(4, 10.0)
        self.assertEqual(self.risen, [])
        self.assertEqual(self.eras.settle_delay_s(10.0), ERA_SETTLE_S)
        self.assertEqual(self.eras.settle_delay_s(10.5), ERA_SETTLE_S - 0.5)
        self.assertEqual(self.eras.settle_delay_s(10.0 + ERA_SETTLE_S), 0.0)

    def test_an_era_that_another_process_saw_for_long_is_settled(self):
        self.eras.observe(4, 10.0)
        self.eras.mark_settled(3)
        self.assertGreater(self.eras.settle_delay_s(10.0), 0.0)
        self.eras.mark_settled(4)
        self.assertEqual(self.eras.settle_delay_s(10.0), 0.0)
        self.eras.observe(5, 11.0)
        self.assertEqual(self.eras.settle_delay_s(11.0), ERA_SETTLE_S)

    def test_a_store_that_never_went_back_is_settled(self):
        self.assertEqual(self.eras.settle_delay_s(0.0), 0.0)
        self.eras.observe(0, 1.0)
        self.assertEqual(self.eras.settle_delay_s(1.0), 0.0)

    def test_a_process_that_has_seen_no_era_teaches_none(self):
        # If 0 counted as the first era seen, the first answer would look like a return.
        self.eras.learn(0, 0.0)
        self.eras.observe(4, 1.0)
        self.eras.learn(3, 2.0)
        self.assertEqual((self.eras.era, self.risen), (4, []))
        self.eras.learn(5, 3.0)
        self.assertEqual((self.eras.era, self.risen), (5, [(4, 5)]))
