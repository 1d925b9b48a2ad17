import unittest

from hypothesis import given, strategies as st

from bench.model import AdmitAll, HashOnly, ProductPlacement, QueueingModel, Workload
from ryesaddle.internal.admission.admission import Admission, Decline, Start
from ryesaddle.internal.admission.health import FAILURES_TO_EJECT, Health
from ryesaddle.internal.config.model import Limits
from ryesaddle.internal.routing.view import ServiceView
from tests.support.flows import SERVICE, member

SLOTS = 14
OVERLOAD = Workload(10.0, requests=12_000, deadline_s=2.0)


def goodput(policy, workload, admission=Admission):
    """Return the share of the capacity that was spent on answers in time."""
    return QueueingModel(policy, workload, admission=admission).run().goodput(SLOTS)


class OverloadTest(unittest.TestCase):
    def test_goodput_stays_above_nine_tenths_at_ten_times_the_capacity(self):
        for policy in (ProductPlacement(), HashOnly()):
            self.assertGreater(goodput(policy, OVERLOAD), 0.9)

    def test_without_admission_control_goodput_collapses(self):
        self.assertLess(goodput(ProductPlacement(), OVERLOAD, AdmitAll), 0.5)

    def test_retries_do_not_lower_goodput(self):
        workload = Workload(10.0, requests=12_000, deadline_s=2.0, max_retries=3)
        self.assertGreater(goodput(ProductPlacement(), workload), 0.9)


class AdmissionTest(unittest.TestCase):
    @given(
        slots=st.integers(1, 4),
        queue=st.integers(0, 5),
        events=st.lists(
            st.tuples(
                st.sampled_from(("arrive", "finish", "due", "abandon")),
                st.floats(0.0, 2.0),
                st.floats(0.01, 5.0),
            ),
            max_size=60,
        ),
    )
    def test_limits_hold_and_every_attempt_is_accounted_for(self, slots, queue, events):
        admission = Admission(Limits(slots=slots, queue=queue, ramp_s=0.0), 0.0)
        now, running, waiting = 0.0, [], []
        for number, (kind, step_s, timeout_s) in enumerate(events):
            now += step_s
            if kind == "arrive":
                decision = admission.arrive(number, now + timeout_s, now)
                if isinstance(decision, Start):
                    running.append(number)
                elif not isinstance(decision, Decline):
                    waiting.append(number)
            elif kind == "finish" and running:
                admission.finish(running.pop(0), now)
            elif kind == "abandon" and waiting:
                admission.abandon(waiting.pop(0))
            for attempt, decision in admission.due(now):
                waiting.remove(attempt)
                if isinstance(decision, Start):
                    running.append(attempt)
            self.assertLessEqual(len(running), slots)
            self.assertLessEqual(len(waiting), queue)
            self.assertEqual(admission.load, len(running) + len(waiting))

    @given(st.floats(0.0, 10.0), st.integers(1, 8))
    def test_the_limit_rises_after_a_cold_start(self, age, slots):
        admission = Admission(Limits(slots=slots, ramp_s=5.0), 0.0)
        self.assertGreaterEqual(admission.slots(age), 1)
        if age >= 5.0:
            self.assertEqual(admission.slots(age), slots)
        if age == 0.0:
            self.assertEqual(admission.slots(age), 1)

    def test_a_request_that_cannot_finish_in_time_is_declined_at_once(self):
        admission = Admission(Limits(slots=1, ramp_s=0.0), 0.0)
        admission.arrive("slow", 100.0, 0.0)
        admission.finish("slow", 50.0)
        admission.arrive("running", 200.0, 50.0)
        decision = admission.arrive("tight-deadline", 51.0, 50.0)
        self.assertIsInstance(decision, Decline)
        self.assertGreaterEqual(decision.retry_after_s, 1)


class HealthTest(unittest.TestCase):
    def test_a_target_is_ejected_after_consecutive_failures_for_a_limited_time(self):
        health = Health()
        for _ in range(FAILURES_TO_EJECT - 1):
            health.failed(0.0)
        health.succeeded(0.0)
        health.failed(0.0)
        self.assertFalse(health.is_failing(0.0))
        for _ in range(FAILURES_TO_EJECT):
            health.failed(1.0)
        self.assertTrue(health.is_failing(1.0))
        self.assertFalse(health.is_failing(100.0))

    @given(st.lists(st.booleans(), min_size=1, max_size=9))
    def test_at_least_half_of_the_targets_stay_open(self, failing):
        members = tuple(member(f"a{n}", failing=flag) for n, flag in enumerate(failing))
        view = ServiceView(SERVICE, 1, members)
        left = sum(view.is_open(m) for m in members)
        self.assertGreaterEqual(left, len(members) / 2)
