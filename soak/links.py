"""Simulates the network between hosts: UDP and TCP proxies on loopback."""

import asyncio
from collections import Counter

from ryesaddle.internal.address import Address

READ_CHUNK = 65_536


class Network:
    """Drops, delays or passes what one host sends to another.

    Parameters
    ----------
    rng : random.Random
        Determines which packets are lost.
    """

    def __init__(self, rng):
        self._rng = rng
        self._cuts, self._silenced = Counter(), Counter()
        self._delays, self._losses = {}, {}
        self.dropped = 0

    def cut(self, sender, receiver, is_cut):
        """Cut the link in one direction, or restore it; cuts may overlap."""
        self._cuts[sender, receiver] += 1 if is_cut else -1

    def silence(self, sender, receiver, is_silent):
        """Discard all data on open connections, or end this; calls may overlap."""
        self._silenced[sender, receiver] += 1 if is_silent else -1

    def delay(self, sender, receiver, delay_s):
        """Delay all data in one direction; 0 ends it."""
        self._delays[sender, receiver] = delay_s

    def lose(self, sender, receiver, share):
        """Drop a random share of the packets in one direction; 0 ends it."""
        self._losses[sender, receiver] = share

    def is_cut(self, sender, receiver):
        """Whether packets are dropped and new connections refused."""
        return self._cuts[sender, receiver] > 0

    def is_silent(self, sender, receiver):
        """Whether data on open connections is discarded."""
        return self._silenced[sender, receiver] > 0

    def delay_s(self, sender, receiver):
        """Return the delay in one direction, in seconds."""
        return self._delays.get((sender, receiver), 0.0)

    def forward(self, sender, receiver, callback, *args):
        """Call ``callback(*args)`` at once or after the delay, or drop the packet."""
        lost = self._rng.random() < self._losses.get((sender, receiver), 0.0)
        if lost or self.is_cut(sender, receiver):
            self.dropped += 1
            return
        delay_s = self.delay_s(sender, receiver)
        if delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, lambda: callback(*args))
        else:
            callback(*args)


class MessageProxy(asyncio.DatagramProtocol):
    """A UDP proxy at the address where others reach the message socket of one host.

    A datagram of another host is sent on from the proxy of that host, so that its
    source is the address that the sender advertises.

    Parameters
    ----------
    network : Network
        Applies the faults of the links.
    host : str
        The host of the process.
    public, private : Address
        The proxy's own address, and the address that the process is bound to.
    proxies : dict of str to MessageProxy
        The proxies of all hosts, by host.
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
            self._network.forward(addr[0], self._host, sender.send, data, self._private)

    def send(self, data, address):
        self._transport.sendto(data, address)


class StoreProxy:
    """A TCP proxy through which one host reaches the store.

    Parameters
    ----------
    network : Network
        Applies the faults of the links; its name for the store is ``store``.
    host : str
        The host that connects.
    public, store : Address
        The proxy's own address, and that of the store.
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
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._network.is_cut(self._host, "store"):
            writer.transport.abort()
            return
        try:
            store_stream = await asyncio.open_connection(*self._store)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, store_stream[1]}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._pump(reader, store_stream[1], self._host, "store"),
                self._pump(store_stream[0], writer, "store", self._host),
            )
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.transport.abort()

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
            return  # closing the writer tells the other side
        finally:
            writer.close()


def proxy_host(host):
    """Return the loopback address of a host's proxies."""
    first, second, third, fourth = host.split(".")
    return Address(f"{first}.{second}.{int(third) + 10}.{fourth}", 0).host
