import unittest

from ryesaddle.internal.membership.isolation import is_isolated


class IsolationTest(unittest.TestCase):
    def test_a_balancer_that_hears_no_agents_is_isolated(self):
        self.assertTrue(is_isolated(0, 11, []))
        self.assertTrue(is_isolated(0, 11, [0, 0]))

    def test_a_balancer_that_hears_less_than_half_as_many_as_another_is_isolated(self):
        self.assertTrue(is_isolated(5, 11, [11, 3]))
        self.assertFalse(is_isolated(6, 11, [11, 3]))

    def test_agents_that_no_balancer_hears_isolate_none(self):
        self.assertFalse(is_isolated(4, 11, [4, 5]))

    def test_no_balancer_is_isolated_without_agents(self):
        self.assertFalse(is_isolated(0, 0, []))
