import asyncio
import contextlib
import json
import logging
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from ryesaddle.cli.checks import check_paths
from ryesaddle.daemons.passthrough import live
from ryesaddle.daemons.passthrough.live import LiveSettings
from ryesaddle.daemons.passthrough.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
    load_passthrough_settings,
)
from ryesaddle.errors import SettingsError
from ryesaddle.internal.address import Address
from tests.support.template import platform_fields, render

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_BY_ROLE = {
    "balancer": PassthroughBalancerSettings,
    "agent": PassthroughAgentSettings,
}
TIMEOUT_S = 60.0


class TemplateTest(unittest.TestCase):
    def load(self, role, **changes):
        with self.rendered(role, **changes) as file:
            return load_passthrough_settings(file, SETTINGS_BY_ROLE[role])

    @contextlib.contextmanager
    def rendered(self, role, **changes):
        text = (ROOT / "deploy" / f"{role}.json").read_text()
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "settings.json"
            file.write_text(render(text, platform_fields(role, **changes)))
            yield file

    def test_rendered_templates_load(self):
        balancer, agent = self.load("balancer"), self.load("agent")
        self.assertEqual(balancer.callers, Address("10.1.0.10", 8172))
        self.assertEqual(balancer.peer, Address("10.1.0.10", 7720))
        self.assertEqual(balancer.configuration_ms, 3_000)
        self.assertEqual(len(balancer.seeds), 3)
        self.assertEqual(agent.target_address, Address("10.1.0.11", 8165))
        self.assertEqual((agent.service, agent.heartbeat_ms), ("huvo11a", 770))

    def test_a_host_may_have_no_seeds(self):
        self.assertEqual(self.load("agent", seeds=[]).seeds, ())

    def test_a_section_is_rendered_for_each_entry_or_once_for_a_value(self):
        for value, rendered in (
            ([1, 2], "12"),
            ({"a": 1}, "a"),
            (5000, "5000"),
            (0, "0"),
            (True, "True"),
            (False, ""),
            (None, ""),
            ([], ""),
        ):
            found = render("{{#x.y}}{{.}}{{/x.y}}", {"x": {"y": value}})
            self.assertEqual(found, rendered, value)
        text = "{{#x}}{{x|json}}{{,}}{{/x}}"
        self.assertEqual(render(text, {"x": 5}), "5")

    def test_the_bound_for_evacuations_is_absent_where_the_platform_gives_none(self):
        self.assertIsNone(self.load("balancer").evacuation_ms)
        bounds = {**platform_fields("balancer")["bounds"], "evacuateMs": 5_000}
        self.assertEqual(self.load("balancer", bounds=bounds).evacuation_ms, 5_000)

    def test_check_prints_the_kind_of_settings(self):
        for role, printed in (
            ("balancer", "PassingBalancerSettings"),
            ("agent", "PassingAgentSettings"),
        ):
            with self.rendered(role) as file:
                self.assertEqual(check_paths([file]), [f"{file}: {printed}: good"])


class LiveSettingsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "settings.json"
        text = (ROOT / "deploy" / "balancer.json").read_text()
        self.fields = json.loads(render(text, platform_fields("balancer")))
        self.write()
        self.settings = LiveSettings(self.file, PassthroughBalancerSettings)

    def write(self, **changes):
        self.fields.update(changes)
        self.file.write_text(json.dumps(self.fields))

    def test_a_reload_applies_changes_except_addresses_in_use(self):
        self.write(stop_limit_s=9, peer="10.9.9.9:1", seeds=[])
        with self.assertLogs(live.log, "INFO") as logs:
            self.settings.reload(signalled=True)
        self.assertEqual((self.settings.stop_limit_s, self.settings.seeds), (9, ()))
        self.assertEqual(self.settings.peer, Address("10.1.0.10", 7720))
        pairs = logs.records[0].kv
        self.assertEqual(pairs["needs_restart"], ["peer"])
        self.assertEqual(pairs["changed"], ["seeds", "stop_limit_s"])

    def test_an_invalid_file_changes_nothing(self):
        for text in ("{", '{"node": 5}', "\xff"):
            self.file.write_text(text, encoding="latin-1")
            with self.assertLogs(live.log, "WARNING") as logs:
                self.settings.reload(signalled=False)
            self.assertEqual(logs.records[0].getMessage(), "reload-refused")
        self.assertEqual(self.settings.stop_limit_s, 6)

    def test_an_invalid_file_fails_at_construction(self):
        self.file.write_text("{}")
        with self.assertRaises(SettingsError):
            LiveSettings(self.file, PassthroughBalancerSettings)

    async def test_a_signal_and_a_changed_file_each_cause_a_reload(self):
        logging.getLogger(live.__name__).setLevel(logging.CRITICAL)
        self.addCleanup(logging.getLogger(live.__name__).setLevel, logging.NOTSET)
        with mock.patch.object(live, "FILE_CHECK_INTERVAL_S", 0.02):
            task = asyncio.ensure_future(self.settings.run())
            self.write(stop_limit_s=7)
            await self.wait_until(lambda: self.settings.stop_limit_s == 7)
        self.write(stop_limit_s=8)
        os.kill(os.getpid(), signal.SIGHUP)
        await self.wait_until(lambda: self.settings.stop_limit_s == 8)
        task.cancel()

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)
