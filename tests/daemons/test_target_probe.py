import socket
import unittest

from ryesaddle.daemons.passthrough.target_probe import is_listening


class TargetProbeTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_refused_connection_shows_that_a_target_has_ended(self):
        # Guards against resets of flows that a busy target holds.
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = sock.getsockname()
            self.assertFalse(await is_listening(address))
            sock.listen(1)
            # Nobody accepts, as with a target that is suspended.
            for _ in range(4):
                self.assertTrue(await is_listening(address))
