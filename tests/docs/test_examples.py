import contextlib
import io
import re
import unittest
from pathlib import Path

import ryesaddle
from docs.examples import claim_once
from ryesaddle.internal.config.folder import merge_files

DOCS = Path(__file__).resolve().parents[2] / "docs"


class ExampleTest(unittest.TestCase):
    def test_the_embedding_example_lets_one_agent_run_the_job(self):
        with contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(len(claim_once.main()), 1)

    def test_every_exported_name_exists(self):
        for name in ryesaddle.__all__:
            self.assertTrue(hasattr(ryesaddle, name), name)

    def test_the_folder_files_of_the_reference_are_valid_together(self):
        text = (DOCS / "configuration.md").read_text(encoding="utf-8")
        files = re.findall(r"`(\d\d-[\w-]+\.json)`:\n\n```json\n(.*?)```", text, re.S)
        self.assertGreaterEqual(len(files), 4)
        cfg = merge_files(dict(files))
        self.assertIn("case-desk", cfg.services)
