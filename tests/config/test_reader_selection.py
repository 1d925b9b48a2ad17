import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.config.reader_selection import (
    PEER_TIMEOUT_S,
    READER_COUNT,
    ReaderSelection,
)

FRESH_S = 1.6
NODES = [f"edge-{number}" for number in range(8)]


def select_readers(nodes, ages, now=0.0):
    """Return the nodes that read when each knows the read ages of the others."""
    readers = []
    for node in nodes:
        selection = ReaderSelection(node, FRESH_S)
        for other in nodes:
            if other != node:
                selection.record_read(other, ages[other], now)
        if selection.should_read(now):
            readers.append(node)
    return readers


class ReaderSelectionTest(unittest.TestCase):
    def test_only_the_required_number_of_balancers_read(self):
        ages = dict.fromkeys(NODES, 0.1)
        self.assertEqual(len(select_readers(NODES, ages)), READER_COUNT)

    def test_a_lone_balancer_reads(self):
        self.assertTrue(ReaderSelection("edge-1", FRESH_S).should_read(0.0))

    def test_a_reader_that_loses_the_store_is_replaced(self):
        ages = dict.fromkeys(NODES, 0.1)
        for node in select_readers(NODES, ages):
            ages[node] = FRESH_S + 0.1
        recent = [node for node in select_readers(NODES, ages) if ages[node] <= FRESH_S]
        self.assertEqual(len(recent), READER_COUNT)

    def test_a_silent_peer_is_replaced(self):
        selection = ReaderSelection("edge-0", FRESH_S)
        for other in NODES[1:]:
            selection.record_read(other, 0.1, 0.0)
        self.assertTrue(selection.should_read(PEER_TIMEOUT_S + 0.1))

    @given(st.lists(st.floats(0, 5), min_size=len(NODES), max_size=len(NODES)))
    def test_at_least_the_required_number_read(self, ages):
        """Peers with stale reads never reduce the number of readers."""
        by_node = dict(zip(NODES, ages))
        self.assertGreaterEqual(len(select_readers(NODES, by_node)), READER_COUNT)
