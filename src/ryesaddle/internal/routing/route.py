"""Routes from service addresses to services."""

from functools import cached_property

import msgspec
import xxhash

from ryesaddle.internal.address import Address

_encode = msgspec.msgpack.Encoder().encode


class TrafficShare(msgspec.Struct, frozen=True, array_like=True):
    """The weight of one service among the new flows of a route."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Services and request properties configured for one service address.

    Attributes
    ----------
    name : str
        Name of the route in logs.
    shares : tuple of TrafficShare
        Services among which new flows are split.
    timeout_s : float
        Time after which an answer is of no use to the caller, in seconds.
    objective_s : float
        Latency objective of a request, in seconds.
    priority : int
        Priority of requests; 0 is the highest.
    repeatable : bool
        Whether callers may safely repeat a request.
    """

    name: str
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    objective_s: float
    priority: int
    repeatable: bool

    def services(self, flow):
        """Return the services that may hold ``flow``, that of new flows first.

        Parameters
        ----------
        flow : Flow
            Its hash selects the service, so that all balancers choose the same one.
        """
        if len(self.shares) == 1:
            return (self.shares[0].service,)
        total = sum(share.weight for share in self.shares)
        position = xxhash.xxh3_64_intdigest(str(flow).encode()) / 2**64 * total
        chosen = self.shares[-1].service
        for share in self.shares:
            position -= share.weight
            if position < 0:
                chosen = share.service
                break
        others = (s.service for s in self.shares if s.service != chosen)
        return (chosen, *others)


class RouteTable(msgspec.Struct, frozen=True, array_like=True, dict=True):
    """The routes of one version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes : tuple of (Address, Route)
        Each service address with its route.
    idle_s : float
        Time without packets after which a flow may be forgotten, in seconds.
    warm_up_per_s : tuple of (str, float)
        Services with the requests per second that each of their targets bears while
        it warms up; services without such a limit are left out.
    """

    version: int
    routes: tuple[tuple[Address, Route], ...]
    idle_s: float
    warm_up_per_s: tuple[tuple[str, float], ...] = ()

    @cached_property
    def by_address(self):
        """The routes by service address."""
        return dict(self.routes)

    @cached_property
    def _warm_up_by_service(self):
        return dict(self.warm_up_per_s)

    @cached_property
    def digest(self):
        """Hash of the content, whatever the order of the routes."""
        hashes = (xxhash.xxh3_64_intdigest(_encode(item)) for item in self.routes)
        content = (self.idle_s, self.warm_up_per_s, sum(hashes) % 2**64)
        return xxhash.xxh3_64_intdigest(_encode(content))

    def find(self, front):
        """Return the `Route` of a service address, or None."""
        return self.by_address.get(front)

    def warm_up_rate(self, service):
        """Return the requests per second of a target that warms up; 0 if unlimited."""
        return self._warm_up_by_service.get(service, 0.0)
