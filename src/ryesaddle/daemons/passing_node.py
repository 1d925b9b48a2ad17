"""Composes and runs the processes that pass packets through to targets."""

import asyncio
import logging
import random
import signal
import socket
import time

import msgspec

from ryesaddle.daemons.entry import EntryKeeper
from ryesaddle.daemons.http import HttpReply, HttpServer
from ryesaddle.daemons.passing import MessageSocket, PacketSocket
from ryesaddle.daemons.passing_agent import PassingAgent
from ryesaddle.daemons.passing_balancer import (
    STATE_PATH,
    BalancerEntry,
    PassingBalancer,
)
from ryesaddle.errors import StoreError
from ryesaddle.internal.log import event, set_up_logging, warn
from ryesaddle.internal.membership.directory import Directory, TargetEntry
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.routing.dispatcher import Dispatcher
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.target.belief import TargetBelief
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.holder import Holder
from ryesaddle.internal.wire.passing import Candidate

log = logging.getLogger(__name__)

BALANCERS = "ryesaddle-balancers"
TARGETS = "ryesaddle-targets"
BACKLOG = 128
STOP_MARGIN_S = 0.5  # kept free of the time before SIGKILL
READY_PATH = "/ryesaddle/readyz"


def bind_udp(address):
    """Return a UDP socket bound to an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def bind_tcp(address):
    """Return a listening TCP socket bound to an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


async def run_passing_balancer(settings, early, packets, api, read_routes):
    """Run a balancer until it is told to stop.

    Parameters
    ----------
    settings : PassingBalancerSettings
        Settings of the process.
    early : socket.socket
        Bound to the address for the packets of callers.
    packets : PacketProtocol
        Reads and builds packets.
    api : ObjectApi
        The platform's object API.
    read_routes : callable
        Coroutine function that takes a `StoreClient` and returns a `RouteTable`.
    """
    set_up_logging(settings.log_level, settings.node)
    stop = _stop_event()
    rng = random.Random(time.time_ns())
    metrics = Metrics()
    store = StoreClient(api, rng)
    messages = MessageSocket(metrics)
    callers = PacketSocket(lambda data, addr: balancer.on_caller_packet(data, addr))
    balancer = PassingBalancer(
        settings,
        time.time_ns(),
        packets,
        Dispatcher(),
        Directory(),
        messages,
        callers,
        lambda: read_routes(store),
        metrics,
    )
    entry = EntryKeeper(store, BALANCERS, settings.node, rng)

    def handle(req):
        if req.path == READY_PATH:
            return HttpReply(200 if balancer.is_ready() else 503)
        if req.path == STATE_PATH:
            return balancer.state()
        return HttpReply(404)

    servers = [HttpServer(handle), HttpServer(handle)]
    await messages.open(bind_udp(settings.peer))
    await callers.open(early)
    await servers[0].open(bind_tcp(settings.ready))
    await servers[1].open(bind_tcp(settings.control))
    entry.want(balancer.entry)
    event(log, "started", node=settings.node, role="balancer", cpu=time.process_time())
    tasks = [
        _start(task)
        for task in (
            balancer.follow_configuration(),
            balancer.gossip(),
            balancer.probe(),
            entry.run(),
            _learn(store, balancer, entry, settings),
        )
    ]
    await stop.wait()
    event(log, "stopping", node=settings.node)
    await balancer.drain(settings.stop_limit_s - STOP_MARGIN_S)
    for task in tasks:
        task.cancel()
    event(log, "stopped", node=settings.node)


async def _learn(store, balancer, entry, settings):
    await _learn_entries(store, balancer, settings)
    # Whoever registers after this list was read sees the entry of this balancer.
    await entry.settled.wait()
    if entry.written:
        await _learn_entries(store, balancer, settings)


