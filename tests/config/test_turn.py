import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.config.turn import PEER_SILENT_S, READERS, ReadTurn

FRESH_S = 1.6
NODES = [f"edge-{number}" for number in range(8)]


def turns(nodes, ages, now=0.0):
    """Return which of the nodes read, each having heard the ages of the others."""
    reading = []
    for node in nodes:
        turn = ReadTurn(node, FRESH_S)
        for other in nodes:
            if other != node:
                turn.heard(other, ages[other], now)
        if turn.is_mine(now):
            reading.append(node)
    return reading


class ReadTurnTest(unittest.TestCase):
    def test_few_read_for_many(self):
        ages = dict.fromkeys(NODES, 0.1)
        self.assertEqual(len(turns(NODES, ages)), READERS)

    def test_a_lone_balancer_reads(self):
        self.assertTrue(ReadTurn("edge-1", FRESH_S).is_mine(0.0))

    def test_who_cannot_read_is_replaced(self):
        ages = dict.fromkeys(NODES, 0.1)
        for node in turns(NODES, ages):
            ages[node] = FRESH_S + 0.1
        able = [node for node in turns(NODES, ages) if ages[node] <= FRESH_S]
        self.assertEqual(len(able), READERS)

    def test_who_is_silent_is_replaced(self):
        turn = ReadTurn("edge-0", FRESH_S)
        for other in NODES[1:]:
            turn.heard(other, 0.1, 0.0)
        self.assertTrue(turn.is_mine(PEER_SILENT_S + 0.1))

    @given(st.lists(st.floats(0, 5), min_size=len(NODES), max_size=len(NODES)))
    def test_at_least_as_many_read_as_are_needed(self, ages):
        """Whatever the others have read, nobody waits for one who has not."""
        by_node = dict(zip(NODES, ages))
        self.assertGreaterEqual(len(turns(NODES, by_node)), READERS)
