"""Response streams of callers."""

from aioquic.h3.connection import ErrorCode


class CallerGoneError(Exception):
    """The caller has disconnected, so the response cannot be delivered."""


class FlowStream:
    """Sends the response to one request on a QUIC stream.

    Parameters
    ----------
    flow : Flow
        The caller's connection.
    stream_id : int
        Identifier of the QUIC stream that carried the request.
    transmit : callable
        Called with a flow to send its pending datagrams.
    """

    def __init__(self, flow, stream_id, transmit):
        self._flow = flow
        self._stream_id = stream_id
        self._transmit = transmit

    @property
    def caller(self):
        """Address of the caller, as text."""
        return str(self._flow.caller)

    @property
    def flow_name(self):
        """Name of the flow."""
        return self._flow.name

    @property
    def closed(self):
        """Whether the flow has ended."""
        return self._flow.closed

    async def start(self, status, fields):
        """Send the status and header fields."""
        self._send_headers(status, fields, end=False)

    async def write(self, data):
        """Send a part of the body; waits while the send buffer is full.

        Raises
        ------
        CallerGoneError
            If the flow has ended.
        """
        self._flow.send_data(self._stream_id, data)
        self._transmit(self._flow)
        if not await self._flow.wait_writable(self._stream_id):
            raise CallerGoneError

    async def finish(self):
        """Finish the stream."""
        self._flow.send_data(self._stream_id, b"", end=True)
        self._transmit(self._flow)

    def send_empty(self, status, fields):
        """Send a response without a body."""
        self._send_headers(status, fields, end=True)
        self._transmit(self._flow)

    def abort(self):
        """Reset the stream, so that the caller sees an error."""
        self._flow.reset(self._stream_id, ErrorCode.H3_INTERNAL_ERROR)
        self._transmit(self._flow)

    async def wait_delivered(self):
        """Wait until the caller acknowledges the response; False if it is gone."""
        return await self._flow.wait_delivered(self._stream_id)

    def _send_headers(self, status, fields, end):
        headers = [(b":status", str(status).encode())]
        headers += [(k.encode("latin-1"), v.encode("latin-1")) for k, v in fields]
        self._flow.send_headers(self._stream_id, headers, end)
