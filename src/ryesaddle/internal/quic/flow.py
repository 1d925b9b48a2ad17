"""A caller's QUIC connection with its HTTP/3 state, without network I/O."""

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
    """A caller's connection, and the balancer that its answers are sent through.

    Parameters
    ----------
    conn : ServerConnection
        The QUIC connection.
    caller, balancer : Address
        Source of the flow, and the balancer that its answers are sent through.
    now : float
        Seconds on a monotonic clock.
    """

    def __init__(self, conn, caller, balancer, now):
        self.conn = conn
        self.caller = caller
        self.balancer = balancer
        self.last_received_at = now
        self._balancer_seen_at = now
        self.name = conn.host_cid.hex()
        self.flow_ids = {conn.host_cid, conn.original_destination_connection_id}
        self.retired_ids = set()
        self.closed = False
        self.exchanges = {}
        self._h3 = None
        self._events_handled = asyncio.Event()

    def receive(self, payload, caller, balancer, now):
        """Process a datagram from the caller."""
        self.caller, self.last_received_at = caller, now
        self._update_balancer(balancer, now)
        self.conn.receive_datagram(payload, caller, now)

    def _update_balancer(self, balancer, now):
        # Answers are sent through the same balancer as long as it forwards packets:
        # packets that alternate between balancers arrive out of order, which QUIC
        # treats as loss.
        if (
            balancer == self.balancer
            or now - self._balancer_seen_at > BALANCER_SILENCE_S
        ):
            self.balancer, self._balancer_seen_at = balancer, now

    def events(self):
        """Yield pending HTTP/3 events, and QUIC events that end a stream or flow."""
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
        self._events_handled.set()

    def balancer_may_be_gone(self, now):
        """Whether no packet has come through any balancer for a while.

        The balancer that answers are sent through may then have failed.
        """
        return now - self.last_received_at > BALANCER_SILENCE_S

    def send_headers(self, stream_id, headers, end=False):
        """Queue the header fields of an answer."""
        self._h3.send_headers(stream_id, headers, end_stream=end)

    def send_data(self, stream_id, data, end=False):
        """Queue a part of the body of an answer."""
        self._h3.send_data(stream_id, data, end_stream=end)

    def reset(self, stream_id, error_code):
        """Reset the stream of an answer, so that the caller sees an error."""
        self.conn.reset_stream(stream_id, error_code)

    async def wait_writable(self, stream_id):
        """Wait until the send buffer of a stream has room; False if the flow ends."""
        while not self.closed and self.conn.buffered(stream_id) > SEND_BUFFER_BYTES:
            await self._wait_for_events()
        return not self.closed

    async def wait_delivered(self, stream_id):
        """Wait until the caller has acknowledged the answer; False if the flow ends."""
        while not self.closed and not self.conn.is_delivered(stream_id):
            await self._wait_for_events()
        return self.conn.is_delivered(stream_id)

    async def _wait_for_events(self):
        self._events_handled.clear()
        await self._events_handled.wait()
