"""An IP address and port."""

from typing import NamedTuple


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

    def __str__(self):
        return f"{self.host}:{self.port}"
