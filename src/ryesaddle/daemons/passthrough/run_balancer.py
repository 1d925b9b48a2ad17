"""Builds and runs a balancer whose targets terminate the flows."""

import asyncio
import logging
import random
import time

import msgspec

from ryesaddle.daemons.passthrough.admin import Admin
from ryesaddle.daemons.passthrough.agent_monitor import AgentMonitor
from ryesaddle.daemons.passthrough.balancer import PassthroughBalancer
from ryesaddle.daemons.passthrough.entry import EntryReconciler, list_entries
from ryesaddle.daemons.passthrough.entry_cleaner import EntryCleaner
from ryesaddle.daemons.passthrough.evacuation import EvacuationMonitor
from ryesaddle.daemons.passthrough.http import HttpReply, HttpServer
from ryesaddle.daemons.passthrough.peers import STATE_PATH, BalancerEntry, Peers
from ryesaddle.daemons.passthrough.process import (
    BALANCER_KIND,
    STOP_MARGIN_S,
    TARGET_KIND,
    Supervisor,
    bind_tcp,
    bind_udp,
    stop_event,
)
from ryesaddle.daemons.passthrough.route_updater import RouteUpdater
from ryesaddle.daemons.passthrough.sockets import MessageSocket, PacketSocket
from ryesaddle.errors import StoreError
from ryesaddle.internal.log import event, set_up_logging, warn
from ryesaddle.internal.membership.contact import ContactMonitor
from ryesaddle.internal.membership.directory import AgentDirectory, TargetEntry
from ryesaddle.internal.membership.fetch_schedule import FetchResult
from ryesaddle.internal.membership.readiness_gate import ACK_TIMEOUT_S
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.wire.passthrough import ReportRequest

log = logging.getLogger(__name__)

STARTUP_TIMEOUT_S = 0.5  # packets wait; callers retransmit after 0.2 and 0.6 s
STARTUP_POLL_S = 0.005
SEED_DELAY_S = 0.05  # ten times the store's usual response time
REROUTE_DELAY_S = 1.5  # the fabric probes twice a second and tolerates two failures
IDLE_BEFORE_STOP_S = 0.8  # without packets for this long, no caller needs this process
DRAIN_POLL_S = 0.1
# Half of the time within which entries must be written after a store outage.
RELIST_INTERVAL_S = 1.0
RECHECK_INTERVAL_S = 0.25  # while one process after the other comes back
# An agent that joins takes flows after that time though a balancer does not answer.
MAX_CONTACT_GAP_S = ACK_TIMEOUT_S


