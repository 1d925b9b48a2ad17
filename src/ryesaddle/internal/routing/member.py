"""The announced properties of an agent or balancer."""

import msgspec
import xxhash

from ryesaddle.internal.address import Address


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """What one agent or balancer announces about itself.

    Attributes
    ----------
    node : str
        Name of the process, unique in the deployment.
    incarnation : int
        Number that distinguishes successive runs of the same process.
    address : Address
        Address at which the process receives datagrams from other members.
    control : Address
        Address at which the process serves HTTP to members and operators.
    data_centre : str
        Data centre that the process runs in.
    service : str
        Service that the agent belongs to; empty for a balancer.
    target : str
        Target that the agent runs beside; empty for a balancer.
    draining : bool
        Whether the process accepts no new flows because it is about to stop.
    failing : bool
        Whether the agent's target has failed several consecutive requests.
    """

    node: str
    incarnation: int
    address: Address
    control: Address
    data_centre: str
    service: str = ""
    target: str = ""
    draining: bool = False
    failing: bool = False

    def digest(self):
        """Return a 64-bit hash of the announcement."""
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(self))

    @property
    def identity(self):
        """The node name and incarnation, which identify one run of a process."""
        return (self.node, self.incarnation)
