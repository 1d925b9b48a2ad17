import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.membership.action import (
    ProbeMembers,
    ReadNeighbourLease,
    WriteNeighbourRecord,
)
from ryesaddle.internal.membership.neighbour import NeighbourMonitor, next_cell
from ryesaddle.internal.membership.snapshot import CellRecord
from tests.support.flows import member

CELLS = ("c1", "c2", "c3")
DETECTION_LIMIT_S = 15.0


def record(cell, size=3, generation=1):
    members = tuple(member(f"{cell}-{n}") for n in range(size))
    return CellRecord(cell, 1, generation, members)


def monitor(answering, renewing, seconds=DETECTION_LIMIT_S):
    """Monitor cell c2 for ``seconds``; return the record written for it, or None.

    Parameters
    ----------
    answering : container of str
        Names of the members of c2 that answer probes.
    renewing : bool
        Whether the lease of c2 is renewed.
    """
    neighbour, records = NeighbourMonitor("c1"), {c: record(c) for c in CELLS}
    now, renewals = 0.0, 0
    while now < seconds:
        now += 0.1
        renewals += renewing
        actions = neighbour.tick(records, now)
        while actions:
            action = actions.pop(0)
            match action:
                case ReadNeighbourLease(cell=cell):
                    version = str(renewals)
                    actions += neighbour.lease_read(cell, version, records, now)
                case ProbeMembers(members=members):
                    for found in members:
                        if found.node in answering:
                            neighbour.probe_answered(found.node)
                case WriteNeighbourRecord(record=written):
                    return written
    return None


class NeighbourMonitorTest(unittest.TestCase):
    def test_the_record_of_a_cell_without_live_members_is_emptied(self):
        written = monitor(answering=(), renewing=False)
        self.assertEqual((written.cell, written.members), ("c2", ()))
        self.assertEqual(written.generation, 2)

    @given(st.sets(st.sampled_from(["c2-0", "c2-1", "c2-2"])))
    def test_members_that_answer_probes_are_kept_after_their_lease_expired(
        self, answering
    ):
        written = monitor(answering, renewing=False, seconds=60.0)
        if len(answering) == 3:
            self.assertIsNone(written)
        else:
            self.assertEqual({m.node for m in written.members}, answering)

    @given(st.sets(st.sampled_from(["c2-0", "c2-1", "c2-2"])))
    def test_the_record_of_a_cell_that_renews_its_lease_is_unchanged(self, answering):
        self.assertIsNone(monitor(answering, renewing=True, seconds=60.0))

    def test_every_cell_with_members_is_monitored_by_another(self):
        records = {c: record(c) for c in CELLS}
        monitored = {next_cell(c, records) for c in CELLS}
        self.assertEqual(monitored, set(CELLS))
        records["c2"] = record("c2", size=0)
        self.assertEqual(next_cell("c1", records), "c3")
        self.assertIsNone(next_cell("c1", {"c1": record("c1")}))
