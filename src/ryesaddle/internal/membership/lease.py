"""The lease that elects the leader of a cell."""

import msgspec

from ryesaddle.internal.address import Address


class Lease(msgspec.Struct, frozen=True):
    """Content of a lease object.

    A lease has expired when a reader has seen no new object version for a fixed
    time on the reader's own clock, so clocks need not be synchronized.

    Attributes
    ----------
    holder : str
        Node that leads the cell, empty after it has resigned.
    incarnation : int
        Incarnation of the holder.
    address, control : Address
        Where the holder receives heartbeats and HTTP requests from members.
    term : int
        Incremented when a member takes the lease.
    renewals : int
        Incremented with each renewal.
    """

    holder: str
    incarnation: int
    address: Address
    control: Address
    term: int
    renewals: int = 0
