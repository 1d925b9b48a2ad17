"""Stateless resets that any agent of a service can produce."""

import hashlib
import os

TOKEN_BYTES = 16
MIN_RESET_BYTES = 21
MAX_RESET_BYTES = 42
FIXED_BITS = 0x40


class ResetTokens:
    """Derives reset tokens from connection ids (RFC 9000, section 10.3.2).

    Parameters
    ----------
    key : bytes
        Secret shared by all members.
    """

    def __init__(self, key):
        self._key = key

    def token(self, flow_id):
        """Return the 16-byte stateless reset token of a connection id."""
        return hashlib.blake2b(
            flow_id, key=self._key, digest_size=TOKEN_BYTES, person=b"stateless-reset"
        ).digest()

    def datagram(self, flow_id, trigger_bytes):
        """Return a stateless reset, or None if it could cause a loop of resets.

        Parameters
        ----------
        flow_id : bytes
            Destination connection id of the datagram to answer.
        trigger_bytes : int
            Length of that datagram; the answer is shorter.
        """
        length = min(trigger_bytes - 1, MAX_RESET_BYTES)
        if length < MIN_RESET_BYTES:
            return None
        noise = bytearray(os.urandom(length - TOKEN_BYTES))
        noise[0] = FIXED_BITS | (noise[0] & 0x3F)
        return bytes(noise) + self.token(flow_id)
