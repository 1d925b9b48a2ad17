"""The server side of a QUIC connection."""

from aioquic.quic.connection import QuicConnection


class ServerConnection(QuicConnection):
    """A QUIC connection with derived reset tokens and a visible send buffer.

    aioquic has no public hook for either, so the private names it needs are
    touched in this class only.

    Parameters
    ----------
    tokens : ResetTokens
        Source of stateless reset tokens.
    """

    def __init__(self, *, tokens, **kwargs):
        self._tokens = tokens
        super().__init__(**kwargs)
        self._derive_tokens()

    def buffered(self, stream_id):
        """Return the bytes of a stream that the peer has not acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def is_delivered(self, stream_id):
        """Whether the peer has acknowledged all of a stream, its end included."""
        stream = self._streams.get(stream_id)
        return stream is None or stream.sender.is_finished

    def _replenish_connection_ids(self):
        super()._replenish_connection_ids()
        self._derive_tokens()

    def _derive_tokens(self):
        for cid in self._host_cids:
            cid.stateless_reset_token = self._tokens.token(cid.cid)
