"""UDP socket for datagrams between members."""

import asyncio
import logging

from ryesaddle.errors import SettingsError, WireError
from ryesaddle.internal.log import warn
from ryesaddle.internal.wire.control import decode_control, encode_control
from ryesaddle.internal.wire.message import Control, Datagram

log = logging.getLogger(__name__)

DROP_LOG_INTERVAL_S = 1.0


class PeerSocket(asyncio.DatagramProtocol):
    """Sends datagrams to members and dispatches received ones to handlers.

    Parameters
    ----------
    codec : Codec
        Encodes and authenticates datagrams.
    me : Member
        Announcement of this process; the sender of its datagrams.
    metrics : Metrics
        Counts dropped datagrams.
    """

    def __init__(self, codec, me, metrics):
        self._codec = codec
        self._me = me
        self._metrics = metrics
        self._transport = None
        self._handlers = {}
        self._next_log_at = 0.0

    async def open(self):
        """Bind the socket to the peer address of this process."""
        await bind_udp(self, self._me.address, "peer")

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def add_handler(self, kind, handler):
        """Call ``handler(datagram, body, address)`` for each body of the type ``kind``.

        Several handlers may be added for one type.
        """
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, address, body):
        """Send a `Forward` or `Answer`."""
        datagram = Datagram(self._me.node, self._me.incarnation, body)
        self._transport.sendto(self._codec.encode(datagram), address)

    def send_control(self, address, msg):
        """Send a control message."""
        self.send(address, Control(encode_control(msg)))

    def connection_made(self, transport):
        """Store the transport for `send` and `close`."""
        self._transport = transport

    def error_received(self, exc):
        """Count an error that the kernel reports for an earlier datagram."""
        self._metrics.count("peer.unreachable")

    def datagram_received(self, data, addr):
        """Decode a datagram and call the handlers for its body."""
        try:
            datagram = self._codec.decode(data)
            body = datagram.body
            if isinstance(body, Control):
                body = decode_control(body.body)
        except WireError as exc:
            self._metrics.count("peer.dropped")
            self._log_dropped(addr, exc)
            return
        handlers = self._handlers.get(type(body), ())
        if not handlers:
            self._metrics.count("peer.unhandled")
        for handler in handlers:
            handler(datagram, body, addr)

    def _log_dropped(self, addr, exc):
        # Rate-limited, so that forged datagrams cannot flood the log.
        now = asyncio.get_running_loop().time()
        if now >= self._next_log_at:
            self._next_log_at = now + DROP_LOG_INTERVAL_S
            warn(log, "peer-dropped", source=f"{addr[0]}:{addr[1]}", reason=exc)


async def bind_udp(protocol, address, field):
    """Bind a UDP socket for ``protocol``.

    Raises
    ------
    SettingsError
        If the address cannot be bound; ``field`` names its setting.
    """
    loop = asyncio.get_running_loop()
    try:
        await loop.create_datagram_endpoint(lambda: protocol, local_addr=address)
    except OSError as exc:
        raise SettingsError(
            f"{field}: {address} cannot be bound ({exc.strerror}); choose a free "
            "local address"
        ) from exc
