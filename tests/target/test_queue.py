import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.target.queue import GIVE_UP_S, MAX_WAITING, FlowQueue
from ryesaddle.internal.wire.passing import ForwardedPacket

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
    def taken(self, queue, now):
        order = []
        while (found := queue.next(SERVICE_S, now)) is not None:
            order.append(found[0].caller.port)
        return order

    def test_flows_that_can_be_in_time_go_before_late_ones(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(), 2, 0.0)  # its caller has waited for 0.6 s
        queue.put(flow(2), forwarded(), 0, 0.0)
        self.assertEqual(self.taken(queue, 0.01), [2, 1])

    def test_urgent_flows_go_first_among_those_in_time_then_the_newest(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(priority=2), 0, 0.0)
        queue.put(flow(2), forwarded(priority=1), 0, 0.01)
        queue.put(flow(3), forwarded(priority=2), 0, 0.02)
        self.assertEqual(self.taken(queue, 0.03), [2, 3, 1])

    def test_urgent_flows_go_first_among_late_ones(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(priority=2), 0, 0.0)
        queue.put(flow(2), forwarded(priority=1), 0, 0.01)
        self.assertEqual(self.taken(queue, 0.5), [2, 1])

    def test_a_copy_of_a_waiting_flow_changes_nothing(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(), 0, 0.0)
        queue.put(flow(1), forwarded(), 1, 0.2)
        self.assertEqual(len(queue), 1)
        self.assertEqual(queue.next(SERVICE_S, 0.2)[1].sent_at, 0.0)


class GiveUpTest(unittest.TestCase):
    def test_a_flow_whose_caller_has_given_up_is_given_up(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(timeout_ms=60_000), 0, 0.0)
        self.assertEqual(queue.give_up(SERVICE_S, GIVE_UP_S - 0.01), [])
        gone = queue.give_up(SERVICE_S, GIVE_UP_S)
        self.assertEqual([found for found, _ in gone], [flow(1)])

    def test_a_flow_that_cannot_be_answered_in_time_is_given_up_before_it(self):
        queue = FlowQueue()
        queue.put(flow(1), forwarded(timeout_ms=1_000), 0, 0.0)
        self.assertEqual(len(queue.give_up(SERVICE_S, 1.0 - SERVICE_S)), 1)

    def test_what_cannot_be_served_is_not_let_in(self):
        queue = FlowQueue()
        self.assertTrue(queue.can_wait(forwarded(timeout_ms=700), 1, SERVICE_S, 0.0))
        self.assertFalse(queue.can_wait(forwarded(timeout_ms=620), 2, SERVICE_S, 0.0))

    def test_the_queue_is_bounded(self):
        queue = FlowQueue()
        for number in range(MAX_WAITING):
            queue.put(flow(number), forwarded(), 0, 0.0)
        self.assertFalse(queue.can_wait(forwarded(), 0, SERVICE_S, 0.0))


class SurgeTest(unittest.TestCase):
    """The load pattern after a power loss: a backlog, then more than can be served."""

    def play(self, fresh_first):
        """Serve 100 a second for two seconds while 90 a second come."""
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
            queue.give_up(SERVICE_S, now)
            if fresh_first:
                found = queue.next(SERVICE_S, now)
            else:
                fifo = queue.clear()
                found = fifo[0] if fifo else None
                for waiting, item in fifo[1:]:
                    queue._waiting[waiting] = item
            if found is not None and now + SERVICE_S <= found[1].objective_at:
                in_time += 1
            now += 0.01
        return in_time

    def test_serving_those_in_time_first_beats_the_order_of_arrival(self):
        fresh, fifo = self.play(True), self.play(False)
        self.assertGreater(fresh, 170)  # of the 180 that come within two seconds
        self.assertGreater(fresh, 5 * max(1, fifo))

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2), st.integers(0, 3), st.floats(0, 2), st.floats(0, 2)
            ),
            max_size=20,
        )
    )
    def test_nothing_is_lost_or_taken_twice(self, items):
        queue, seen = FlowQueue(), []
        for number, (copy, priority, at, _) in enumerate(items):
            queue.put(flow(number), forwarded(priority), copy, at)
        for _, _, _, now in items:
            seen += [found for found, _ in queue.give_up(SERVICE_S, now)]
            if (found := queue.next(SERVICE_S, now)) is not None:
                seen.append(found[0])
        seen += [found for found, _ in queue.clear()]
        self.assertEqual(sorted(seen), [flow(n) for n in range(len(items))])
