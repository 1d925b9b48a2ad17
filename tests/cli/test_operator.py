import json
import tempfile
import unittest
from pathlib import Path

from ryesaddle.cli.operator import OperatorClient
from ryesaddle.errors import ConfigurationFolderError, EditConflictError, StoreError
from ryesaddle.settings import OperatorSettings
from tests.support.deployment import free_port
from tests.support.object_api import serve


def service(name, port):
    return {"kind": "service", "name": name, "port": port}


class OperatorClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        root = Path(temporary.name)
        key = root / "peer.key"
        key.write_text("k" * 32)
        key.chmod(0o600)
        port = free_port()
        self.runner, self.api = await serve("127.0.0.1", port)
        self.settings = OperatorSettings(
            store_url=f"http://127.0.0.1:{port}", peer_key_file=str(key)
        )
        self.one, self.two = root / "one", root / "two"
        for folder in (self.one, self.two):
            folder.mkdir()

    async def asyncTearDown(self):
        await self.runner.cleanup()

    def write(self, folder, name, content):
        (folder / name).write_text(json.dumps(content))

    async def run_command(self, command, folder):
        async with OperatorClient(self.settings) as operator:
            return await getattr(operator, command)(folder)

    async def held(self):
        async with OperatorClient(self.settings) as operator:
            return await operator.held()

    async def test_changes_of_two_desks_to_different_files_are_both_kept(self):
        self.write(self.one, "10.json", service("case-desk", 4433))
        self.write(self.two, "20.json", service("pack-archive", 4434))
        await self.run_command("apply", self.one)
        applied = await self.run_command("apply", self.two)
        self.assertEqual(applied.generation, 2)
        self.assertEqual(set((await self.held()).files), {"10.json", "20.json"})
        pulled = await self.run_command("pull", self.one)
        self.assertEqual(pulled.lines, ("+ 20.json",))

    async def test_a_race_for_one_file_names_it_and_changes_nothing(self):
        self.write(self.one, "10.json", service("case-desk", 4433))
        await self.run_command("apply", self.one)
        await self.run_command("pull", self.two)
        self.write(self.one, "10.json", service("case-desk", 5001))
        self.write(self.two, "10.json", service("case-desk", 5002))
        await self.run_command("apply", self.one)
        with self.assertRaises(EditConflictError) as caught:
            await self.run_command("apply", self.two)
        self.assertIn("10.json", str(caught.exception))
        self.assertIn("5001", (await self.held()).files["10.json"])

    async def test_a_lost_answer_does_not_apply_twice(self):
        self.write(self.one, "10.json", service("case-desk", 4433))
        self.api.faults = {"lose_answers": 1}
        applied = await self.run_command("apply", self.one)
        self.assertEqual(applied.generation, 1)
        self.assertEqual((await self.held()).generation, 1)
        again = await self.run_command("apply", self.one)
        self.assertEqual((again.generation, again.lines), (1, ()))

    async def test_nothing_is_called_accepted_during_an_outage(self):
        self.write(self.one, "10.json", service("case-desk", 4433))
        self.api.faults = {"down": True}
        with self.assertRaises(StoreError):
            await self.run_command("apply", self.one)
        self.api.faults = {}
        self.assertEqual((await self.held()).generation, 0)

    async def test_a_folder_that_clashes_with_the_store_is_refused_whole(self):
        self.write(self.one, "10.json", service("case-desk", 4433))
        await self.run_command("apply", self.one)
        self.write(self.two, "20.json", service("case-desk", 4434))
        with self.assertRaises(ConfigurationFolderError) as caught:
            await self.run_command("apply", self.two)
        self.assertIn("run pull", str(caught.exception))
        self.assertEqual((await self.held()).generation, 1)

    async def test_a_removed_file_is_removed_and_others_stay(self):
        self.write(self.one, "10.json", service("case-desk", 4433))
        self.write(self.one, "20.json", service("pack-archive", 4434))
        await self.run_command("apply", self.one)
        (self.one / "20.json").unlink()
        applied = await self.run_command("apply", self.one)
        self.assertEqual(applied.lines, ("- 20.json",))
        self.assertEqual(set((await self.held()).files), {"10.json"})
