import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.admission.health import (
    BASE_EJECTION_S,
    FAILURES_TO_EJECT,
    MAX_PROBATION_S,
    MEMORY_S,
    PROBES_TO_RETURN,
    WINDOW,
    WINDOW_FAILURES_TO_EJECT,
    Ejected,
    Health,
    OnProbation,
    Serving,
)


class HealthCase(unittest.TestCase):
    def setUp(self):
        self.health = Health()

    def eject(self, now):
        for _ in range(FAILURES_TO_EJECT):
            self.health.failed(now)
        self.assertIsInstance(self.health.state(now), Ejected)
        return self.health.state(now).until

    def pass_probation(self, now):
        for _ in range(PROBES_TO_RETURN):
            self.health.succeeded(now)


class EjectionTest(HealthCase):
    def test_a_target_that_fails_a_part_of_its_requests_is_ejected(self):
        """Without consecutive failures it would keep its share of the requests."""
        for _ in range(WINDOW_FAILURES_TO_EJECT - 1):
            self.health.failed(0.0)
            self.health.succeeded(0.0)
        self.assertIsInstance(self.health.state(0.0), Serving)
        self.health.failed(0.0)
        self.assertIsInstance(self.health.state(0.0), Ejected)

    def test_rare_failures_eject_nobody(self):
        for _ in range(20):
            self.health.failed(0.0)
            for _ in range(WINDOW // WINDOW_FAILURES_TO_EJECT + 2):
                self.health.succeeded(0.0)
        self.assertIsInstance(self.health.state(0.0), Serving)

    def test_late_answers_do_not_end_an_ejection(self):
        """A target that fails a part of its requests answers the others."""
        until = self.eject(0.0)
        self.pass_probation(until - 0.1)
        self.assertIsInstance(self.health.state(until - 0.1), Ejected)

    def test_ejections_grow_until_the_target_has_served_for_long(self):
        first_s = self.eject(0.0)
        self.assertEqual(first_s, BASE_EJECTION_S)
        self.pass_probation(first_s)
        again = self.eject(first_s)
        self.assertEqual(again - first_s, 2 * BASE_EJECTION_S)
        self.pass_probation(again)
        later = again + MEMORY_S + 0.1
        self.assertAlmostEqual(self.eject(later) - later, BASE_EJECTION_S)


class ProbationTest(HealthCase):
    def test_a_target_returns_after_a_number_of_probes(self):
        until = self.eject(0.0)
        for _ in range(PROBES_TO_RETURN):
            self.assertIsInstance(self.health.state(until), OnProbation)
            self.health.succeeded(until)
        self.assertIsInstance(self.health.state(until), Serving)

    def test_one_failed_probe_ejects_the_target_again(self):
        until = self.eject(0.0)
        self.health.succeeded(until)
        self.health.failed(until)
        self.assertIsInstance(self.health.state(until), Ejected)

    def test_a_target_without_probes_returns(self):
        """A service without repeatable requests would lose the target for good."""
        until = self.eject(0.0)
        self.assertIsInstance(
            self.health.state(until + MAX_PROBATION_S - 0.1), OnProbation
        )
        self.assertIsInstance(self.health.state(until + MAX_PROBATION_S), Serving)

    def test_a_new_target_is_not_ejected_for_the_former_one(self):
        self.eject(0.0)
        self.health.forget()
        self.assertIsInstance(self.health.state(0.0), Serving)

    @given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 30.0)), max_size=60))
    def test_every_target_returns_once_it_no_longer_fails(self, requests):
        health, now = Health(), 0.0
        for success, pause_s in requests:
            now += pause_s
            health.succeeded(now) if success else health.failed(now)
        state = health.state(now)
        until = getattr(state, "until", now)
        self.assertLessEqual(until - now, 64 * BASE_EJECTION_S + MAX_PROBATION_S)
        self.assertIsInstance(health.state(until + MAX_PROBATION_S), Serving)
