"""Protocol-independent description of flows and packets."""

from typing import NamedTuple, Protocol

import msgspec

from ryesaddle.internal.address import Address

# Callers and targets have at most 16 packets of 1,200 bytes in flight each way; a reset
# may be four times as far from the last acknowledgement (the platform's PROTOCOL,
# section Flows).
MAX_BYTES_IN_FLIGHT = 16 * 1_200
MAX_ACK_DISTANCE = 4 * MAX_BYTES_IN_FLIGHT


class Flow(NamedTuple):
    """Identifies a flow by the caller's address and the service address.

    Attributes
    ----------
    caller : Address
        Source address of the caller.
    front : Address
        Service address that the caller sends to.
    """

    caller: Address
    front: Address

    def __str__(self):
        return f"{self.caller}>{self.front}"

    @property
    def host(self):
        """The caller's host, used as part of the ranking key."""
        return self.caller.host

    @property
    def port(self):
        """The caller's port, used as part of the ranking key."""
        return self.caller.port


def are_of_one_flow(number, other):
    """Whether two numbers that count the bytes of a target can be of one flow.

    Each target begins each flow with another sequence number. Flows of the same port,
    and targets that accepted copies of one opening packet, are told apart by it.

    Parameters
    ----------
    number, other : int
        Sequence numbers of a target, or acknowledgement numbers of its caller, at
        about the same time.
    """
    distance = (number - other) & 0xFFFFFFFF
    return min(distance, 0x1_0000_0000 - distance) <= MAX_ACK_DISTANCE


class Packet(msgspec.Struct, frozen=True):
    """One packet between a caller and a target.

    Attributes
    ----------
    flow : Flow
        The flow that the packet belongs to.
    opens : bool
        Whether the packet opens a flow.
    copy : int
        How many times the caller has sent this opening packet before.
    accepts : bool
        Whether the packet is the target's acceptance of an opening packet.
    has_data : bool
        Whether the packet carries stream data of its sender.
    data_size : int
        Length of that data, in bytes.
    ends : bool
        Whether the sender closes its side of the flow.
    resets : bool
        Whether the sender aborts the flow.
    returned : bool
        Whether the target returned the packet because it does not hold the flow.
    token : int
        Value that the sender of a returned packet had attached to it.
    sequence_number : int
        Sequence number of the packet.
    ack_number : int
        Next sequence number that the sender expects (acknowledgement number).
    """

    flow: Flow
    opens: bool = False
    copy: int = 0
    accepts: bool = False
    has_data: bool = False
    data_size: int = 0
    ends: bool = False
    resets: bool = False
    returned: bool = False
    token: int = 0
    sequence_number: int = 0
    ack_number: int = 0


class PacketProtocol(Protocol):
    """Parses and builds packets of one protocol; makes no routing decisions."""

    def read_caller(self, data):
        """Parse a datagram from a caller; return a `Packet`, or None if malformed."""

    def read_target(self, data):
        """Parse a datagram from a target; return a `Packet`, or None if malformed."""

    def with_token(self, data, token):
        """Return the datagram with ``token`` attached, to be sent to a target."""

    def without_token(self, data):
        """Return a returned datagram in its original form, without the token."""

    def reset(self, packet):
        """Return a datagram that resets the flow of ``packet`` at the caller."""
