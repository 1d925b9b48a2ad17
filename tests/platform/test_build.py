import subprocess
import tempfile
import unittest
from pathlib import Path

BUILD_SCRIPT = Path(__file__).resolve().parents[2] / "deploy" / "build.sh"


class BuildTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="ryesaddle-test-")
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.package = self.root / "src" / "ryesaddle"
        (self.package / "platform").mkdir(parents=True)
        (self.package / "platform" / "start.py").write_text("START = 1\n")
        (self.package / "errors.py").write_text("ERRORS = 1\n")
        (self.root / "deploy").mkdir()
        (self.root / "deploy" / "requirements.lock").write_text("")
        # The libraries are installed, so that the test needs no package registry.
        self.built = self.root / "target" / "deps" / "ryesaddle"
        self.built.parent.mkdir(parents=True)
        (self.built.parent / ".locked").touch()

    def build(self):
        subprocess.run(["sh", BUILD_SCRIPT], cwd=self.root, check=True)

    def test_a_build_without_changes_replaces_nothing(self):
        """Processes of another build that import the package would miss modules."""
        self.build()
        first = self.built.stat().st_ino
        self.assertTrue(any((self.built / "__pycache__").iterdir()))
        self.build()
        self.assertEqual(self.built.stat().st_ino, first)

    def test_a_build_replaces_what_has_changed_and_leaves_nothing_else(self):
        self.build()
        (self.package / "errors.py").write_text("ERRORS = 2\n")
        (self.package / "platform" / "start.py").write_text("START = 2\n")
        self.build()
        self.assertEqual((self.built / "errors.py").read_text(), "ERRORS = 2\n")
        start = self.root / "target" / "start.py"
        self.assertEqual(start.read_text(), "START = 2\n")
        names = {path.name for path in (self.root / "target").iterdir()}
        self.assertEqual(names, {"deps", "start.py"})
