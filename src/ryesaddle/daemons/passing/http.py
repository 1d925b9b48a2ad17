"""HTTP/1.1 with few imports, for processes that must start quickly."""

import asyncio
import logging
from collections import deque

import httptools
import msgspec

from ryesaddle.internal.log import warn

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024  # largest message of a target is below 4 KiB
MAX_REPLY_BYTES = 8 * 1_048_576  # a list page is about 1 MB, a value up to 1 MB
IDLE_S = 30.0  # longest heartbeat interval seen is a few seconds
READ_CHUNK = 65_536

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class HttpError(Exception):
    """A call had no complete answer.

    Attributes
    ----------
    sent : bool
        Whether the other side may have received the request.
    """

    def __init__(self, reason, sent):
        super().__init__(reason)
        self.sent = sent


class HttpRequest(msgspec.Struct, frozen=True):
    """One request as a handler sees it."""

    method: str
    path: str
    body: bytes


class HttpReply(msgspec.Struct, frozen=True):
    """One answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The whole body.
    content_type : str
        Media type of the body.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"


class HttpServer:
    """Answers requests.

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
        self._timer = None
        self._url, self._body, self._size = b"", [], 0
        self._replies = deque()
        self._ended = False

    def close(self):
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        self._transport = transport
        self._connections.add(self)
        self._arm()

    def connection_lost(self, exc):
        self._connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data):
        self._arm()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            warn(log, "http-malformed", reason=exc)
            self._transport.write(_encode(HttpReply(400)))
            self._transport.close()

    def eof_received(self):
        # A caller that sends no more may still wait for answers.
        self._ended = True
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
            # A fault in one handler must not end the connection's other answers.
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
                reply = _result(reply)
            self._replies.popleft()
            self._transport.write(_encode(reply))
            if last or (self._ended and not self._replies):
                self._transport.close()

    def _arm(self):
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(IDLE_S, self._transport.close)


def _result(future):
    if future.cancelled() or future.exception() is not None:
        warn(log, "http-handler-failed", reason=future)
        return HttpReply(503)
    return future.result()


def _encode(reply):
    head = (
        f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Status')}\r\n"
        f"Content-Type: {reply.content_type}\r\n"
        f"Content-Length: {len(reply.body)}\r\n\r\n"
    )
    return head.encode() + reply.body


async def call(address, method, path, body=None, timeout_s=3.0):
    """Make one call on a connection of its own.

    A connection that has been silent once may stay so, hence none is reused.

    Parameters
    ----------
    address : Address
        Where to connect.
    method, path : str
        Request line.
    body : bytes, optional
        JSON body.
    timeout_s : float
        Longest time for the whole call, in seconds.

    Returns
    -------
    HttpReply

    Raises
    ------
    HttpError
        If there is no complete answer in time.
    """
    exchange = _Exchange(address, method, path, body)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(lambda: exchange, *address)
            try:
                return await exchange.reply
            finally:
                transport.abort()
    except TimeoutError:
        raise HttpError(f"no answer within {timeout_s} s", exchange.sent) from None
    except OSError as exc:
        raise HttpError(repr(exc), exchange.sent) from exc


class _Exchange(asyncio.Protocol):
    def __init__(self, address, method, path, body):
        self._head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        self._content = body
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._size = [], 0
        self.sent = False
        self.reply = asyncio.get_running_loop().create_future()
        # A call that has timed out does not look at it any more.
        self.reply.add_done_callback(lambda done: done.cancelled() or done.exception())

    def connection_made(self, transport):
        self.sent = True
        head = self._head
        if self._content is not None:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(self._content)}\r\n"
        head += "Connection: close\r\n\r\n"
        transport.write(head.encode() + (self._content or b""))

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"malformed answer ({exc})")

    def on_body(self, body):
        self._size += len(body)
        if self._size > MAX_REPLY_BYTES:
            self._fail("answer is too large")
        else:
            self._body.append(body)

    def on_message_complete(self):
        if not self.reply.done():
            status = self._parser.get_status_code()
            self.reply.set_result(HttpReply(status, b"".join(self._body)))

    def connection_lost(self, exc):
        self._fail(f"connection lost ({exc!r})")

    def _fail(self, reason):
        if not self.reply.done():
            self.reply.set_exception(HttpError(reason, self.sent))