async def run_balancer(
    settings, bound_socket, packets, api, read_routes, read_evacuations, ready_path
):
    """Run a balancer until it is told to stop.

    Parameters
    ----------
    settings : LiveSettings
        Settings of the process, of the kind `PassthroughBalancerSettings`.
    bound_socket : socket.socket
        UDP socket that is bound to the address for callers' packets.
    packets : PacketProtocol
        Reads and builds packets.
    api : ObjectApi
        The platform's object API.
    read_routes : callable
        Coroutine function that takes a `StoreClient` and returns a `RouteTable`.
    read_evacuations : callable
        Coroutine function that takes a `StoreClient` and returns an
        `EvacuationState`; called only if the setting ``evacuation_ms`` is present.
    ready_path : str
        Path of the platform's readiness probes.
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
    own_entry = BalancerEntry(
        node=settings.node,
        data_centre=settings.data_centre,
        address=settings.peer,
        control=settings.control,
    )
    messages = MessageSocket(bind_udp(settings.peer_listen or settings.peer), metrics)
    callers_socket = PacketSocket(
        lambda data, addr: balancer.on_caller_packet(data, addr)
    )
    evacuations = EvacuationMonitor(messages, directory, placement, store.eras)
    reads_evacuations = settings.evacuation_ms is not None
    bound_ms = min(
        settings.configuration_ms, settings.evacuation_ms or settings.configuration_ms
    )
    route_updater = RouteUpdater(
        settings.node,
        lambda: read_routes(store),
        bound_ms / 1000,
        evacuations,
        (lambda: read_evacuations(store)) if reads_evacuations else None,
    )
    agent_monitor = AgentMonitor(
        own_entry,
        messages,
        directory,
        placement.liveness,
        evacuations,
        route_updater,
        store.eras,
    )
    peers = Peers(
        own_entry,
        incarnation,
        messages,
        route_updater,
        agent_monitor,
        evacuations,
        store.eras,
        settings.configuration_ms / 1000,
    )
    balancer = PassthroughBalancer(
        settings,
        packets,
        placement,
        directory,
        route_updater,
        messages,
        callers_socket,
        metrics,
    )
    reconciler = EntryReconciler(
        store, BALANCER_KIND, settings.node, rng, kept_fields=("settled_era",)
    )
    in_doubt = asyncio.Event()
    contact = ContactMonitor(MAX_CONTACT_GAP_S)

    def doubt_agents(reason, **details):
        """Conclude nothing from the list of agents until it has been read again."""
        if directory.complete:
            event(log, "agents-in-doubt", reason=reason, **details)
            metrics.count(f"balancer.agents_in_doubt.{reason}")
            reconciler.verify()
        directory.complete = False
        peers.forget_digests()
        in_doubt.set()

    def on_contact():
        gap_s = contact.record(loop.time())
        if gap_s is not None:
            doubt_agents("no-contact", gap_s=round(gap_s, 2))

    def on_report_request(request, addr):
        # Agents are asked for reports; a balancer only for its missing entry.
        if request.register:
            event(log, "register-again", balancer=request.node)
            reconciler.verify()

    messages.on(ReportRequest, on_report_request)
    messages.on_contact = on_contact
    directory.on_return = lambda node: doubt_agents("agent-returned", agent=node)
    peers.on_return = lambda node: doubt_agents("balancer-returned", balancer=node)

    def on_new_era(former, era):
        event(log, "store-era", era=era, before=former)
        directory.complete = False
        reconciler.renew()
        in_doubt.set()
        peers.send_gossip()
        agent_monitor.announce_era()

    store.eras.subscribe(on_new_era)

    def status():
        return {
            "node": settings.node,
            "role": "balancer",
            "configuration": route_updater.version,
            "store_read_age_s": round(route_updater.read_age_s(loop.time()), 1),
            "flows": len(placement),
            "agents": len(directory),
            "open_agents": directory.count_open(),
            "failing_agents": directory.count_failing(),
            "balancers": len(peers.live_names()) + 1,
            "evacuated": list(evacuations.state.data_centres)
            if evacuations.state
            else [],
            "store_calls": store.calls,
            "store_era": store.era,
            "complete": directory.complete,
            "leaving": peers.leaving,
        }

    admin = Admin(metrics, status, placement.describe)

    def handle(req):
        if req.path == ready_path:
            return HttpReply(200 if peers.is_ready() else 503)
        if req.path == STATE_PATH:
            return peers.state_reply(req.body)
        return admin.answer(req) or HttpReply(404)

    server = HttpServer(handle)
    tasks = Supervisor()
    await messages.listen()
    for address in {settings.ready, settings.control, settings.metrics}:
        await server.open(bind_tcp(address))
    reconciler.set_desired(own_entry)
    tasks.start(reconciler.run)
    tasks.start(settings.run)
    loading = asyncio.ensure_future(
        _load_initial_state(store, route_updater, agent_monitor, peers)
    )
    tasks.start(_ask_seeds, loading, peers, settings)
    end = loop.time() + STARTUP_TIMEOUT_S
    while loop.time() < end and not (route_updater.routes and len(directory)):
        await asyncio.sleep(STARTUP_POLL_S)
    await callers_socket.open(bound_socket)
    event(
        log,
        "started",
        node=settings.node,
        role="balancer",
        version=route_updater.version,
    )
    tasks.start(route_updater.run)
    tasks.start(peers.run)
    tasks.start(agent_monitor.run)
    tasks.start(balancer.run)
    tasks.start(EntryCleaner(settings.node, store, peers, agent_monitor).run)
    tasks.start(
        _keep_complete,
        store,
        agent_monitor,
        peers,
        directory,
        reconciler,
        loading,
        in_doubt,
    )
    await stop.wait()
    event(log, "stopping", node=settings.node)
    await _drain(balancer, peers, settings.stop_limit_s - STOP_MARGIN_S)
    tasks.close()
    event(log, "stopped", node=settings.node)


async def _load_initial_state(store, route_updater, agent_monitor, peers):
    """Read routes and entries from the store; return whether all reads succeeded."""
    read, *listed = await asyncio.gather(
        route_updater.read(),
        _load_targets(store, agent_monitor),
        _load_balancers(store, peers),
    )
    return read and all(listed)


async def _ask_seeds(loading, peers, settings):
    """Fetch the state from a seed if the store does not answer soon."""
    await asyncio.wait([loading], timeout=SEED_DELAY_S)
    if loading.done() and loading.result():
        return
    for seed in settings.seeds:
        if seed == settings.control:
            continue
        if await peers.fetch_state(seed) is FetchResult.ARRIVED:
            return


async def _keep_complete(
    store, agent_monitor, peers, directory, reconciler, loading, in_doubt
):
    """Complete the directory after the start, and whenever it is in doubt.

    It is in doubt in a new era of the store, and after a cut or a standstill: an agent
    that joined meanwhile may not be known, and this balancer's entry may be missing.

    The entries are listed again if this process has written its own entry: a process
    that was registered after the first list is either in the second one or finds this
    balancer's entry in its own list. The other balancers may know agents that the store
    lacks. In a new era, and if this process cannot tell how old the era is, they are
    listed once the store is settled.
    """
    loop = asyncio.get_running_loop()
    loaded = await loading
    while True:
        in_doubt.clear()
        await reconciler.in_sync.wait()
        settle_delay_s = store.eras.settle_delay_s(loop.time())
        if settle_delay_s:
            await asyncio.sleep(settle_delay_s)
            loaded = False
        while reconciler.written or not loaded:
            loaded = await _load_targets(store, agent_monitor)
            loaded &= await _load_balancers(store, peers)
            if loaded:
                break
            await asyncio.sleep(RELIST_INTERVAL_S)
        if not await peers.merge_agents():
            loaded = False
            await asyncio.sleep(RECHECK_INTERVAL_S)
            continue
        if not in_doubt.is_set():
            directory.complete = True
            event(log, "agents-complete", agents=len(directory), era=store.era)
            if store.era:
                entry = msgspec.structs.replace(peers.entry, settled_era=store.era)
                reconciler.set_desired(entry)
            await in_doubt.wait()
        else:
            await asyncio.sleep(RECHECK_INTERVAL_S)
        loaded = False


async def _load_targets(store, agent_monitor):
    return await _load_entries(
        store, TARGET_KIND, TargetEntry, agent_monitor.add_entries
    )


async def _load_balancers(store, peers):
    def add_entries(entries):
        if any(entry.settled_era == store.era for entry in entries):
            store.eras.mark_settled(store.era)
        peers.add_entries(entries)

    return await _load_entries(store, BALANCER_KIND, BalancerEntry, add_entries)


async def _load_entries(store, kind, struct, add_entries):
    try:
        entries = await list_entries(store, kind, struct)
    except StoreError as exc:
        warn(log, "entries-not-listed", kind=kind, reason=exc)
        return False
    add_entries(entries.values())
    return True


async def _drain(balancer, peers, limit_s):
    """Announce the stop, and forward packets as long as some arrive."""
    loop = asyncio.get_running_loop()
    peers.leaving = True
    peers.send_gossip()
    end = loop.time() + limit_s
    await asyncio.sleep(min(REROUTE_DELAY_S, limit_s))
    while loop.time() < min(end, balancer.last_packet_at + IDLE_BEFORE_STOP_S):
        await asyncio.sleep(DRAIN_POLL_S)
