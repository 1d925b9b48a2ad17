"""The users' routers: which balancer gets the packets of a flow."""

import asyncio

import xxhash

from ryesaddle.daemons.passing.http import HttpError, call
from ryesaddle.internal.address import Address

PROBE_S = 0.5
PROBE_LIMIT_S = 0.4
MISSES = 2  # after so many a balancer is out of the rotation
READY_PATH = "/ryesaddle/readyz"


class Router:
    """Hashes flows over the balancers that say that they are ready.

    Parameters
    ----------
    balancers : sequence of Address
        Where they receive the packets of callers.
    ready_port : int
        Where they say whether they are ready.
    """

    def __init__(self, balancers, ready_port):
        self._balancers = tuple(balancers)
        self._ready_port = ready_port
        self._misses = dict.fromkeys(self._balancers, 0)

    def balancer(self, flow):
        """Return the balancer of a flow; only the flows of one that leaves move."""
        ready = [b for b in self._balancers if self._misses[b] < MISSES]
        return max(
            ready if 2 * len(ready) >= len(self._balancers) else self._balancers,
            key=lambda b: xxhash.xxh3_64_intdigest(f"{flow} {b}".encode()),
        )

    async def run(self):
        """Probe all balancers until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe, self._balancers))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, balancer):
        address = Address(balancer.host, self._ready_port)
        try:
            reply = await call(address, "GET", READY_PATH, timeout_s=PROBE_LIMIT_S)
            is_ready = reply.status == 200
        except HttpError:
            is_ready = False  # a miss, as a refusal is
        self._misses[balancer] = 0 if is_ready else self._misses[balancer] + 1
