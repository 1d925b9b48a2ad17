import json
import unittest

from hypothesis import given, strategies as st

from ryesaddle.errors import ConfigurationFolderError, EditConflictError
from ryesaddle.internal.config.change import diff_files, rebase
from ryesaddle.internal.config.folder import merge_files

names = st.sampled_from(("10.json", "20.json", "30.json", "40.json"))
folders = st.dictionaries(names, st.sampled_from(("one", "two", "three")))


def service(name, port, **extra):
    return json.dumps({"kind": "service", "name": name, "port": port, **extra})


class MergeTest(unittest.TestCase):
    def test_all_problems_are_reported_at_once_by_file(self):
        with self.assertRaises(ConfigurationFolderError) as caught:
            merge_files(
                {
                    "10-a.json": service("case-desk", 4433),
                    "11-b.json": service("case-desk", 4434),
                    "12-c.json": "{not json",
                    "13-d.json": json.dumps({"kind": "rule", "service": "nobody"}),
                    "14-e.json": service("pack-archive", 4433),
                    "15-f.json": service("other", 4435, colour="red"),
                    "16-g.json": service("tiny", 4436, limits={"slots": 0}),
                }
            )
        named = [line.partition(":")[0] for line in caught.exception.problems]
        expected = [f"{n}-{c}.json" for n, c in zip(range(11, 17), "bcdefg")]
        self.assertEqual(named, expected)

    def test_later_files_replace_limits_of_earlier_ones(self):
        limits = {"kind": "limits", "service": "case-desk", "limits": {"slots": 5}}
        cfg = merge_files(
            {"10.json": service("case-desk", 4433), "20.json": json.dumps(limits)}
        )
        self.assertEqual(cfg.limits("case-desk").slots, 5)

    def test_a_drained_target_is_not_admitted(self):
        rule = {"kind": "rule", "service": "case-desk", "targets": "desk-*"}
        drain = {"kind": "drain", "target": "desk-2"}
        cfg = merge_files(
            {
                "10.json": service("case-desk", 4433),
                "20.json": json.dumps(rule),
                "90.json": json.dumps(drain),
            }
        )
        self.assertTrue(cfg.admits("case-desk", "desk-1", "bkk-a"))
        self.assertFalse(cfg.admits("case-desk", "desk-2", "bkk-a"))
        self.assertFalse(cfg.admits("case-desk", "pack-1", "bkk-a"))


class RebaseTest(unittest.TestCase):
    @given(base=folders, mine=folders, theirs=folders)
    def test_concurrent_operators_lose_no_accepted_change(self, base, mine, theirs):
        mine_change, their_change = diff_files(base, mine), diff_files(base, theirs)
        accepted = rebase(their_change, base, base)
        self.assertEqual(accepted, theirs)
        try:
            result = rebase(mine_change, base, accepted)
        except EditConflictError as exc:
            conflicting = str(exc).partition(":")[0].split(", ")
            both = self.changed_files(mine_change) & self.changed_files(their_change)
            self.assertLessEqual(set(conflicting), both)
            return
        for name in self.changed_files(mine_change):
            self.assertEqual(result.get(name), mine.get(name))
        for name in self.changed_files(their_change):
            self.assertEqual(result.get(name), theirs.get(name))

    @given(base=folders, files=folders)
    def test_only_files_that_differ_are_changed(self, base, files):
        change = diff_files(base, files)
        for name in change.put:
            self.assertNotEqual(base.get(name), files[name])
        self.assertEqual(rebase(change, base, base), files)
        self.assertEqual(bool(change), base != files)

    def changed_files(self, change):
        return change.put.keys() | change.removed
