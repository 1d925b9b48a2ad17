"""A stand-in for the fabric: any datagram may go to any balancer.

One socket for each caller keeps callers apart, so no header is added.
"""

import asyncio
import json
import random
import sys


class CallerLeg(asyncio.DatagramProtocol):
    """The fabric's socket for one caller; answers of any balancer come here."""

    def __init__(self, entry, caller):
        self.entry = entry
        self.caller = caller
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.entry.transport.sendto(data, self.caller)


class Entry(asyncio.DatagramProtocol):
    """The address of one service as callers see it."""

    def __init__(self, balancers, rng):
        self.balancers = balancers
        self.rng = rng
        self.legs = {}
        self.tasks = set()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        task = asyncio.ensure_future(self.forward(data, addr))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def forward(self, data, addr):
        leg = self.legs.get(addr)
        if leg is None:
            leg = self.legs[addr] = asyncio.ensure_future(self.open(addr))
        transport = (await asyncio.shield(leg)).transport
        transport.sendto(data, self.rng.choice(self.balancers))

    async def open(self, addr):
        loop = asyncio.get_running_loop()
        _, leg = await loop.create_datagram_endpoint(
            lambda: CallerLeg(self, addr), local_addr=("127.0.0.1", 0)
        )
        return leg


async def main(settings):
    """Serve ``{"seed", "entries": [{"listen", "balancers"}]}`` until ended."""
    loop = asyncio.get_running_loop()
    rng = random.Random(settings["seed"])
    for item in settings["entries"]:
        balancers = [tuple(address) for address in item["balancers"]]
        entry = Entry(balancers, rng)
        await loop.create_datagram_endpoint(
            lambda entry=entry: entry, local_addr=tuple(item["listen"])
        )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
