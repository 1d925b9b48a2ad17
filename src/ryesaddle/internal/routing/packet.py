"""What the flow decisions need to know of a packet, whatever its protocol."""

from typing import NamedTuple, Protocol

import msgspec

from ryesaddle.internal.address import Address


class Flow(NamedTuple):
    """Names one flow: its caller and the address the caller sends to.

    Attributes
    ----------
    caller : Address
        The caller's end.
    front : Address
        The service address that the caller uses.
    """

    caller: Address
    front: Address

    def __str__(self):
        return f"{self.caller}>{self.front}"

    @property
    def host(self):
        """The caller's host, by which flows are ranked."""
        return self.caller.host

    @property
    def port(self):
        """The caller's port, by which flows are ranked."""
        return self.caller.port


class Packet(msgspec.Struct, frozen=True):
    """One packet between a caller and a target.

    Attributes
    ----------
    flow : Flow
        The flow it belongs to.
    opens : bool
        Whether it asks for a new flow.
    copy : int
        How often the caller has sent the same opening packet before.
    accepts : bool
        Whether it is the target's answer to an opening packet.
    has_data : bool
        Whether it carries bytes of the caller's or the target's stream.
    ends : bool
        Whether its sender ends its side of the flow.
    resets : bool
        Whether its sender gives the flow up.
    returned : bool
        Whether the target returned it because it does not hold the flow.
    token : int
        What the sender of a returned packet had attached to it.
    position : int
        Sequence number of the packet.
    expects : int
        Sequence number that its sender expects next.
    """

    flow: Flow
    opens: bool = False
    copy: int = 0
    accepts: bool = False
    has_data: bool = False
    ends: bool = False
    resets: bool = False
    returned: bool = False
    token: int = 0
    position: int = 0
    expects: int = 0


class PacketProtocol(Protocol):
    """Reads and builds the packets of one protocol; decides nothing."""

    def read_caller(self, data):
        """Return the `Packet` in a caller's datagram, or None if it is none."""

    def read_target(self, data):
        """Return the `Packet` in a target's datagram, or None if it is none."""

    def with_token(self, data, token):
        """Return the datagram with ``token`` attached, for the way to a target."""

    def without_token(self, data):
        """Return a returned datagram as its sender wrote it."""

    def reset(self, packet):
        """Return the datagram that tells the caller that its flow is over."""
