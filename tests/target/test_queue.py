import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.target.queue import (
    CALLER_GIVE_UP_S,
    MAX_QUEUED_FLOWS,
    FlowQueue,
)
from ryesaddle.internal.wire.passthrough import ForwardedPacket

SERVICE_S = 0.05


def flow(number):
    return Flow(Address("100.64.0.7", number), Address("198.18.0.1", 443))


def forwarded(priority=2, objective_ms=150, timeout_ms=1200):
    return ForwardedPacket(
        service="case-desk",
        balancer=Address("10.0.0.1", 1),
        payload=b"",
        priority=priority,
        objective_ms=objective_ms,
        timeout_ms=timeout_ms,
    )


class OrderTest(unittest.TestCase):
    def service_order(self, queue, now):
        order = []
        while (found := queue.pop_next(SERVICE_S, now)) is not None:
            order.append(found[0].caller.port)
        return order

    def test_flows_that_can_meet_their_objective_go_before_late_ones(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(), 2, 0.0)  # its caller has waited for 0.6 s
        queue.put(flow(2), forwarded(), 0, 0.0)
        self.assertEqual(self.service_order(queue, 0.01), [2, 1])

    def test_flows_in_time_are_served_by_priority_then_newest_first(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(priority=2), 0, 0.0)
        queue.put(flow(2), forwarded(priority=1), 0, 0.01)
        queue.put(flow(3), forwarded(priority=2), 0, 0.02)
        self.assertEqual(self.service_order(queue, 0.03), [2, 3, 1])

    def test_late_flows_are_served_by_priority(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(priority=2), 0, 0.0)
        queue.put(flow(2), forwarded(priority=1), 0, 0.01)
        self.assertEqual(self.service_order(queue, 0.5), [2, 1])

    def test_a_copy_of_a_queued_flow_changes_nothing(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(), 0, 0.0)
        queue.put(flow(1), forwarded(), 1, 0.2)
        self.assertEqual(len(queue), 1)
        self.assertEqual(queue.pop_next(SERVICE_S, 0.2)[1].first_sent_at, 0.0)


class ExpiryTest(unittest.TestCase):
    def test_a_flow_whose_caller_has_given_up_is_removed(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(timeout_ms=60_000), 0, 0.0)
        self.assertEqual(queue.pop_expired(SERVICE_S, CALLER_GIVE_UP_S - 0.01), [])
        gone = queue.pop_expired(SERVICE_S, CALLER_GIVE_UP_S)
        self.assertEqual([found for found, _ in gone], [flow(1)])

    def test_a_flow_that_cannot_be_answered_in_time_is_removed_before_its_deadline(
        self,
    ):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(timeout_ms=1_000), 0, 0.0)
        self.assertEqual(len(queue.pop_expired(SERVICE_S, 1.0 - SERVICE_S)), 1)

    def test_a_flow_that_cannot_be_served_in_time_is_not_queued(self):
        queue = FlowQueue()
        self.assertTrue(queue.can_accept(forwarded(timeout_ms=700), 1, SERVICE_S, 0.0))
        self.assertFalse(queue.can_accept(forwarded(timeout_ms=620), 2, SERVICE_S, 0.0))

    def test_the_queue_is_bounded(self):
        queue = FlowQueue()
        for number in range(MAX_QUEUED_FLOWS):
            queue.put(flow(number), forwarded(), 0, 0.0)
        self.assertFalse(queue.can_accept(forwarded(), 0, SERVICE_S, 0.0))


class SurgeTest(unittest.TestCase):
    """After a power loss: a backlog in addition to nine tenths of the capacity."""

    def count_in_time(self, adaptive):
        """Serve 100 flows/s for 2 s while 90/s arrive; return how many are in time."""
        queue, in_time, number = FlowQueue(), 0, 0
        for number in range(100):
            queue.put(flow(number), forwarded(), number % 3, 0.0)
        now, next_arrival = 0.0, 0.0
        fifo = []
        while now < 2.0:
            while next_arrival <= now:
                number += 1
                queue.put(flow(number), forwarded(), 0, next_arrival)
                next_arrival += 1 / 90
            queue.pop_expired(SERVICE_S, now)
            if adaptive:
                found = queue.pop_next(SERVICE_S, now)
            else:
                fifo = queue.pop_all()
                found = fifo[0] if fifo else None
                for waiting, item in fifo[1:]:
                    queue._waiting[waiting] = item
            if found is not None and now + SERVICE_S <= found[1].objective_at:
                in_time += 1
            now += 0.01
        return in_time

    def test_adaptive_lifo_meets_more_objectives_than_fifo(self):
        adaptive, fifo = self.count_in_time(True), self.count_in_time(False)
        self.assertGreater(adaptive, 170)  # of the 180 that arrive within 2 s
        self.assertGreater(adaptive, 5 * max(1, fifo))

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2), st.integers(0, 3), st.floats(0, 2), st.floats(0, 2)
            ),
            max_size=20,
        )
    )
    def test_each_flow_leaves_the_queue_exactly_once(self, items):
        queue, seen = FlowQueue(), []
        for number, (copy, priority, at, _) in enumerate(items):
            queue.put(flow(number), forwarded(priority), copy, at)
        for _, _, _, now in items:
            seen += [found for found, _ in queue.pop_expired(SERVICE_S, now)]
            if (found := queue.pop_next(SERVICE_S, now)) is not None:
                seen.append(found[0])
        seen += [found for found, _ in queue.pop_all()]
        self.assertEqual(sorted(seen), [flow(n) for n in range(len(items))])
