import subprocess
import sys
import unittest

HEAVY = ("aiohttp", "aioquic", "cyclopts", "cryptography", "capnp", "prometheus_client")
ROLES = {
    "balancer": "ryesaddle.daemons.passing.run_balancer",
    "agent": "ryesaddle.daemons.passing.run_agent",
}


class ImportTest(unittest.TestCase):
    def test_a_role_loads_only_what_it_needs(self):
        for role, module in ROLES.items():
            code = (
                "import sys; import ryesaddle.platform.role; "
                f"import {module}; print(*sys.modules)"
            )
            done = subprocess.run(
                [sys.executable, "-c", code], capture_output=True, text=True, check=True
            )
            loaded = set(done.stdout.split())
            self.assertEqual(loaded & set(HEAVY), set(), role)
            parts = ("claims", "quic", "wire.codec", "membership.cell")
            own = {f"ryesaddle.internal.{part}" for part in parts}
            self.assertEqual(loaded & own, set(), role)
