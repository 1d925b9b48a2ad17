import unittest

import aiohttp
from aiohttp import web

from ryesaddle.daemons.quic.upstream import Upstream
from ryesaddle.internal.address import Address
from tests.support.deployment import free_port


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = []
        app = web.Application()
        app.router.add_route("*", "/drop", self.abort_connection)
        app.router.add_get("/long", self.send_long_response)
        app.router.add_get("/who", self.send_short_response)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        port = free_port()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.upstream = Upstream(Address("127.0.0.1", port))

    async def asyncTearDown(self):
        await self.upstream.close()
        await self.runner.cleanup()

    async def abort_connection(self, req):
        self.seen.append(req.method)
        req.transport.abort()
        return web.Response()

    async def send_long_response(self, req):
        response = web.StreamResponse(headers={"Content-Length": "1000000"})
        await response.prepare(req)
        await response.write(b"x" * 10_000)
        self.seen.append(req.transport.get_extra_info("peername"))
        await response.write(b"x" * 990_000)
        return response

    async def send_short_response(self, req):
        self.seen.append(req.transport.get_extra_info("peername"))
        return web.Response(text="whole")

    async def test_an_unsafe_request_is_sent_once_with_any_method(self):
        for method in ("POST", "PUT", "DELETE", "PATCH"):
            self.seen.clear()
            with self.assertRaises(aiohttp.ClientError):
                async with self.upstream.exchange(method, "/drop", [], b"", False):
                    pass
            self.assertEqual(self.seen, [method])

    async def test_a_connection_with_an_unread_response_is_not_reused(self):
        async with self.upstream.exchange("GET", "/long", [], b"", True) as response:
            await response.content.read(100)
        async with self.upstream.exchange("GET", "/who", [], b"", True) as response:
            self.assertEqual(await response.read(), b"whole")
        self.assertNotEqual(self.seen[0], self.seen[1])
