"""UDP sockets for messages between processes and for packets."""

import asyncio
import logging

from ryesaddle.errors import WireError
from ryesaddle.internal.address import Address
from ryesaddle.internal.log import warn
from ryesaddle.internal.wire.passthrough import decode_message, encode_message

log = logging.getLogger(__name__)

DROP_LOG_INTERVAL_S = 1.0


class MessageSocket(asyncio.DatagramProtocol):
    """Sends messages, and dispatches received ones to handlers by type.

    Parameters
    ----------
    sock : socket.socket
        A bound, non-blocking socket.
    metrics : Metrics
        Counts lost and dropped datagrams.

    Attributes
    ----------
    on_contact : callable
        Called before each message is handled.
    """

    def __init__(self, sock, metrics):
        self._sock = sock
        self._metrics = metrics
        self._transport = None
        self._handlers = {}
        self._next_log = 0.0
        self.on_contact = lambda: None

    async def listen(self):
        """Start to receive messages, including those already in the socket buffer."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=self._sock)

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def on(self, kind, handler):
        """Call ``handler(message, address)`` for each message of a type."""
        self._handlers[kind] = handler

    def send(self, address, msg):
        """Send a message; possible before `listen`."""
        self.send_all((address,), msg)

    def send_all(self, addresses, msg):
        """Send a message to each address."""
        sender = self._sock if self._transport is None else self._transport
        data = encode_message(msg)
        for address in addresses:
            try:
                sender.sendto(data, address)
            except (OSError, ValueError, OverflowError):
                # Datagrams may be lost on the way too, so a failure is only counted.
                # An address that is no IP number must not stop those after it.
                self._metrics.count("peer.send_failed")

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def error_received(self, exc):
        """Count an error that the kernel reports for an earlier datagram."""
        self._metrics.count("peer.unreachable")

    def datagram_received(self, data, addr):
        """Decode a datagram and call the handler of its type."""
        try:
            msg = decode_message(data)
        except WireError as exc:
            self._metrics.count("peer.dropped")
            self._log_dropped(addr, exc)
            return
        self.on_contact()
        handler = self._handlers.get(type(msg))
        if handler is None:
            self._metrics.count("peer.unhandled")
            return
        handler(msg, Address(*addr[:2]))

    def _log_dropped(self, addr, exc):
        # Rate-limited, so that forged datagrams cannot flood the log.
        now = asyncio.get_running_loop().time()
        if now >= self._next_log:
            self._next_log = now + DROP_LOG_INTERVAL_S
            warn(log, "peer-dropped", source=f"{addr[0]}:{addr[1]}", reason=exc)


class PacketSocket(asyncio.DatagramProtocol):
    """Receives the packets of callers or of a target.

    Parameters
    ----------
    on_packet : callable
        Called with the datagram and its source.
    """

    def __init__(self, on_packet):
        self._on_packet = on_packet
        self._transport = None

    async def open(self, sock):
        """Receive packets on a bound socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, data, address):
        """Send a datagram."""
        self._transport.sendto(data, address)

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def error_received(self, exc):
        """Ignore errors; a silent target is detected by its missing heartbeats."""

    def datagram_received(self, data, addr):
        """Pass a datagram to the callback."""
        self._on_packet(data, addr)
