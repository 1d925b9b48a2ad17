"""A fake fabric that forwards each datagram to a randomly chosen balancer.

It forwards the datagrams of each caller from a socket of its own, so that balancers
can tell callers apart by address and datagrams need no additional header.
"""

import asyncio
import json
import random
import sys


class CallerSocket(asyncio.DatagramProtocol):
    """The socket that exchanges one caller's datagrams with the balancers."""

    def __init__(self, service_socket, caller):
        self.service_socket = service_socket
        self.caller = caller
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.service_socket.transport.sendto(data, self.caller)


class ServiceSocket(asyncio.DatagramProtocol):
    """The socket at the address to which callers send datagrams for a service."""

    def __init__(self, balancers, rng):
        self.balancers = balancers
        self.rng = rng
        self.caller_sockets = {}
        self.tasks = set()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        task = asyncio.ensure_future(self.forward(data, addr))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def forward(self, data, addr):
        caller_socket = self.caller_sockets.get(addr)
        if caller_socket is None:
            caller_socket = self.caller_sockets[addr] = asyncio.ensure_future(
                self.open_caller_socket(addr)
            )
        transport = (await asyncio.shield(caller_socket)).transport
        transport.sendto(data, self.rng.choice(self.balancers))

    async def open_caller_socket(self, addr):
        loop = asyncio.get_running_loop()
        _, caller_socket = await loop.create_datagram_endpoint(
            lambda: CallerSocket(self, addr), local_addr=("127.0.0.1", 0)
        )
        return caller_socket


async def main(settings):
    """Forward datagrams until the process is terminated.

    ``settings`` holds ``seed`` and ``entries``, a list with the keys ``listen`` and
    ``balancers`` for each service.
    """
    loop = asyncio.get_running_loop()
    rng = random.Random(settings["seed"])
    for item in settings["entries"]:
        balancers = [tuple(address) for address in item["balancers"]]
        service_socket = ServiceSocket(balancers, rng)
        await loop.create_datagram_endpoint(
            lambda service_socket=service_socket: service_socket,
            local_addr=tuple(item["listen"]),
        )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
