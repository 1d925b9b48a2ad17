"""The network between the hosts: UDP and TCP through proxies on loopback."""

import asyncio
from collections import Counter

from ryesaddle.internal.address import Address

READ_CHUNK = 65_536


class Network:
    """Decides what becomes of what one host sends another.

    Parameters
    ----------
    rng : random.Random
        Decides which packets are lost.
    """

    def __init__(self, rng):
        self._rng = rng
        self._cuts, self._silent = Counter(), Counter()
        self._delays, self._losses = {}, {}
        self.dropped = 0

    def cut(self, sender, receiver, is_cut):
        """Let nothing more pass one way, or let it pass again."""
        self._cuts[sender, receiver] += 1 if is_cut else -1

    def silence(self, sender, receiver, is_silent):
        """Keep connections open and let nothing pass on them, or end this."""
        self._silent[sender, receiver] += 1 if is_silent else -1

    def delay(self, sender, receiver, delay_s):
        """Let everything come late by ``delay_s`` seconds."""
        self._delays[sender, receiver] = delay_s

    def lose(self, sender, receiver, share):
        """Lose a share of the packets."""
        self._losses[sender, receiver] = share

    def is_cut(self, sender, receiver):
        """Whether connections of a sender are refused."""
        return self._cuts[sender, receiver] > 0

    def is_silent(self, sender, receiver):
        """Whether nothing passes on connections that are kept open."""
        return self._silent[sender, receiver] > 0

    def delay_s(self, sender, receiver):
        """Return how late everything comes, in seconds."""
        return self._delays.get((sender, receiver), 0.0)

    def carry(self, sender, receiver, deliver, *args):
        """Call ``deliver(*args)`` now, later or never."""
        lost = self._rng.random() < self._losses.get((sender, receiver), 0.0)
        if lost or self.is_cut(sender, receiver):
            self.dropped += 1
            return
        delay_s = self.delay_s(sender, receiver)
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, lambda: deliver(*args))
        else:
            deliver(*args)


class MessageProxy(asyncio.DatagramProtocol):
    """The address under which others reach the message socket of one host.

    What arrives from another host leaves from the proxy of that host, so that each
    process sees the others under the addresses that they tell.

    Parameters
    ----------
    network : Network
        Decides.
    host : str
        The host.
    public, private : Address
        Where others send, and where the process is bound.
    proxies : dict of str to MessageProxy
        Those of all hosts.
    """

    def __init__(self, network, host, public, private, proxies):
        self._network, self._host = network, host
        self._public, self._private = public, private
        self._proxies = proxies
        self._transport = None

    async def open(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._public)

    def close(self):
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        sender = self._proxies.get(addr[0])
        if sender is not None:
            self._network.carry(addr[0], self._host, sender.send, data, self._private)

    def send(self, data, address):
        self._transport.sendto(data, address)


class StoreProxy:
    """The address under which one host reaches the store.

    Parameters
    ----------
    network : Network
        Decides; the store's name there is ``store``.
    host : str
        The host.
    public, store : Address
        Where the host connects, and where the store listens.
    """

    def __init__(self, network, host, public, store):
        self._network, self._host = network, host
        self._public, self._store = public, store
        self._server = None
        self._writers = set()

    async def open(self):
        self._server = await asyncio.start_server(self._serve, *self._public)

    def close(self):
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self):
        """Break all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._network.is_cut(self._host, "store"):
            writer.transport.abort()
            return
        try:
            there = await asyncio.open_connection(*self._store)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, there[1]}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pump(reader, there[1], self._host, "store"),
                self._pump(there[0], writer, "store", self._host),
            )
        finally:
            self._writers -= ends
            for end in ends:
                end.transport.abort()

    async def _pump(self, reader, writer, sender, receiver):
        try:
            while data := await reader.read(READ_CHUNK):
                delay_s = self._network.delay_s(sender, receiver)
                if delay_s:
                    await asyncio.sleep(delay_s)
                if not self._network.is_silent(sender, receiver):
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            return  # the other side sees the end of the connection
        finally:
            writer.close()


def proxied(host):
    """Return the address under which the others reach a host of the soak."""
    first, second, third, fourth = host.split(".")
    return Address(f"{first}.{second}.{int(third) + 10}.{fourth}", 0).host
