"""An HTTP/3 client that tests use as a caller."""

import asyncio
import contextlib
import ssl
from dataclasses import dataclass, field

from aioquic.asyncio import QuicConnectionProtocol, connect
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated, ProtocolNegotiated, StreamReset


class FlowRefusedError(Exception):
    """The peer ended the flow with a stateless reset or a connection close."""


class StreamAbortedError(Exception):
    """The response stream was reset before its end."""


@dataclass
class Response:
    """The headers and body of an HTTP response."""

    headers: dict = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)

    @property
    def status(self):
        return int(self.headers[":status"])

    @property
    def outcome(self):
        return self.headers.get("ryesaddle-outcome")


class Caller(QuicConnectionProtocol):
    """One QUIC connection of a caller, with its HTTP/3 requests."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._h3 = None
        self._responses = {}
        self._waiters = {}
        self.refused = False

    def datagram_received(self, data, addr):
        # aioquic does not recognise stateless resets (RFC 9000, section 10.3.1).
        cid = self._quic._peer_cid
        if cid.stateless_reset_token and data[-16:] == cid.stateless_reset_token:
            self.refused = True
            self._fail_all(FlowRefusedError("stateless reset"))
            return
        super().datagram_received(data, addr)

    async def request(self, method, path, headers=(), body=b"", timeout_s=30.0):
        """Send a request and return its complete `Response`."""
        stream_id = self.send(method, path, headers, body)
        try:
            return await asyncio.wait_for(self._waiters[stream_id], timeout_s)
        finally:
            self._waiters.pop(stream_id, None)

    def send(self, method, path, headers=(), body=b""):
        """Send a request and return its stream ID."""
        stream_id = self._quic.get_next_available_stream_id()
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"case-desk"),
            (b":path", path.encode()),
            *((k.encode(), v.encode()) for k, v in headers),
        ]
        self._responses[stream_id] = Response()
        self._waiters[stream_id] = asyncio.get_running_loop().create_future()
        self._h3.send_headers(stream_id, fields, end_stream=not body)
        if body:
            self._h3.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id

    def cancel(self, stream_id):
        """Cancel a request with ``H3_REQUEST_CANCELLED`` (RFC 9114, section 4.1.1)."""
        self._waiters.pop(stream_id).cancel()
        self._quic.stop_stream(stream_id, 0x10C)
        self.transmit()

    def quic_event_received(self, event):
        if isinstance(event, ConnectionTerminated):
            self._fail_all(FlowRefusedError(event.reason_phrase or "closed"))
        if isinstance(event, StreamReset):
            self._fail(event.stream_id, StreamAbortedError(event.error_code))
        if isinstance(event, ProtocolNegotiated):
            self._h3 = H3Connection(self._quic)
        if self._h3 is None:
            return
        for h3_event in self._h3.handle_event(event):
            response = self._responses.get(h3_event.stream_id)
            if response is None:
                continue
            if isinstance(h3_event, HeadersReceived):
                response.headers = {k.decode(): v.decode() for k, v in h3_event.headers}
            elif isinstance(h3_event, DataReceived):
                response.body += h3_event.data
            if h3_event.stream_ended:
                waiter = self._waiters.get(h3_event.stream_id)
                if waiter is not None and not waiter.done():
                    waiter.set_result(self._responses.pop(h3_event.stream_id))

    def _fail(self, stream_id, exc):
        waiter = self._waiters.get(stream_id)
        if waiter is not None and not waiter.done():
            waiter.set_exception(exc)
            # Marks the exception as retrieved, so that asyncio logs no warning if
            # nobody awaits this request.
            waiter.exception()

    def _fail_all(self, exc):
        for stream_id in list(self._waiters):
            self._fail(stream_id, exc)


@contextlib.asynccontextmanager
async def open_flow(host, port, idle_timeout_s=30.0):
    """Open a flow to a service, yield its `Caller` and close it on exit."""
    cfg = QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        verify_mode=ssl.CERT_NONE,
        idle_timeout=idle_timeout_s,
    )
    async with connect(host, port, configuration=cfg, create_protocol=Caller) as caller:
        yield caller
