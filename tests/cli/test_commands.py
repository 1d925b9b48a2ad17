import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import msgspec

from ryesaddle.cli.main import run
from ryesaddle.errors import SettingsError
from ryesaddle.settings import AgentSettings, BalancerSettings, load_settings
from tests.support.certificates import write_certificate
from tests.support.template import platform_fields, render


class CommandTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.peer_key = self.folder / "peer.key"
        self.peer_key.write_text("k" * 32)
        self.peer_key.chmod(0o600)

    def run_command(self, *tokens):
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as caught,
        ):
            run([str(token) for token in tokens])
        return caught.exception.code, out.getvalue(), err.getvalue()


class SettingsTest(CommandTestCase):
    def write_settings(self, **changes):
        settings = {
            "node": "b",
            "data_centre": "bkk-a",
            "cell": "bkk-a-1",
            "peer": ["127.0.0.1", 1],
            "control": ["127.0.0.1", 2],
            "store_url": "http://127.0.0.1:1",
            "peer_key_file": str(self.peer_key),
            "service_host": "127.0.0.1",
        }
        settings.update(changes)
        file = self.folder / "settings.json"
        file.write_text(json.dumps(settings))
        return file

    def assert_load_fails(self, file, *words, settings_type=BalancerSettings):
        with self.assertRaises(SettingsError) as caught:
            load_settings(file, settings_type)
        message = str(caught.exception)
        self.assertNotIn("\n", message)
        for word in (str(file), *words):
            self.assertIn(word, message)

    def test_loaded_settings_are_immutable(self):
        settings = load_settings(self.write_settings(), BalancerSettings)
        with self.assertRaises(AttributeError):
            settings.node = "other"

    def test_the_error_names_an_unknown_key(self):
        self.assert_load_fails(self.write_settings(colour="red"), "colour")

    def test_the_error_names_a_field_of_the_wrong_type(self):
        self.assert_load_fails(self.write_settings(peer="nowhere"), "peer")

    def test_the_error_for_a_missing_secret_names_a_remedy(self):
        missing = self.folder / "none"
        file = self.write_settings(peer_key_file=str(missing))
        self.assert_load_fails(file, "peer_key_file", "create it")

    def test_a_secret_readable_by_others_is_refused(self):
        self.peer_key.chmod(0o644)
        self.assert_load_fails(self.write_settings(), "peer_key_file", "chmod 600")

    def test_a_private_key_readable_by_others_is_refused(self):
        cert, key = write_certificate(self.folder)
        key.chmod(0o640)
        file = self.write_settings(
            service="case-desk",
            target="t",
            target_address=["127.0.0.1", 3],
            certificate_file=str(cert),
            private_key_file=str(key),
        )
        settings = json.loads(file.read_text())
        del settings["service_host"]
        file.write_text(json.dumps(settings))
        self.assert_load_fails(file, "private_key_file", settings_type=AgentSettings)

    def test_a_daemon_with_invalid_settings_exits_with_2_and_one_line(self):
        code, _, err = self.run_command("balancer", self.write_settings(colour="red"))
        self.assertEqual(code, 2)
        self.assertEqual(err.count("\n"), 1)

    def test_an_address_in_use_exits_with_2_and_names_its_setting(self):
        import socket

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            address_in_use = list(sock.getsockname())
            file = self.write_settings(peer=address_in_use, control=["127.0.0.1", 0])
            code, _, err = self.run_command("balancer", file)
        self.assertEqual(code, 2)
        self.assertIn("error: peer:", err)


