"""A new version of the configuration travels as a difference from the present one."""

import random
import unittest

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.route import Route, RouteTable, TrafficShare
from ryesaddle.internal.routing.route_history import RouteChange, RouteHistory


def table(version, timeouts, idle_s=15.0):
    """Return a table with one route for each port in a dict of ports to timeouts."""
    routes = (
        (
            Address("198.18.0.1", port),
            Route(f"r{port}", (TrafficShare("desk"),), timeout_s, 0.1, 2, True),
        )
        for port, timeout_s in timeouts.items()
    )
    return RouteTable(version, tuple(routes), idle_s)


def history_of(*tables):
    history, before = RouteHistory(), None
    for later in tables:
        history.record(before, later)
        before = later
    return history


class RouteHistoryTest(unittest.TestCase):
    def test_a_change_holds_only_what_differs(self):
        first = table(1, {1: 1.0, 2: 1.0, 3: 1.0})
        later = table(5, {1: 1.0, 2: 2.0, 4: 1.0}, idle_s=9.0)
        change = history_of(first, later).change_since(1, later)
        self.assertEqual([front.port for front, _ in change.put], [2, 4])
        self.assertEqual([front.port for front in change.removed], [3])
        result = change.apply(first)
        self.assertEqual(result.by_address, later.by_address)
        self.assertEqual((result.version, result.idle_s), (5, 9.0))

    def test_a_version_older_than_the_history_gets_no_change(self):
        later = table(5, {1: 1.0})
        self.assertIsNone(history_of(later).change_since(4, later))
        history = RouteHistory(max_versions=2)
        for version in range(1, 5):
            history.record(later, table(version, {1: float(version)}))
        self.assertIsNone(history.change_since(2, later))
        self.assertIsNotNone(history.change_since(3, later))

    def test_a_version_that_the_sender_has_not_seen_is_not_mixed_with_its_own(self):
        """A route changed and was changed back; the sender missed the time between."""
        sent = [table(1, {1: 1.0}), table(3, {1: 1.0, 2: 1.0})]
        change = history_of(*sent).change_since(2, sent[-1])
        self.assertIsNone(change.apply(table(2, {1: 7.0})))

    def test_a_version_that_a_rolled_back_store_gave_again_is_not_mixed(self):
        first, later = table(1, {1: 1.0}), table(3, {1: 1.0, 2: 1.0})
        change = history_of(first, later).change_since(1, later)
        self.assertIsNone(change.apply(table(1, {1: 1.0, 9: 1.0})))

    def test_processes_that_see_different_versions_never_get_a_wrong_table(self):
        rng = random.Random(1)
        applied = 0
        for _ in range(300):
            timeouts, versions = dict.fromkeys(range(6), 1.0), []
            for version in range(1, 10):
                port = rng.randrange(8)
                if rng.random() < 0.3:
                    timeouts.pop(port, None)
                else:
                    timeouts[port] = float(rng.randrange(3))
                versions.append(table(version, timeouts))
            seen = sorted(rng.sample(range(9), 4))
            history = history_of(*(versions[number] for number in seen))
            sent = versions[seen[-1]]
            held = versions[rng.randrange(seen[-1] + 1)]
            change = history.change_since(held.version, sent)
            if change is None:
                continue
            # As on the wire.
            body = msgspec.json.encode(change)
            result = msgspec.json.decode(body, type=RouteChange).apply(held)
            if result is not None:
                applied += 1
                self.assertEqual(result.by_address, sent.by_address)
        self.assertGreater(applied, 100)


if __name__ == "__main__":
    unittest.main()
