"""Simulates the routers that distribute flows over the balancers."""

import asyncio

import xxhash

from ryesaddle.daemons.passthrough.http import HttpError, send_request
from ryesaddle.internal.address import Address

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
UNHEALTHY_THRESHOLD = 2  # failed probes in a row that take a balancer out of rotation
READY_PATH = "/ryesaddle/readyz"


class Router:
    """Distributes flows over the ready balancers by rendezvous hashing.

    Parameters
    ----------
    balancers : sequence of Address
        Where the balancers receive the packets of callers.
    ready_port : int
        The port of their readiness endpoint.
    """

    def __init__(self, balancers, ready_port):
        self._balancers = tuple(balancers)
        self._ready_port = ready_port
        self._failed_probes = dict.fromkeys(self._balancers, 0)

    def choose_balancer(self, flow):
        """Return the balancer for the packets of a flow.

        If a balancer leaves the rotation, only its flows move. If fewer than half of
        the balancers are ready, readiness is ignored.
        """
        ready = [
            b for b in self._balancers if self._failed_probes[b] < UNHEALTHY_THRESHOLD
        ]
        return max(
            ready if 2 * len(ready) >= len(self._balancers) else self._balancers,
            key=lambda b: xxhash.xxh3_64_intdigest(f"{flow} {b}".encode()),
        )

    async def run(self):
        """Probe all balancers until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe, self._balancers))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, balancer):
        address = Address(balancer.host, self._ready_port)
        try:
            reply = await send_request(
                address, "GET", READY_PATH, timeout_s=PROBE_TIMEOUT_S
            )
            is_ready = reply.status == 200
        except HttpError:
            is_ready = False  # no answer counts as not ready
        self._failed_probes[balancer] = (
            0 if is_ready else self._failed_probes[balancer] + 1
        )
