import json
import tempfile
import unittest
from pathlib import Path

from ryesaddle.cli.operator import OperatorClient
from ryesaddle.errors import ConfigurationFolderError, EditConflictError, StoreError
from ryesaddle.settings import OperatorSettings
from tests.support.deployment import free_port
from tests.support.object_api import serve


def service_file(name, port):
    return {"kind": "service", "name": name, "port": port}


class OperatorClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        root = Path(temporary_folder.name)
        key = root / "peer.key"
        key.write_text("k" * 32)
        key.chmod(0o600)
        port = free_port()
        self.runner, self.api = await serve("127.0.0.1", port)
        self.settings = OperatorSettings(
            store_url=f"http://127.0.0.1:{port}", peer_key_file=str(key)
        )
        self.folder_a, self.folder_b = root / "a", root / "b"
        for folder in (self.folder_a, self.folder_b):
            folder.mkdir()

    async def asyncTearDown(self):
        await self.runner.cleanup()

    def write_json(self, folder, name, content):
        (folder / name).write_text(json.dumps(content))

    async def run_command(self, command, folder):
        async with OperatorClient(self.settings) as operator:
            return await getattr(operator, command)(folder)

    async def read_configuration(self):
        async with OperatorClient(self.settings) as operator:
            return await operator.read_configuration()

    async def test_changes_of_two_operators_to_different_files_are_both_kept(self):
        self.write_json(self.folder_a, "10.json", service_file("case-desk", 4433))
        self.write_json(self.folder_b, "20.json", service_file("pack-archive", 4434))
        await self.run_command("apply", self.folder_a)
        applied = await self.run_command("apply", self.folder_b)
        self.assertEqual(applied.generation, 2)
        self.assertEqual(
            set((await self.read_configuration()).files), {"10.json", "20.json"}
        )
        pulled = await self.run_command("pull", self.folder_a)
        self.assertEqual(pulled.lines, ("+ 20.json",))

    async def test_conflicting_changes_to_one_file_are_refused_by_name(self):
        self.write_json(self.folder_a, "10.json", service_file("case-desk", 4433))
        await self.run_command("apply", self.folder_a)
        await self.run_command("pull", self.folder_b)
        self.write_json(self.folder_a, "10.json", service_file("case-desk", 5001))
        self.write_json(self.folder_b, "10.json", service_file("case-desk", 5002))
        await self.run_command("apply", self.folder_a)
        with self.assertRaises(EditConflictError) as caught:
            await self.run_command("apply", self.folder_b)
        self.assertIn("10.json", str(caught.exception))
        self.assertIn("5001", (await self.read_configuration()).files["10.json"])

    async def test_a_write_whose_reply_was_lost_is_not_applied_twice(self):
        self.write_json(self.folder_a, "10.json", service_file("case-desk", 4433))
        self.api.faults = {"lose_answers": 1}
        applied = await self.run_command("apply", self.folder_a)
        self.assertEqual(applied.generation, 1)
        self.assertEqual((await self.read_configuration()).generation, 1)
        again = await self.run_command("apply", self.folder_a)
        self.assertEqual((again.generation, again.lines), (1, ()))

    async def test_apply_fails_while_the_store_is_unavailable(self):
        self.write_json(self.folder_a, "10.json", service_file("case-desk", 4433))
        self.api.faults = {"down": True}
        with self.assertRaises(StoreError):
            await self.run_command("apply", self.folder_a)
        self.api.faults = {}
        self.assertEqual((await self.read_configuration()).generation, 0)

    async def test_files_that_are_invalid_together_with_the_store_are_refused(self):
        self.write_json(self.folder_a, "10.json", service_file("case-desk", 4433))
        await self.run_command("apply", self.folder_a)
        self.write_json(self.folder_b, "20.json", service_file("case-desk", 4434))
        with self.assertRaises(ConfigurationFolderError) as caught:
            await self.run_command("apply", self.folder_b)
        self.assertIn("run pull", str(caught.exception))
        self.assertEqual((await self.read_configuration()).generation, 1)

    async def test_only_the_removed_file_is_removed_from_the_store(self):
        self.write_json(self.folder_a, "10.json", service_file("case-desk", 4433))
        self.write_json(self.folder_a, "20.json", service_file("pack-archive", 4434))
        await self.run_command("apply", self.folder_a)
        (self.folder_a / "20.json").unlink()
        applied = await self.run_command("apply", self.folder_a)
        self.assertEqual(applied.lines, ("- 20.json",))
        self.assertEqual(set((await self.read_configuration()).files), {"10.json"})
