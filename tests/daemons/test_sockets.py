import asyncio
import socket
import unittest

import uvloop

from ryesaddle.daemons.passthrough.sockets import MessageSocket
from ryesaddle.internal.address import Address
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.wire.passthrough import ReportRequest

UNUSABLE = (Address("localhost", 7720), Address("127.0.0.1", 2**16 + 1))


class SendTest(unittest.TestCase):
    """Guards against an entry of another writer that ends each round of reports."""

    def send(self, sender_is_open):
        """Send to unusable addresses and to a usable one; return how many failed."""

        async def run():
            with socket.socket(type=socket.SOCK_DGRAM) as receiver:
                receiver.bind(("127.0.0.1", 0))
                receiver.settimeout(1.0)
                sock = socket.socket(type=socket.SOCK_DGRAM)
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
                metrics = Metrics()
                messages = MessageSocket(sock, metrics)
                if sender_is_open:
                    await messages.listen()
                usable = Address(*receiver.getsockname())
                request = ReportRequest("edge-1", usable)
                messages.send_all((*UNUSABLE, usable), request)
                await asyncio.sleep(0.05)
                receiver.recv(1000)
                messages.close() if sender_is_open else sock.close()
                return metrics.counts["peer.send_failed"]

        return uvloop.run(run())

    def test_an_unusable_address_does_not_stop_those_after_it(self):
        self.assertGreaterEqual(self.send(sender_is_open=True), 1)

    def test_the_same_holds_before_messages_are_received(self):
        self.send(sender_is_open=False)
