"""Components that balancers and agents share, and their construction."""

import asyncio
import random
import signal
import time
from dataclasses import dataclass

import aiohttp

from ryesaddle.daemons.quic.control import (
    ControlClient,
    ControlServer,
    bearer,
)
from ryesaddle.daemons.quic.membership import Membership
from ryesaddle.daemons.quic.peer import PeerSocket
from ryesaddle.daemons.quic.replication import Replication
from ryesaddle.internal.log import set_up_logging
from ryesaddle.internal.membership.cell import CellMember
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.statsd_sink import StatsdSink
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.store.kubernetes import KubernetesApi
from ryesaddle.internal.wire.codec import Codec
from ryesaddle.internal.wire.control import Ping, Pong
from ryesaddle.settings import read_peer_key


@dataclass
class Node:
    """Components that every member of the system has.

    Attributes
    ----------
    settings : NodeSettings
        Settings of the process.
    me : Member
        Initial announcement of this process.
    peer_key : bytes
        Secret shared by all members.
    metrics : Metrics
        Records counters and gauges.
    peer : PeerSocket
        Sends and receives datagrams between members.
    store : StoreClient
        Client of the object API.
    control, server : ControlClient, ControlServer
        HTTP client and server for calls between members.
    membership : Membership
        Takes part in the cell and holds the replica of the shared state.
    session : aiohttp.ClientSession
        HTTP session of ``store`` and ``control``.
    rng : random.Random
        Source of randomness, for jitter and random choices.
    """

    settings: object
    me: Member
    peer_key: bytes
    metrics: Metrics
    peer: PeerSocket
    store: StoreClient
    control: ControlClient
    server: ControlServer
    membership: Membership
    session: aiohttp.ClientSession
    rng: random.Random

    def status(self, role):
        """Return the status fields that all members have in common."""
        return {
            "node": self.me.node,
            "role": role,
            "config": self.membership.replica.snapshot.generation,
            "leads": self.membership.cell.leads,
            "counts": dict(self.metrics.counts),
            "store_calls": self.store.calls,
        }

    async def open(self):
        """Bind the sockets of the node."""
        await self.server.open()
        await self.peer.open()

    async def close(self):
        """Announce that the process leaves, and close all sockets and sessions."""
        self.membership.send_leave()
        self.metrics.flush()
        await self.server.close()
        self.peer.close()
        await self.session.close()


def build_node(settings, service="", target=""):
    """Create the components of a member from its settings.

    Must be called inside a running event loop.
    """
    set_up_logging(settings.log_level, settings.node, asyncio.get_running_loop())
    peer_key = read_peer_key(settings.peer_key_file)
    me = Member(
        node=settings.node,
        incarnation=time.time_ns(),
        address=settings.peer,
        control=settings.control,
        data_centre=settings.data_centre,
        service=service,
        target=target,
    )
    rng = random.Random(me.incarnation)
    sink = None
    if settings.statsd is not None:
        sink = StatsdSink(settings.statsd, f"ryesaddle.{settings.node}")
    metrics = Metrics(sink)
    session = aiohttp.ClientSession()
    peer = PeerSocket(Codec(peer_key), me, metrics)
    store = StoreClient(KubernetesApi(settings.store_url, session), rng)
    control = ControlClient(session, bearer(peer_key))
    server = ControlServer(settings.control, bearer(peer_key))
    cell = CellMember(settings.cell, me, rng)
    replication = Replication(
        settings.cell, me.incarnation, store, control, server, rng
    )
    membership = Membership(cell, replication, peer, store, settings.seeds, rng)
    peer.add_handler(Ping, lambda datagram, body, addr: peer.send_control(addr, Pong()))
    return Node(
        settings,
        me,
        peer_key,
        metrics,
        peer,
        store,
        control,
        server,
        membership,
        session,
        rng,
    )


def create_stop_event():
    """Return an event that SIGTERM or SIGINT sets; a second signal exits at once."""
    loop = asyncio.get_running_loop()
    stop_event = asyncio.Event()

    def on_signal():
        if stop_event.is_set():
            raise SystemExit(1)
        stop_event.set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, on_signal)
    return stop_event
