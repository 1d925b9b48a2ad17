import asyncio
import unittest

from hypothesis import given, settings, strategies as st

from ryesaddle.daemons.passthrough import http
from ryesaddle.daemons.passthrough.http import (
    HttpError,
    HttpReply,
    HttpServer,
    deflated,
    send_request,
)
from ryesaddle.daemons.passthrough.process import bind_tcp
from ryesaddle.internal.address import Address

HOST = "127.0.0.1"


class HttpTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.requests = []
        sock = bind_tcp((HOST, 0))
        self.address = Address(*sock.getsockname())
        self.server = HttpServer(self.handle)
        await self.server.open(sock)

    async def asyncTearDown(self):
        self.server.close()

    def handle(self, req):
        self.requests.append(req)
        if req.path == "/later":
            return asyncio.ensure_future(self.delayed_reply())
        if req.path == "/deflated":
            return deflated(HttpReply(200, b"text " * 1_000))
        if req.path == "/fails":
            raise RuntimeError("handler")
        return HttpReply(200, b"%s %s" % (req.path.encode(), req.body))

    async def delayed_reply(self):
        await asyncio.sleep(0.02)
        return HttpReply(200, b"later")

    async def send_raw(self, data):
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer


class ServerTest(HttpTestCase):
    async def test_a_request_receives_the_reply_of_the_handler(self):
        reply = await send_request(self.address, "POST", "/x?y=1", b'{"a":1}')
        self.assertEqual((reply.status, reply.body), (200, b'/x?y=1 {"a":1}'))
        self.assertEqual(self.requests[0].method, "POST")

    async def test_an_error_in_a_handler_does_not_stop_the_server(self):
        with self.assertLogs(http.log, "ERROR"):
            reply = await send_request(self.address, "GET", "/fails")
        self.assertEqual(reply.status, 503)
        self.assertEqual((await send_request(self.address, "GET", "/ok")).status, 200)

    async def test_replies_keep_the_order_of_their_requests(self):
        request = b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n"
        last = b"GET /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        answer = await self.send_raw(request % b"later" + request % b"b" + last)
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1")]
        self.assertEqual(bodies[1:], [b"later", b"/b ", b"/c "])

    async def test_the_server_learns_when_a_reply_has_arrived(self):
        closed = asyncio.Event()
        reply = HttpReply(200, b"x" * 5_000_000, on_closed=closed.set)
        server = HttpServer(lambda req: reply)
        sock = bind_tcp((HOST, 0))
        await server.open(sock)
        self.addCleanup(server.close)
        address = Address(*sock.getsockname())
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readexactly(1_000)
        self.assertFalse(closed.is_set())
        writer.close()
        await send_request(address, "GET", "/", keeps_open=True)
        await asyncio.wait_for(closed.wait(), 3.0)

    async def test_a_malformed_request_is_refused(self):
        with self.assertLogs(http.log, "WARNING"):
            answer = await self.send_raw(b"not http at all\r\n\r\n")
        self.assertIn(b" 400 ", answer.partition(b"\r\n")[0])

    async def test_a_body_that_is_too_large_is_refused(self):
        head = b"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
        answer = await self.send_raw(head + b"x" * 100_000)
        self.assertIn(b" 413 ", answer.partition(b"\r\n")[0])
        self.assertEqual(self.requests, [])


class ClientTest(HttpTestCase):
    async def raw_server(self, answer):
        async def serve(reader, writer):
            await reader.read(100)
            writer.write(answer)
            await writer.drain()
            if answer:
                writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        return Address(*server.sockets[0].getsockname())

    async def test_a_refused_connection_is_reported_as_not_sent(self):
        sock = bind_tcp((HOST, 0))
        address = Address(*sock.getsockname())
        sock.close()
        with self.assertRaises(HttpError) as caught:
            await send_request(address, "GET", "/")
        self.assertFalse(caught.exception.sent)

    async def test_a_truncated_or_malformed_reply_is_reported_as_sent(self):
        truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        for answer in (truncated, b"HTTP/1.1 200 OK\r\n", b"odd odd odd\r\n\r\n"):
            with self.assertRaises(HttpError) as caught:
                await send_request(await self.raw_server(answer), "GET", "/")
            self.assertTrue(caught.exception.sent, answer)

    async def test_a_compressed_reply_is_read_as_it_was_written(self):
        reply = await send_request(self.address, "GET", "/deflated")
        self.assertEqual(reply.body, b"text " * 1_000)

    async def test_a_compressed_reply_that_broke_off_is_an_error(self):
        body = deflated(HttpReply(200, b"text " * 1_000)).body[:-4]
        head = "HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\n"
        head += f"Content-Length: {len(body)}"
        with self.assertRaises(HttpError):
            address = await self.raw_server(head.encode() + b"\r\n\r\n" + body)
            await send_request(address, "GET", "/")

    async def test_a_transfer_goes_on_while_bytes_arrive(self):
        """A slow link must not make the same bytes be sent again and again."""

        async def serve(reader, writer):
            await reader.read(100)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
            for _ in range(self.written):
                writer.write(b"x")
                await asyncio.sleep(0.05)

        server = await asyncio.start_server(serve, HOST, 0)
        self.addCleanup(server.close)
        address = Address(*server.sockets[0].getsockname())
        self.written = 8
        reply = await send_request(address, "GET", "/", timeout_s=3.0, stall_s=0.2)
        self.assertEqual(reply.body, b"x" * 8)
        self.written = 2
        with self.assertRaises(HttpError):
            await send_request(address, "GET", "/", timeout_s=3.0, stall_s=0.2)

    async def test_a_request_to_a_silent_server_times_out(self):
        with self.assertRaises(HttpError) as caught:
            await send_request(await self.raw_server(b""), "GET", "/", timeout_s=0.05)
        self.assertTrue(caught.exception.sent)


class ArbitraryInputTest(unittest.TestCase):
    @settings(max_examples=50)
    @given(st.lists(st.binary(max_size=60), max_size=4))
    def test_arbitrary_input_is_answered_or_closes_the_connection(self, chunks):
        asyncio.run(self.send_chunks(chunks))

    async def send_chunks(self, chunks):
        sock = bind_tcp((HOST, 0))
        address = sock.getsockname()
        server = HttpServer(lambda req: HttpReply(200))
        await server.open(sock)
        reader, writer = await asyncio.open_connection(*address)
        try:
            for chunk in chunks:
                writer.write(chunk)
            writer.write_eof()
            await reader.read()
        except ConnectionError:
            return
        finally:
            writer.close()
            server.close()
