"""Test runs on the same machine get different ports."""

import subprocess
import sys
import unittest

from tests.support.deployment import ROOT, free_port

CODE = (
    "from tests.support.deployment import free_port; "
    "print(*(free_port() for _ in range(150)), flush=True); input()"
)


class PortTest(unittest.TestCase):
    def test_processes_that_choose_ports_at_the_same_time_get_different_ones(self):
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", CODE],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(8)
        ]
        chosen = [free_port() for _ in range(150)]
        for process in processes:
            chosen += map(int, process.stdout.readline().split())
        for process in processes:
            process.communicate("\n")
        self.assertEqual(len(chosen), 9 * 150)
        self.assertEqual(len(set(chosen)), len(chosen))
