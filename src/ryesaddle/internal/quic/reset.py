"""Stateless resets, which any agent of a service can send."""

import hashlib
import os

TOKEN_BYTES = 16
MIN_RESET_BYTES = 21
MAX_RESET_BYTES = 42
FIXED_BIT = 0x40


class ResetTokens:
    """Derives reset tokens from connection IDs (RFC 9000, section 10.3.2).

    Parameters
    ----------
    key : bytes
        Secret shared by all members.
    """

    def __init__(self, key):
        self._key = key

    def token(self, flow_id):
        """Return the 16-byte stateless reset token of a connection ID."""
        return hashlib.blake2b(
            flow_id, key=self._key, digest_size=TOKEN_BYTES, person=b"stateless-reset"
        ).digest()

    def build_reset(self, flow_id, trigger_bytes):
        """Return a stateless reset, or None if it could cause a loop of resets.

        Two endpoints that answer each other's resets stop, as each reset is shorter
        than the datagram that it answers and has a minimum length.

        Parameters
        ----------
        flow_id : bytes
            Destination connection ID of the datagram that the reset answers.
        trigger_bytes : int
            Length of that datagram; the reset is at least one byte shorter.
        """
        length = min(trigger_bytes - 1, MAX_RESET_BYTES)
        if length < MIN_RESET_BYTES:
            return None
        random_bytes = bytearray(os.urandom(length - TOKEN_BYTES))
        random_bytes[0] = FIXED_BIT | (random_bytes[0] & 0x3F)
        return bytes(random_bytes) + self.token(flow_id)
