"""The lease by which a cell chooses its leader."""

import msgspec

from ryesaddle.internal.address import Address


class Lease(msgspec.Struct, frozen=True):
    """Content of a lease object.

    Whether a lease has lapsed is judged by watching its version stand still on
    one's own clock, so clocks need not agree.

    Attributes
    ----------
    holder : str
        Node that leads the cell, empty if it has resigned.
    incarnation : int
        Incarnation of the holder.
    address, control : Address
        Where the holder receives heartbeats, and HTTP calls of members.
    term : int
        Grows by one with each change of holder.
    renewals : int
        Grows by one with each renewal.
    """

    holder: str
    incarnation: int
    address: Address
    control: Address
    term: int
    renewals: int = 0
