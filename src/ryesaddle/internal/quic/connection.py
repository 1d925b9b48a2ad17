"""The server side of a QUIC connection."""

from aioquic.quic.connection import QuicConnection


class ServerConnection(QuicConnection):
    """A QUIC connection with derived reset tokens and an inspectable send buffer.

    aioquic has no public interface for either, so this class, and no other, uses
    aioquic's private names.

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
        """Return how many bytes of a stream the peer has not acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def is_delivered(self, stream_id):
        """Whether the peer has acknowledged a stream including its end."""
        stream = self._streams.get(stream_id)
        return stream is None or stream.sender.is_finished

    def _replenish_connection_ids(self):
        super()._replenish_connection_ids()
        self._derive_tokens()

    def _derive_tokens(self):
        for cid in self._host_cids:
            cid.stateless_reset_token = self._tokens.token(cid.cid)
