import asyncio
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
                async with self.upstream.exchange(method, "/drop", [], b""):
                    pass
            self.assertEqual(self.seen, [method])

    async def test_a_connection_with_an_unread_response_is_not_reused(self):
        async with self.upstream.exchange("GET", "/long", [], b"") as response:
            await response.content.read(100)
        async with self.upstream.exchange("GET", "/who", [], b"") as response:
            self.assertEqual(await response.read(), b"whole")
        self.assertNotEqual(self.seen[0], self.seen[1])


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A target sends a second copy of an answer on a connection that is kept."""

    async def asyncSetUp(self):
        self.connections = 0
        self.repeat_delays_s = []
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.upstream = Upstream(Address(*server.sockets[0].getsockname()))
        self.addAsyncCleanup(self.upstream.close)

    async def serve(self, reader, writer):
        self.connections += 1
        while head := await reader.readuntil(b"\r\n\r\n"):
            body = head.split()[1]
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            writer.write(answer + body)
            if self.repeat_delays_s:
                await asyncio.sleep(self.repeat_delays_s.pop())
                writer.write(answer + body)

    async def get(self, path):
        async with self.upstream.exchange("GET", path, [], b"") as response:
            return await response.read()

    async def test_a_copy_on_an_idle_connection_answers_no_other_request(self):
        self.repeat_delays_s = [0.02]
        self.assertEqual(await self.get("/first"), b"/first")
        await asyncio.sleep(0.1)
        self.assertEqual(await self.get("/second"), b"/second")

    async def test_a_copy_that_arrives_after_the_next_request_answers_none(self):
        self.repeat_delays_s = [0.1]
        self.assertEqual(await self.get("/first"), b"/first")
        self.assertEqual(await self.get("/second"), b"/second")

    async def test_a_copy_that_arrives_with_the_answer_answers_no_other_request(self):
        self.repeat_delays_s = [0.0]
        self.assertEqual(await self.get("/first"), b"/first")
        self.assertEqual(await self.get("/second"), b"/second")


class AnswerLengthTest(unittest.IsolatedAsyncioTestCase):
    """An answer that broke off halfway must not look complete."""

    async def exchange(self, answer, method="GET"):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        upstream = Upstream(Address(*server.sockets[0].getsockname()))
        self.addAsyncCleanup(upstream.close)
        async with upstream.exchange(method, "/", [], b"") as response:
            return await response.read()

    async def test_an_answer_that_breaks_off_is_an_error(self):
        for fields in (
            b"",
            b"Content-Length: 8\r\n",
            b"Transfer-Encoding: chunked\r\n",
        ):
            body = b"8\r\nhalf" if b"chunked" in fields else b"half"
            with self.subTest(fields), self.assertRaises(aiohttp.ClientPayloadError):
                await self.exchange(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + body)

    async def test_answers_without_a_body_need_no_length(self):
        self.assertEqual(await self.exchange(b"HTTP/1.1 204 No\r\n\r\n"), b"")
        self.assertEqual(await self.exchange(b"HTTP/1.1 200 OK\r\n\r\n", "HEAD"), b"")
