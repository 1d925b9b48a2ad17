"""A stop that ends a process by the signal itself is allowed only without sockets."""

import asyncio
import os
import signal
import subprocess
import sys
import unittest

from soak.termination import is_clean_exit, terminate
from tests.support.platform_deployment import ROOT, START_SCRIPT

BOUND = "import socket; s = socket.socket(type=socket.SOCK_DGRAM); s.bind(('', 0)); "
WAIT = "print('up', flush=True); import time; time.sleep(60)"
# From before the interpreter has started to after the imports.
STOP_DELAYS_S = [0.004 * step for step in range(30)]


class TerminationTest(unittest.IsolatedAsyncioTestCase):
    def start(self, *args):
        process = subprocess.Popen(
            [sys.executable, *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    async def stop(self, process, is_paused=False):
        """Return whether the process held a socket, and its exit code."""
        held_socket = await terminate(process, is_paused)
        if is_paused:
            process.send_signal(signal.SIGCONT)
        return held_socket, process.wait()

    async def test_a_process_without_sockets_may_end_by_the_signal(self):
        process = self.start("-c", WAIT)
        process.stdout.readline()
        held_socket, code = await self.stop(process)
        self.assertEqual((held_socket, code), (False, -signal.SIGTERM))
        self.assertTrue(is_clean_exit(code, held_socket))

    async def test_a_process_with_a_bound_socket_may_not(self):
        for is_paused in (False, True):
            process = self.start("-c", BOUND + WAIT)
            process.stdout.readline()
            if is_paused:
                process.send_signal(signal.SIGSTOP)
            held_socket, code = await self.stop(process, is_paused)
            self.assertEqual((held_socket, code), (True, -signal.SIGTERM))
            self.assertFalse(is_clean_exit(code, held_socket))

    async def test_a_process_that_has_already_exited_is_not_excused(self):
        process = self.start("-c", "import os; os.kill(os.getpid(), 15)")
        process.wait()
        self.assertFalse(is_clean_exit(process.returncode, await terminate(process)))
        self.assertFalse(is_clean_exit(1, False))
        self.assertTrue(is_clean_exit(0, True))

    async def test_a_starting_role_never_holds_a_socket_before_it_handles_sigterm(self):
        seen = set()
        for delay_s in STOP_DELAYS_S:
            # Without settings, the role would exit with an error after its imports.
            process = self.start(str(START_SCRIPT), "balancer", "127.0.0.1:0")
            await asyncio.sleep(delay_s)
            if process.poll() is None:
                seen.add(await self.stop(process))
        self.assertNotIn((True, -signal.SIGTERM), seen)
        self.assertLessEqual({code for held, code in seen if not held}, {0, -15})
