import json
import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.membership.snapshot import CellRecord, Replica, Snapshot
from tests.support.flows import member

names = st.sampled_from(("cell-1", "cell-2"))


def record(cell, generation):
    """Return the record of a cell at a generation."""
    members = tuple(member(f"{cell}-{n}") for n in range(generation % 4))
    return CellRecord(cell, 1, generation, members)


def files(generation):
    """Return the configuration files at a generation."""
    service = {"kind": "service", "name": "case-desk", "port": 1 + generation}
    return {"10.json": json.dumps(service)} if generation else {}


generations = st.integers(0, 6)
snapshots = st.builds(
    lambda generation, cells: Snapshot(
        generation, files(generation), {c: record(c, g) for c, g in cells.items()}
    ),
    generations,
    st.dictionaries(names, generations),
)


class SnapshotTest(unittest.TestCase):
    @given(snapshots, snapshots, snapshots)
    def test_join_is_idempotent_commutative_and_associative(self, one, two, three):
        self.assertEqual(one.join(one), one)
        self.assertEqual(one.join(two).digest(), two.join(one).digest())
        self.assertEqual(one.join(two).join(three), one.join(two.join(three)))

    @given(st.lists(snapshots, min_size=1, max_size=8), st.randoms())
    def test_replicas_converge_for_any_order_and_repetition(self, found, rng):
        replicas = []
        for _ in range(2):
            order = found * 2
            rng.shuffle(order)
            replica = Replica()
            for snapshot in order:
                replica.absorb(snapshot)
            replicas.append(replica)
        one, two = replicas
        self.assertEqual(one.snapshot, two.snapshot)
        self.assertEqual(one.cfg, two.cfg)
        for name, view in one.views.items():
            self.assertEqual(view.members, two.views[name].members)

    @given(st.lists(snapshots, max_size=8), st.lists(st.integers(0, 8), max_size=8))
    def test_deltas_lead_to_the_same_state_as_full_snapshots(self, found, fetches):
        leader, follower = Replica(), Replica()
        known = 0
        for number, snapshot in enumerate(found):
            leader.absorb(snapshot)
            if number in fetches:
                follower.absorb(leader.since(known))
                known = leader.version
                self.assertEqual(follower.snapshot, leader.snapshot)
        follower.absorb(leader.since(known))
        self.assertEqual(follower.snapshot, leader.snapshot)
        self.assertEqual(follower.cfg, leader.cfg)

    @given(st.lists(snapshots, max_size=6), st.lists(snapshots, max_size=6), snapshots)
    def test_changes_that_do_not_apply_are_ignored(self, early, late, mine):
        leader, other = Replica(), Replica()
        other.absorb(mine)
        for snapshot in early:
            leader.absorb(snapshot)
        known = leader.version
        for snapshot in late:
            leader.absorb(snapshot)
        other.absorb(leader.since(known))
        generation = other.snapshot.generation
        self.assertIn(generation, (mine.generation, leader.snapshot.generation))
        self.assertEqual(other.snapshot.files, files(generation))

    @given(st.lists(snapshots, max_size=10))
    def test_a_replica_never_returns_to_an_older_configuration(self, found):
        replica = Replica()
        highest = 0
        for snapshot in found:
            replica.absorb(snapshot)
            highest = max(highest, snapshot.generation)
            self.assertEqual(replica.cfg.generation, highest)
            self.assertEqual(replica.snapshot.files, files(highest))
