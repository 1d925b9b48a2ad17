import asyncio
import json
import logging
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from ryesaddle.daemons.passing import live
from ryesaddle.daemons.passing.live import LiveSettings
from ryesaddle.daemons.passing.settings import (
    PassingAgentSettings,
    PassingBalancerSettings,
    load_passing_settings,
)
from ryesaddle.errors import SettingsError
from ryesaddle.internal.address import Address
from tests.support.template import platform_fields, render

ROOT = Path(__file__).resolve().parents[2]
KINDS = {"balancer": PassingBalancerSettings, "agent": PassingAgentSettings}
WAIT_S = 60.0


class TemplateTest(unittest.TestCase):
    def load(self, role, **changes):
        text = (ROOT / "deploy" / f"{role}.json").read_text()
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "settings.json"
            file.write_text(render(text, platform_fields(role, **changes)))
            return load_passing_settings(file, KINDS[role])

    def test_the_templates_give_settings_that_load(self):
        balancer, agent = self.load("balancer"), self.load("agent")
        self.assertEqual(balancer.callers, Address("10.1.0.10", 8172))
        self.assertEqual(balancer.peer, Address("10.1.0.10", 7720))
        self.assertEqual(balancer.configuration_ms, 3_000)
        self.assertEqual(len(balancer.seeds), 3)
        self.assertEqual(agent.target_address, Address("10.1.0.11", 8165))
        self.assertEqual((agent.service, agent.heartbeat_ms), ("huvo11a", 770))

    def test_a_host_may_have_no_seeds(self):
        self.assertEqual(self.load("agent", seeds=[]).seeds, ())


class LiveSettingsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "settings.json"
        text = (ROOT / "deploy" / "balancer.json").read_text()
        self.fields = json.loads(render(text, platform_fields("balancer")))
        self.write()
        self.settings = LiveSettings(self.file, PassingBalancerSettings)

    def write(self, **changes):
        self.fields.update(changes)
        self.file.write_text(json.dumps(self.fields))

    def test_a_change_is_taken_but_for_addresses_in_use(self):
        self.write(stop_limit_s=9, peer="10.9.9.9:1", seeds=[])
        with self.assertLogs(live.log, "INFO") as logs:
            self.settings.reload(signalled=True)
        self.assertEqual((self.settings.stop_limit_s, self.settings.seeds), (9, ()))
        self.assertEqual(self.settings.peer, Address("10.1.0.10", 7720))
        pairs = logs.records[0].kv
        self.assertEqual(pairs["needs_restart"], ["peer"])
        self.assertEqual(pairs["changed"], ["seeds", "stop_limit_s"])

    def test_a_file_that_cannot_be_used_changes_nothing(self):
        for text in ("{", '{"node": 5}', "\xff"):
            self.file.write_text(text, encoding="latin-1")
            with self.assertLogs(live.log, "WARNING") as logs:
                self.settings.reload(signalled=False)
            self.assertEqual(logs.records[0].getMessage(), "reload-refused")
        self.assertEqual(self.settings.stop_limit_s, 6)

    def test_a_file_that_cannot_be_used_ends_a_start(self):
        self.file.write_text("{}")
        with self.assertRaises(SettingsError):
            LiveSettings(self.file, PassingBalancerSettings)

    async def test_a_signal_and_a_silent_change_are_both_noticed(self):
        logging.getLogger(live.__name__).setLevel(logging.CRITICAL)
        self.addCleanup(logging.getLogger(live.__name__).setLevel, logging.NOTSET)
        with mock.patch.object(live, "CHECK_S", 0.02):
            task = asyncio.ensure_future(self.settings.run())
            self.write(stop_limit_s=7)
            await self.until(lambda: self.settings.stop_limit_s == 7)
        self.write(stop_limit_s=8)
        os.kill(os.getpid(), signal.SIGHUP)
        await self.until(lambda: self.settings.stop_limit_s == 8)
        task.cancel()

    async def until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)
