import unittest

import msgspec
from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import (
    AGENT_EXPIRY_S,
    MAX_REPORT_DELAY_S,
    AgentDirectory,
    TargetEntry,
)
from ryesaddle.internal.wire.passthrough import AgentReport


def report(node="side-1", incarnation=1, sequence=1, **changes):
    fields = {
        "node": node,
        "incarnation": incarnation,
        "service": "case-desk",
        "data_centre": "bkk-a",
        "address": Address("10.0.0.1", 7000),
        "open": True,
        "load": 0.5,
        "slots": 2,
        "target": "i-1",
        "draining": False,
        "sequence": sequence,
        **changes,
    }
    return AgentReport(**fields)


def entry(node="side-1", **changes):
    fields = {
        "node": node,
        "service": "case-desk",
        "data_centre": "bkk-a",
        "address": Address("10.0.0.1", 7000),
        "target": "i-1",
        **changes,
    }
    return TargetEntry(**fields)


class AgentDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = AgentDirectory()

    def is_open(self, node="side-1"):
        view = self.directory.view("case-desk")
        return view is not None and view.is_open(view.by_node[node])

    def test_a_report_opens_and_closes_an_agent(self):
        self.directory.apply_report(report(), 0.0)
        self.assertTrue(self.is_open())
        self.directory.apply_report(report(sequence=2, open=False), 0.1)
        self.assertFalse(self.is_open())

    def test_an_older_report_changes_nothing(self):
        self.directory.apply_report(report(incarnation=2, sequence=5, open=False), 0.0)
        for late in (
            report(incarnation=2, sequence=4),
            report(incarnation=1, sequence=9),
        ):
            self.assertIsNone(self.directory.apply_report(late, 0.1))
        self.assertFalse(self.is_open())

    def test_an_agent_is_alive_until_three_of_its_reports_are_missing(self):
        for interval_s in (0.2, 0.8):
            directory = AgentDirectory()
            directory.apply_report(report(interval_s=interval_s), 0.0)
            self.assertTrue(directory.is_alive("side-1", 3.4 * interval_s))
            self.assertFalse(directory.is_alive("side-1", 3.6 * interval_s))

    def test_reports_are_accepted_again_after_the_clock_was_set_back(self):
        self.directory.apply_report(report(incarnation=9, sequence=5), 0.0)
        restarted = report(incarnation=4, sequence=1, open=False)
        self.assertIsNone(
            self.directory.apply_report(restarted, MAX_REPORT_DELAY_S / 2)
        )
        later = report(incarnation=4, sequence=2, open=False)
        self.assertEqual(
            self.directory.apply_report(later, MAX_REPORT_DELAY_S + 0.1), "closed"
        )

    def test_reports_are_accepted_after_departure_and_a_clock_set_back(self):
        self.directory.apply_report(report(incarnation=9), 0.0)
        self.directory.apply_report(report(incarnation=9, sequence=2, gone=True), 0.1)
        same = report(incarnation=9, sequence=1)
        self.assertIsNone(self.directory.apply_report(same, 0.2 + MAX_REPORT_DELAY_S))
        restarted = report(incarnation=4, sequence=1)
        self.assertEqual(
            self.directory.apply_report(restarted, 0.2 + MAX_REPORT_DELAY_S), "appeared"
        )

    def test_reports_take_precedence_over_entries(self):
        self.directory.add_entries([entry(draining=True)], 0.0)
        self.assertFalse(self.is_open())
        self.directory.apply_report(report(), 0.1)
        self.directory.add_entries([entry(draining=True)], 0.2)
        self.assertTrue(self.is_open())

    def test_an_entry_without_target_takes_no_flows(self):
        self.directory.add_entries([entry(target="")], 0.0)
        self.assertFalse(self.is_open())

    def test_an_entry_does_not_restore_a_departed_agent(self):
        self.directory.apply_report(report(), 0.0)
        self.assertEqual(
            self.directory.apply_report(report(sequence=2, gone=True), 0.1), "gone"
        )
        self.directory.add_entries([entry()], 0.2)
        self.directory.apply_report(report(sequence=3), 0.3)
        self.assertEqual(len(self.directory), 0)
        self.directory.apply_report(report(incarnation=2), 0.4)
        self.assertTrue(self.is_open())

    def test_an_agent_may_move_to_another_service(self):
        self.directory.apply_report(report(), 0.0)
        moved = report(incarnation=2, service="pack-archive")
        self.directory.apply_report(moved, 1.0)
        self.assertIsNone(self.directory.view("case-desk"))
        self.assertEqual(len(self.directory.view("pack-archive").members), 1)

    def test_flows_sent_count_until_the_next_report(self):
        self.directory.apply_report(report(), 0.0)
        member = self.directory.find("side-1")
        self.directory.count_flow("side-1")
        self.assertEqual(self.directory.load(member), 1.0)
        self.directory.apply_report(report(sequence=2), 0.2)
        self.assertEqual(self.directory.load(member), 0.5)

    def test_agents_without_reports_are_removed_after_expiry(self):
        self.directory.apply_report(report("side-1"), 0.0)
        self.directory.apply_report(report("side-2"), AGENT_EXPIRY_S)
        gone = self.directory.remove_expired(AGENT_EXPIRY_S + 0.1)
        self.assertEqual([member.node for member in gone], ["side-1"])
        self.assertIsNone(self.directory.find("side-1"))

    def test_digests_of_equal_sets_are_equal(self):
        other = AgentDirectory()
        for node in ("a", "b"):
            self.directory.apply_report(report(node), 0.0)
        for node in ("b", "a"):
            other.add_entries([entry(node)], 0.0)
        self.assertEqual(self.directory.digest(), other.digest())
        other.remove("a")
        self.assertNotEqual(self.directory.digest(), other.digest())

    @given(
        st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5), st.booleans())),
        st.randoms(use_true_random=False),
    )
    def test_the_newest_report_wins_in_any_order(self, sent, rng):
        directory = AgentDirectory()
        reports = [
            report(incarnation=run, sequence=seq, open=is_open)
            for run, seq, is_open in {(r, s): (r, s, o) for r, s, o in sent}.values()
        ]
        rng.shuffle(reports)
        for item in reports:
            directory.apply_report(item, 0.0)
        if reports:
            newest = max(reports, key=lambda r: (r.incarnation, r.sequence))
            view = directory.view("case-desk")
            self.assertEqual(view.is_open(view.members[0]), newest.open)

    def test_a_report_survives_an_encoding_round_trip(self):
        data = msgspec.msgpack.encode(report(gone=True))
        self.assertEqual(
            msgspec.msgpack.decode(data, type=AgentReport), report(gone=True)
        )


class UnnamedTargetTest(unittest.TestCase):
    """A restarted agent reports before it knows its target."""

    def test_what_an_earlier_run_said_of_the_target_is_kept(self):
        # A lost acknowledgement would otherwise lose the record of a draining target.
        directory = AgentDirectory()
        directory.apply_report(report(draining=True, open=False), 0.0)
        for sequence in (1, 2):
            unnamed = report(incarnation=2, sequence=sequence, target="", open=False)
            directory.apply_report(unnamed, 0.1 * sequence)
            known = directory.find("side-1")
            self.assertEqual((known.target, known.draining), ("i-1", True))

    def test_the_goodbye_of_a_named_target_removes_it(self):
        directory = AgentDirectory()
        directory.apply_report(report(draining=True), 0.0)
        directory.apply_report(report(sequence=2, target="", open=False), 0.1)
        known = directory.find("side-1")
        self.assertEqual((known.target, known.draining), ("", False))