class FolderCommandTest(CommandTestCase):
    def write_json(self, name, content):
        (self.folder / name).write_text(json.dumps(content))

    def test_check_accepts_a_valid_folder(self):
        self.write_json(
            "10.json", {"kind": "service", "name": "case-desk", "port": 4433}
        )
        code, out, _ = self.run_command("check", self.folder)
        self.assertEqual(code, 0)
        self.assertIn("1 services", out)

    def test_check_reports_every_invalid_file_and_exits_with_2(self):
        self.write_json("10.json", {"kind": "service", "name": "case-desk", "port": 0})
        self.write_json("20.json", {"kind": "rule", "service": "nobody"})
        code, _, err = self.run_command("check", self.folder)
        self.assertEqual(code, 2)
        self.assertIn("error: 10.json:", err)
        self.assertIn("error: 20.json:", err)

    def test_apply_exits_with_2_if_the_store_is_unreachable(self):
        self.write_json(
            "10.json", {"kind": "service", "name": "case-desk", "port": 4433}
        )
        operator = self.folder / "operator.settings"
        settings = {
            "store_url": "http://127.0.0.1:1",
            "peer_key_file": str(self.peer_key),
        }
        operator.write_bytes(msgspec.json.encode(settings))
        code, out, err = self.run_command("apply", self.folder, "--operator", operator)
        self.assertEqual((code, out), (2, ""))
        self.assertIn("error:", err)


class CheckTest(CommandTestCase):
    def test_each_invalid_file_is_reported_on_one_line(self):
        (self.folder / "10-a.json").write_bytes(b'{"kind": "service", "name": "\xff"}')
        (self.folder / "20-b.json").write_text('{"kind": "service", "name": "b"}')
        (self.folder / "30-c.json").write_text("{")
        code, _, err = self.run_command("check", self.folder)
        self.assertEqual(code, 2)
        for words in (
            ("10-a.json", "UTF-8"),
            ("20-b.json", "port"),
            ("30-c.json",),
        ):
            lines = [line for line in err.splitlines() if words[0] in line]
            self.assertEqual(len(lines), 1, err)
            for word in words:
                self.assertIn(word, lines[0])

    def test_settings_templates_for_the_platform_are_checked(self):
        root = Path(__file__).resolve().parents[2]
        for role in ("balancer", "agent"):
            text = (root / "deploy" / f"{role}.json").read_text()
            file = self.folder / f"{role}.json"
            file.write_text(render(text, platform_fields(role)))
            code, out, err = self.run_command("check", file)
            self.assertEqual((code, err), (0, ""))
            self.assertIn("good", out)
            fields = json.loads(file.read_text())
            del fields["peer"]
            file.write_text(json.dumps(fields))
            code, _, err = self.run_command("check", file)
            self.assertEqual(code, 2)
            self.assertIn("peer", err)

    def test_problems_of_several_paths_are_all_reported(self):
        bad = self.folder / "bad.json"
        bad.write_text('{"callers": 5}')
        code, _, err = self.run_command("check", bad, self.folder / "missing")
        self.assertEqual(code, 2)
        self.assertIn("bad.json", err)
        self.assertIn("missing", err)

    def test_check_without_paths_is_an_error(self):
        code, _, err = self.run_command("check")
        self.assertEqual(code, 2)
        self.assertIn("name a folder", err)


class PlatformOperatorTest(CommandTestCase):
    def write_operator_settings(self, **changes):
        file = self.folder / "operator.json"
        fields = {"store_url": "http://127.0.0.1:1", "api": "platform", **changes}
        file.write_text(json.dumps(fields))
        return file

    def test_trace_by_request_id_is_refused_with_a_remedy(self):
        code, _, err = self.run_command(
            "trace", "req-1", "--operator", self.write_operator_settings()
        )
        self.assertEqual(code, 2)
        self.assertIn("access log", err)

    def test_apply_is_refused(self):
        code, _, err = self.run_command(
            "apply", self.folder, "--operator", self.write_operator_settings()
        )
        self.assertEqual(code, 2)
        self.assertIn("status and trace", err)

    def test_status_exits_with_2_if_the_store_does_not_answer(self):
        code, _, err = self.run_command(
            "status", "--operator", self.write_operator_settings()
        )
        self.assertEqual(code, 2)
        self.assertIn("retry later", err)
