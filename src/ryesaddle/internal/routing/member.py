"""An agent as the other members know it."""

import msgspec
import xxhash

from ryesaddle.internal.address import Address


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """The announcement of one agent or balancer.

    Attributes
    ----------
    node : str
        Name of the process, unique in the deployment.
    incarnation : int
        Distinguishes successive runs of the same process.
    address : Address
        Where the process receives datagrams from other members.
    control : Address
        Where the process serves HTTP to members and operators.
    data_centre : str
        The data centre the process runs in.
    service : str
        The service an agent belongs to; empty for a balancer.
    target : str
        The target beside the agent; empty for a balancer.
    draining : bool
        Whether the process is about to stop.
    failing : bool
        Whether its target has failed several requests in a row.
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
        """Return an integer that differs between different announcements."""
        return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(self))

    @property
    def identity(self):
        """The pair that names one run of one process."""
        return (self.node, self.incarnation)
