"""HTTP/1.1 client and server with few imports, for processes that start quickly."""

import asyncio
import logging
import zlib
from collections import deque
from collections.abc import Callable

import httptools
import msgspec

from ryesaddle.internal.log import warn

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024  # messages of targets are smaller than 4 KiB
MAX_REPLY_BYTES = 8 * 1_048_576  # list pages are about 1 MB, values at most 1 MB
DEFLATE = "deflate"
COMPRESSION_LEVEL = 1  # fastest
IDLE_TIMEOUT_S = 30.0  # heartbeat intervals are at most a few seconds

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class HttpError(Exception):
    """A request failed without a complete reply.

    Attributes
    ----------
    sent : bool
        Whether the server may have received the request.
    """

    def __init__(self, reason, sent):
        super().__init__(reason)
        self.sent = sent


class HttpRequest(msgspec.Struct, frozen=True):
    """An HTTP request."""

    method: str
    path: str
    body: bytes


class HttpReply(msgspec.Struct, frozen=True):
    """An HTTP response.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        Complete body.
    content_type : str
        Media type of the body.
    headers : dict of str to str
        Further header fields; the names of received ones are in lower case.
    on_closed : callable or None
        Called when the connection on which the reply was sent is closed.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = {}
    on_closed: Callable | None = None


class HttpServer:
    """Serves HTTP requests by one handler.

    Parameters
    ----------
    handler : callable
        Takes an `HttpRequest`, returns an `HttpReply` or a future of one.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._connections = set()

    async def open(self, sock):
        """Accept connections on a bound socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._connect, sock=sock)

    def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def _connect(self):
        return _ServerConnection(self._handler, self._connections)


class _ServerConnection(asyncio.Protocol):
    def __init__(self, handler, connections):
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._idle_timer = None
        self._url, self._body, self._size = b"", [], 0
        self._replies = deque()
        self._on_closed = []
        self._eof_received = False

    def close(self):
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        self._transport = transport
        self._connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc):
        self._connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for callback in self._on_closed:
            callback()

    def data_received(self, data):
        self._restart_idle_timer()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            warn(log, "http-malformed", reason=exc)
            self._transport.write(_encode_reply(HttpReply(400)))
            self._transport.close()

    def eof_received(self):
        # A client that has closed its sending side may still wait for replies.
        self._eof_received = True
        return bool(self._replies)

    def on_message_begin(self):
        self._url, self._body, self._size = b"", [], 0

    def on_url(self, url):
        self._url += url

    def on_body(self, body):
        self._size += len(body)
        if self._size <= MAX_BODY_BYTES:
            self._body.append(body)

    def on_message_complete(self):
        if self._size > MAX_BODY_BYTES:
            self._reply(HttpReply(413), True)
            return
        req = HttpRequest(
            self._parser.get_method().decode("ascii", "replace"),
            self._url.decode("latin-1"),
            b"".join(self._body),
        )
        try:
            reply = self._handler(req)
        except Exception:
            # An error in one handler must not prevent the connection's other replies.
            log.exception("http-handler-failed")
            reply = HttpReply(503)
        self._reply(reply, not self._parser.should_keep_alive())

    def _reply(self, reply, last):
        self._replies.append((reply, last))
        if isinstance(reply, asyncio.Future):
            reply.add_done_callback(lambda done: self._send_ready())
        self._send_ready()

    def _send_ready(self):
        """Send the replies that are ready, in the order of their requests."""
        while self._replies and not self._transport.is_closing():
            reply, last = self._replies[0]
            if isinstance(reply, asyncio.Future):
                if not reply.done():
                    return
                reply = _result_or_error_reply(reply)
            self._replies.popleft()
            if reply.on_closed is not None:
                self._on_closed.append(reply.on_closed)
            self._transport.write(_encode_reply(reply))
            if last or (self._eof_received and not self._replies):
                self._transport.close()

    def _restart_idle_timer(self):
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self._transport.close)


def _result_or_error_reply(future):
    if future.cancelled() or future.exception() is not None:
        warn(log, "http-handler-failed", reason=future)
        return HttpReply(503)
    return future.result()


def _encode_reply(reply):
    fields = "".join(f"{name}: {value}\r\n" for name, value in reply.headers.items())
    head = (
        f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, 'Status')}\r\n"
        f"Content-Type: {reply.content_type}\r\n"
        f"Content-Length: {len(reply.body)}\r\n{fields}\r\n"
    )
    return head.encode() + reply.body


def deflated(reply):
    """Return a reply with its body in the content encoding ``deflate`` (RFC 9110)."""
    return HttpReply(
        reply.status,
        zlib.compress(reply.body, COMPRESSION_LEVEL),
        reply.content_type,
        {**reply.headers, "Content-Encoding": DEFLATE},
    )


def inflated(data):
    """Return the decompressed data, at most `MAX_REPLY_BYTES`.

    Raises
    ------
    ValueError
        If the data is malformed, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_REPLY_BYTES)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if not decompressor.eof:
        raise ValueError("compressed body is incomplete or too large")
    return body


