"""An IP address and port."""

import socket
from typing import NamedTuple

MAX_PORT = 2**16 - 1


class Address(NamedTuple):
    """A UDP or TCP endpoint, usable directly as a socket address.

    Attributes
    ----------
    host : str
        IP address in text form.
    port : int
        Port number.
    """

    host: str
    port: int

    def is_numeric(self):
        """Whether packets can be sent to it without a look-up of its host."""
        try:
            socket.inet_pton(socket.AF_INET, self.host)
        except (OSError, ValueError):
            return False
        return 0 < self.port <= MAX_PORT

    def __str__(self):
        return f"{self.host}:{self.port}"
