import subprocess
import sys
import unittest

from tests.support.platform_deployment import START_SCRIPT

SLOW_IMPORTS = (
    "aiohttp",
    "aioquic",
    "cyclopts",
    "cryptography",
    "capnp",
    "prometheus_client",
    "pathlib",
    "urllib.parse",
)
ROLES = {
    "balancer": "ryesaddle.daemons.passthrough.run_balancer",
    "agent": "ryesaddle.daemons.passthrough.run_agent",
}


class SignalTest(unittest.TestCase):
    def test_sigterm_during_the_imports_exits_with_code_0(self):
        # While SIGTERM had its default action during the imports, a process that was
        # stopped just after its start ended with an error (soak, seed 162). The import
        # hook sends the signal in place of the first import.
        code = (
            "import os, runpy, signal, sys\n"
            "class SignalOnImport:\n"
            "    def find_spec(self, name, path, target=None):\n"
            "        if name == 'ryesaddle.platform.role':\n"
            "            os.kill(os.getpid(), signal.SIGTERM)\n"
            "sys.meta_path.insert(0, SignalOnImport())\n"
            "sys.argv[1:] = ['balancer', '127.0.0.1:0']\n"
            f"runpy.run_path({str(START_SCRIPT)!r}, run_name='__main__')\n"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True)
        self.assertEqual(done.returncode, 0, done.stderr)


class ImportTest(unittest.TestCase):
    def test_role_imports_only_what_it_needs(self):
        for role, module in ROLES.items():
            code = (
                "import sys; import ryesaddle.platform.role; "
                f"import {module}; print(*sys.modules)"
            )
            done = subprocess.run(
                [sys.executable, "-c", code], capture_output=True, text=True, check=True
            )
            loaded = set(done.stdout.split())
            self.assertEqual(loaded & set(SLOW_IMPORTS), set(), role)
            parts = ("claims", "quic", "wire.codec", "membership.cell")
            own = {f"ryesaddle.internal.{part}" for part in parts}
            self.assertEqual(loaded & own, set(), role)
