import json
import unittest

from hypothesis import given, strategies as st

from ryesaddle.platform.heartbeat import read_heartbeat, read_path

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "bkk-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 1500,
    "seq": 4,
}


class HeartbeatTest(unittest.TestCase):
    def read(self, **changes):
        return read_heartbeat("i-1", json.dumps({**HEARTBEAT, **changes}).encode())

    def test_heartbeat_is_converted_to_a_report(self):
        report = self.read(born=1_700_000_000_000)
        self.assertEqual((report.target, report.service), ("i-1", "huvo11a"))
        self.assertEqual((report.sequence, report.slots), (4, 2))
        self.assertEqual((report.warm_up_s, report.draining), (1.5, False))
        self.assertEqual(report.started_at, 1_700_000_000_000)
        self.assertTrue(self.read(state="draining").draining)

    def test_missing_or_invalid_fields_are_rejected(self):
        for name in HEARTBEAT:
            body = {key: value for key, value in HEARTBEAT.items() if key != name}
            self.assertIsNone(read_heartbeat("i-1", json.dumps(body).encode()))
        for changes in ({"state": "asleep"}, {"seq": "4"}, {"slots": 0}, {"born": "x"}):
            self.assertIsNone(self.read(**changes))

    def test_fields_of_another_type_are_rejected(self):
        """Guards against the report of another writer that changes the target's."""
        for name, value in HEARTBEAT.items():
            for wrong in (None, [value], {}, True, 1.5 if value == 4 else [1]):
                self.assertIsNone(self.read(**{name: wrong}), (name, wrong))
        for changes in ({"born": None}, {"slots": 2**70}, {"address": "10.128.0.9"}):
            self.assertIsNone(self.read(**changes))
        body = json.dumps({**HEARTBEAT, "more": "x"}).encode()
        self.assertIsNone(read_heartbeat("i-1", body.replace(b'"x"', b'"\xff"')))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_no_error(self, body):
        read_heartbeat("i-1", body)

    def test_path_holds_the_target_and_the_action(self):
        self.assertEqual(
            read_path("/ryesaddle/instances/i-7f/heartbeat"), ("i-7f", "heartbeat")
        )
        self.assertEqual(
            read_path("/ryesaddle/instances/i-7f/deregister"), ("i-7f", "deregister")
        )
        for path in (
            "/",
            "/ryesaddle/instances//heartbeat",
            "/ryesaddle/instances/a/b",
        ):
            self.assertIsNone(read_path(path))
