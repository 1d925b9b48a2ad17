"""Composes and runs a balancer in front of targets that hold their flows."""

import asyncio
import logging
import random
import time

from ryesaddle.daemons.passing.admin import Admin
from ryesaddle.daemons.passing.agents import Agents
from ryesaddle.daemons.passing.balancer import PassingBalancer
from ryesaddle.daemons.passing.cleaner import Cleaner
from ryesaddle.daemons.passing.entry import EntryKeeper, list_entries
from ryesaddle.daemons.passing.follower import RouteFollower
from ryesaddle.daemons.passing.http import HttpReply, HttpServer
from ryesaddle.daemons.passing.peers import STATE_PATH, BalancerEntry, Peers
from ryesaddle.daemons.passing.process import (
    BALANCERS,
    STOP_MARGIN_S,
    TARGETS,
    Supervisor,
    bind_tcp,
    bind_udp,
    stop_event,
)
from ryesaddle.daemons.passing.sockets import MessageSocket, PacketSocket
from ryesaddle.errors import StoreError
from ryesaddle.internal.log import event, set_up_logging, warn
from ryesaddle.internal.membership.directory import AgentDirectory, TargetEntry
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.store.client import StoreClient

log = logging.getLogger(__name__)

LEARN_LIMIT_S = 0.5  # packets wait meanwhile; callers repeat after 0.2 and 0.6 s
LEARN_POLL_S = 0.005
HEDGE_S = 0.05  # ten times the store's usual answer time
REROUTE_S = 1.5  # the fabric probes twice a second and allows two misses
QUIET_S = 0.8  # a stopping balancer that received nothing for so long is not needed
POLL_S = 0.1
LIST_AGAIN_S = 1.0  # half of the time for entries to be back after an outage


async def run_balancer(settings, early, packets, api, read_routes, ready_path):
    """Run a balancer until it is told to stop.

    Parameters
    ----------
    settings : LiveSettings
        Settings of the process, of the kind `PassingBalancerSettings`.
    early : socket.socket
        Bound to the address for the packets of callers.
    packets : PacketProtocol
        Reads and builds packets.
    api : ObjectApi
        The platform's object API.
    read_routes : callable
        Coroutine function that takes a `StoreClient` and returns a `RouteTable`.
    ready_path : str
        Where the platform asks whether this balancer is ready.
    """
    loop = asyncio.get_running_loop()
    set_up_logging(settings.log_level, settings.node, loop)
    stop = stop_event()
    incarnation = time.time_ns()
    rng = random.Random(incarnation)
    metrics = Metrics()
    store = StoreClient(api, rng, metrics=metrics)
    directory = AgentDirectory()
    placement = Placement(settings.data_centre, directory)
    me = BalancerEntry(
        node=settings.node,
        data_centre=settings.data_centre,
        address=settings.peer,
        control=settings.control,
    )
    messages = MessageSocket(bind_udp(settings.peer_listen or settings.peer), metrics)
    callers = PacketSocket(lambda data, addr: balancer.on_caller_packet(data, addr))
    follower = RouteFollower(
        settings.node, lambda: read_routes(store), settings.configuration_ms / 1000
    )
    agents = Agents(me, messages, directory, placement.liveness)
    peers = Peers(me, incarnation, messages, follower, agents)
    balancer = PassingBalancer(
        settings, packets, placement, directory, follower, messages, callers, metrics
    )
    keeper = EntryKeeper(store, BALANCERS, settings.node, rng)

    def status():
        return {
            "node": settings.node,
            "role": "balancer",
            "configuration": follower.version,
            "store_read_age_s": round(follower.read_age_s(loop.time()), 1),
            "flows": len(placement),
            "agents": len(directory),
            "open_agents": directory.count_open(),
            "balancers": len(peers.live()) + 1,
            "store_calls": store.calls,
            "leaving": peers.leaving,
        }

    admin = Admin(metrics, status, placement.describe)

    def handle(req):
        if req.path == ready_path:
            return HttpReply(200 if peers.is_ready() else 503)
        if req.path == STATE_PATH:
            return peers.state()
        return admin.answer(req) or HttpReply(404)

    server = HttpServer(handle)
    tasks = Supervisor()
    await messages.listen()
    for address in {settings.ready, settings.control, settings.metrics}:
        await server.open(bind_tcp(address))
    keeper.want(me)
    tasks.start(keeper.run)
    tasks.start(settings.run)
    learning = asyncio.ensure_future(_learn(store, follower, agents, peers))
    tasks.start(_ask_seeds, learning, peers, settings)
    end = loop.time() + LEARN_LIMIT_S
    while loop.time() < end and not (follower.routes and len(directory)):
        await asyncio.sleep(LEARN_POLL_S)
    await callers.open(early)
    event(log, "started", node=settings.node, role="balancer", version=follower.version)
    tasks.start(follower.run)
    tasks.start(peers.run)
    tasks.start(agents.run)
    tasks.start(balancer.run)
    tasks.start(Cleaner(settings.node, store, peers, agents).run)
    tasks.start(_complete, store, agents, peers, directory, keeper, learning)
    await stop.wait()
    event(log, "stopping", node=settings.node)
    await _drain(balancer, peers, settings.stop_limit_s - STOP_MARGIN_S)
    tasks.close()
    event(log, "stopped", node=settings.node)


async def _learn(store, follower, agents, peers):
    """Read what a start needs; return whether the store gave all of it."""
    read, *listed = await asyncio.gather(
        follower.read(),
        _learn_kind(store, TARGETS, TargetEntry, agents.know),
        _learn_kind(store, BALANCERS, BalancerEntry, peers.know),
    )
    return read and all(listed)


async def _ask_seeds(learning, peers, settings):
    """Ask other balancers if the store does not answer soon."""
    await asyncio.wait([learning], timeout=HEDGE_S)
    if learning.done() and learning.result():
        return
    for seed in settings.seeds:
        if seed != settings.control and await peers.fetch(seed):
            return


async def _complete(store, agents, peers, directory, keeper, learning):
    """List once more if the own entry is new: who registers later has seen it."""
    learnt = await learning
    await keeper.settled.wait()
    while keeper.written or not learnt:
        learnt = await _learn_kind(store, TARGETS, TargetEntry, agents.know)
        learnt &= await _learn_kind(store, BALANCERS, BalancerEntry, peers.know)
        if learnt:
            break
        await asyncio.sleep(LIST_AGAIN_S)
    directory.complete = True


async def _learn_kind(store, kind, struct, know):
    try:
        entries = await list_entries(store, kind, struct)
    except StoreError as exc:
        warn(log, "entries-not-listed", kind=kind, reason=exc)
        return False
    know(entries.values())
    return True


async def _drain(balancer, peers, limit_s):
    """Take no new flows, and carry the open ones while packets arrive."""
    loop = asyncio.get_running_loop()
    peers.leaving = True
    peers.tell()
    end = loop.time() + limit_s
    await asyncio.sleep(min(REROUTE_S, limit_s))
    while loop.time() < min(end, balancer.received_at + QUIET_S):
        await asyncio.sleep(POLL_S)
