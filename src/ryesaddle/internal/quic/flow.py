"""One caller's connection: QUIC and HTTP/3 state, without sockets."""

import asyncio

from aioquic.h3.connection import H3Connection
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    ProtocolNegotiated,
    StopSendingReceived,
    StreamReset,
)

SEND_BUFFER_BYTES = 256 * 1024
BALANCER_SILENCE_S = 0.3


class Flow:
    """A connection together with the balancer that its answers go through.

    Parameters
    ----------
    conn : ServerConnection
        The QUIC connection.
    caller, balancer : Address
        Source of the flow, and the balancer its answers go through.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, conn, caller, balancer, now):
        self.conn = conn
        self.caller = caller
        self.balancer = balancer
        self.heard_at = now
        self._through_at = now
        self.name = conn.host_cid.hex()
        self.flow_ids = {conn.host_cid, conn.original_destination_connection_id}
        self.retired_ids = set()
        self.closed = False
        self.exchanges = {}
        self._h3 = None
        self._progress = asyncio.Event()

    def receive(self, payload, caller, balancer, now):
        """Feed one datagram of the caller."""
        self.caller, self.heard_at = caller, now
        self._keep_balancer(balancer, now)
        self.conn.receive_datagram(payload, caller, now)

    def _keep_balancer(self, balancer, now):
        # Answers stay with one balancer while it lives: packets that take turns
        # through several arrive out of order, which QUIC takes for loss.
        if balancer == self.balancer or now - self._through_at > BALANCER_SILENCE_S:
            self.balancer, self._through_at = balancer, now

    def events(self):
        """Yield HTTP/3 events and the QUIC events that end a stream or flow."""
        while (event := self.conn.next_event()) is not None:
            match event:
                case ProtocolNegotiated():
                    self._h3 = H3Connection(self.conn)
                case ConnectionIdIssued(connection_id=cid):
                    self.flow_ids.add(cid)
                case ConnectionIdRetired(connection_id=cid):
                    self.flow_ids.discard(cid)
                    self.retired_ids.add(cid)
                case ConnectionTerminated():
                    self.closed = True
                    yield event
                case StreamReset() | StopSendingReceived():
                    yield event
            if self._h3 is not None:
                yield from self._h3.handle_event(event)
        self._progress.set()

    def answers_stalled(self, now):
        """Whether the balancer last heard from may be gone."""
        return now - self.heard_at > BALANCER_SILENCE_S

    def send_headers(self, stream_id, headers, end=False):
        """Queue the header section of an answer."""
        self._h3.send_headers(stream_id, headers, end_stream=end)

    def send_data(self, stream_id, data, end=False):
        """Queue a part of the body of an answer."""
        self._h3.send_data(stream_id, data, end_stream=end)

    def reset(self, stream_id, error_code):
        """Abort an answer, so that the caller sees an error."""
        self.conn.reset_stream(stream_id, error_code)

    async def writable(self, stream_id):
        """Wait until the send buffer of a stream has room; False if closed."""
        while not self.closed and self.conn.buffered(stream_id) > SEND_BUFFER_BYTES:
            await self._wait()
        return not self.closed

    async def delivered(self, stream_id):
        """Wait until the caller has acknowledged the answer; False if closed."""
        while not self.closed and not self.conn.is_delivered(stream_id):
            await self._wait()
        return self.conn.is_delivered(stream_id)

    async def _wait(self):
        self._progress.clear()
        await self._progress.wait()
