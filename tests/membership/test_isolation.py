import unittest

from ryesaddle.internal.membership.isolation import is_isolated


class IsolationTest(unittest.TestCase):
    def test_who_hears_none_of_the_agents_is_isolated(self):
        self.assertTrue(is_isolated(0, 11, []))
        self.assertTrue(is_isolated(0, 11, [0, 0]))

    def test_who_hears_less_than_half_of_what_others_hear_is_isolated(self):
        self.assertTrue(is_isolated(5, 11, [11, 3]))
        self.assertFalse(is_isolated(6, 11, [11, 3]))

    def test_agents_that_nobody_hears_isolate_nobody(self):
        self.assertFalse(is_isolated(4, 11, [4, 5]))

    def test_without_agents_nobody_is_isolated(self):
        self.assertFalse(is_isolated(0, 0, []))
