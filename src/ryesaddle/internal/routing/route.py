"""Which service a caller's packets are for."""

from functools import cached_property

import msgspec
import xxhash

from ryesaddle.internal.address import Address


class Share(msgspec.Struct, frozen=True, array_like=True):
    """The part of a route's new flows that goes to one service."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, array_like=True):
    """What is known of the requests that arrive at one address.

    Attributes
    ----------
    name : str
        For logs.
    shares : tuple of Share
        Services of new flows.
    timeout_s, objective_s : float
        Longest useful duration of a request, and its latency objective, in seconds.
    priority : int
        Urgency; 0 is the highest.
    repeatable : bool
        Whether callers may send a request again.
    """

    name: str
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    priority: int
    repeatable: bool

    def services(self, flow):
        """Return the services to try for ``flow``; the first is that of new flows.

        Parameters
        ----------
        flow : Flow
            Decides by its hash, so that every balancer chooses the same.
        """
        if len(self.shares) == 1:
            return (self.shares[0].service,)
        total = sum(share.weight for share in self.shares)
        point = xxhash.xxh3_64_intdigest(str(flow).encode()) / 2**64 * total
        chosen = self.shares[-1].service
        for share in self.shares:
            point -= share.weight
            if point < 0:
                chosen = share.service
                break
        others = (s.service for s in self.shares if s.service != chosen)
        return (chosen, *others)


class RouteTable(msgspec.Struct, frozen=True, array_like=True, dict=True):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Grows with each change.
    routes : tuple of (Address, Route)
        Routes by the address that callers use.
    idle_s : float
        A flow that has been idle for so long may be forgotten, in seconds.
    """

    version: int
    routes: tuple[tuple[Address, Route], ...]
    idle_s: float

    @cached_property
    def by_front(self):
        """Routes by address, as a dict."""
        return dict(self.routes)

    def find(self, front):
        """Return the `Route` of an address, or None."""
        return self.by_front.get(front)