async def _learn_entries(store, balancer, settings):
    for kind, struct, know in (
        (TARGETS, TargetEntry, balancer.know_targets),
        (BALANCERS, BalancerEntry, balancer.know_balancers),
    ):
        try:
            know(await _list_entries(store, kind, struct))
        except StoreError as exc:
            warn(log, "entries-not-listed", kind=kind, reason=exc)
            for seed in settings.seeds:
                if seed != settings.control and await balancer.fetch_state(seed):
                    break


async def _list_entries(store, kind, struct):
    objects, _ = await store.list(kind)
    entries = []
    for obj in objects:
        try:
            entries.append(msgspec.convert(obj.spec, struct))
        except msgspec.ValidationError as exc:
            warn(log, "entry-skipped", kind=kind, name=obj.metadata.name, reason=exc)
    return entries


async def run_passing_agent(settings, early, packets, api, calls):
    """Run the agent beside a target until it is told to stop.

    Parameters
    ----------
    settings : PassingAgentSettings
        Settings of the process.
    early : socket.socket
        Bound to the address for messages.
    packets : PacketProtocol
        Reads and builds packets.
    api : ObjectApi
        The platform's object API.
    calls : callable
        Takes the agent and an `HttpRequest` of the target, returns an `HttpReply`.
    """
    set_up_logging(settings.log_level, settings.node)
    stop = _stop_event()
    rng = random.Random(time.time_ns())
    metrics = Metrics()
    store = StoreClient(api, rng)
    messages = MessageSocket(metrics)
    belief = TargetBelief(settings.service, settings.heartbeat_ms / 1000)
    flows = TargetFlows()
    me = Candidate(settings.node, settings.peer)
    holder = Holder(me, settings.service, belief, flows)
    target = PacketSocket(lambda data, addr: agent.on_target_packet(data, addr))
    entry = EntryKeeper(store, TARGETS, settings.node, rng)
    agent = PassingAgent(
        settings,
        time.time_ns(),
        packets,
        belief,
        flows,
        holder,
        messages,
        target,
        entry,
        metrics,
    )

    def handle(req):
        if req.path == READY_PATH:
            return HttpReply(200)
        return calls(agent, req)

    servers = [HttpServer(handle), HttpServer(handle)]
    await messages.open(early)
    await target.open(bind_udp(settings.outbound))
    await servers[0].open(bind_tcp(settings.control))
    await servers[1].open(bind_tcp(settings.ready))
    event(log, "started", node=settings.node, role="agent", cpu=time.process_time())
    tasks = [
        _start(task)
        for task in (
            agent.run(),
            entry.run(),
            _learn_balancers(store, agent, belief, entry, settings),
        )
    ]
    await stop.wait()
    event(log, "stopping", node=settings.node)
    holder.draining = True
    agent.report()
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    event(log, "stopped", node=settings.node)


async def _learn_balancers(store, agent, belief, entry, settings):
    await _list_balancers(store, agent)
    await _restore_belief(store, belief, settings)
    # Whoever registers after this list was read sees the entry of this agent.
    await entry.settled.wait()
    if entry.written:
        await _list_balancers(store, agent)


async def _list_balancers(store, agent):
    try:
        entries = await _list_entries(store, BALANCERS, BalancerEntry)
    except StoreError as exc:
        warn(log, "entries-not-listed", kind=BALANCERS, reason=exc)
        return
    agent.know_balancers([found.address for found in entries])
    agent.report()


async def _restore_belief(store, belief, settings):
    try:
        held = await store.get(TARGETS, settings.node)
        if held is not None:
            known = msgspec.convert(held.spec, TargetEntry)
            if known.service == settings.service:
                belief.restore(known.target, known.draining)
    except (StoreError, msgspec.ValidationError) as exc:
        warn(log, "entry-not-read", kind=TARGETS, name=settings.node, reason=exc)


def _start(coro):
    task = asyncio.ensure_future(coro)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task):
    if not task.cancelled() and task.exception() is not None:
        log.error("task-failed", exc_info=task.exception())


def _stop_event():
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: event(log, "hup"))
    return stop