async def send_request(
    address,
    method,
    path,
    body=None,
    timeout_s=3.0,
    stall_s=None,
    keeps_open=False,
):
    """Send one request on a new connection and return the reply.

    Connections are not reused, since one that has stalled once may remain stalled.
    A body with the content encoding ``deflate`` is decoded.

    Parameters
    ----------
    address : Address
        Address of the server.
    method, path : str
        Method and target of the request line.
    body : bytes, optional
        JSON body.
    timeout_s : float
        Timeout of the whole exchange, in seconds.
    stall_s : float, optional
        Timeout without progress, in seconds: without a connection, or without a
        further byte of the reply.
    keeps_open : bool
        Whether to leave it to this client to close the connection, so that the server
        learns when the reply has arrived.

    Returns
    -------
    HttpReply

    Raises
    ------
    HttpError
        If no complete reply arrives before the timeouts.
    """
    loop = asyncio.get_running_loop()
    connection = _ClientConnection(address, method, path, body, keeps_open)
    end = loop.time() + timeout_s
    try:
        async with asyncio.timeout_at(end) as limit:

            def extend():
                if stall_s is not None:
                    limit.reschedule(min(end, loop.time() + stall_s))

            connection.on_progress = extend
            extend()
            transport, _ = await loop.create_connection(lambda: connection, *address)
            try:
                return await connection.reply
            finally:
                connection.on_progress = None
                transport.abort()
    except TimeoutError:
        reason = f"no answer within {timeout_s} s"
        if stall_s is not None:
            reason += f", or no progress within {stall_s} s"
        raise HttpError(reason, connection.sent) from None
    except OSError as exc:
        raise HttpError(repr(exc), connection.sent) from exc


class _ClientConnection(asyncio.Protocol):
    def __init__(self, address, method, path, body, keeps_open):
        self._head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        if not keeps_open:
            self._head += "Connection: close\r\n"
        self._request_body = body
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._size = [], 0
        self._headers = {}
        self.sent = False
        self.on_progress = None
        self.reply = asyncio.get_running_loop().create_future()
        # Marks the exception as retrieved; nobody awaits the reply after a timeout.
        self.reply.add_done_callback(lambda done: done.cancelled() or done.exception())

    def connection_made(self, transport):
        self.sent = True
        head = self._head
        if self._request_body is not None:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(self._request_body)}\r\n"
        head += "\r\n"
        transport.write(head.encode() + (self._request_body or b""))

    def data_received(self, data):
        if self.on_progress is not None:
            self.on_progress()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"malformed answer ({exc})")

    def on_header(self, name, value):
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body):
        self._size += len(body)
        if self._size > MAX_REPLY_BYTES:
            self._fail("answer is too large")
        else:
            self._body.append(body)

    def on_message_complete(self):
        if self.reply.done():
            return
        body = b"".join(self._body)
        if self._headers.get("content-encoding") == DEFLATE:
            try:
                body = inflated(body)
            except ValueError as exc:
                self._fail(f"malformed answer ({exc})")
                return
        reply = HttpReply(
            self._parser.get_status_code(),
            body,
            self._headers.get("content-type", ""),
            self._headers,
        )
        self.reply.set_result(reply)

    def connection_lost(self, exc):
        self._fail(f"connection lost ({exc!r})")

    def _fail(self, reason):
        if not self.reply.done():
            self.reply.set_exception(HttpError(reason, self.sent))
