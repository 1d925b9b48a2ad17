"""Builds and runs an agent whose target terminates the flows."""

import asyncio
import logging
import random
import time

import msgspec

from ryesaddle.daemons.passthrough.admin import Admin
from ryesaddle.daemons.passthrough.agent import PassthroughAgent
from ryesaddle.daemons.passthrough.entry import (
    EntryReconciler,
    list_entries,
    valid_entries,
)
from ryesaddle.daemons.passthrough.heartbeat_handler import HeartbeatHandler
from ryesaddle.daemons.passthrough.http import (
    HttpError,
    HttpReply,
    HttpServer,
    send_request,
)
from ryesaddle.daemons.passthrough.peers import (
    FETCH_TIMEOUT_S,
    STATE_PATH,
    BalancerEntry,
    SharedState,
    StateRequest,
)
from ryesaddle.daemons.passthrough.process import (
    BALANCER_KIND,
    STOP_MARGIN_S,
    TARGET_KIND,
    Supervisor,
    bind_tcp,
    bind_udp,
    stop_event,
)
from ryesaddle.daemons.passthrough.reporter import Reporter
from ryesaddle.daemons.passthrough.sockets import MessageSocket, PacketSocket
from ryesaddle.daemons.passthrough.target_probe import is_listening
from ryesaddle.errors import StoreError
from ryesaddle.internal.address import Address
from ryesaddle.internal.admission.health import describe_health
from ryesaddle.internal.log import event, set_up_logging, warn
from ryesaddle.internal.membership.contact import ContactMonitor
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.stale_entries import STALE_AFTER_S
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import FlowQueue
from ryesaddle.internal.target.router import AgentRouter
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.target.warm_up import WarmUpBudget
from ryesaddle.internal.wire.passthrough import Candidate

log = logging.getLogger(__name__)

STARTUP_TIMEOUT_S = 0.5  # packets wait; callers retransmit after 0.2 and 0.6 s
SEED_DELAY_S = 0.05  # ten times the store's usual response time
# Half of the time within which entries must be written after a store outage.
RELIST_INTERVAL_S = 1.0
# A quarter of the time after which the entry of a silent process may be deleted.
MAX_CONTACT_GAP_S = STALE_AFTER_S / 4
# A caller repeats a lost packet after 0.2 s. Without packets for longer, no answer is
# on its way, and no request on a flow that has just been accepted.
IDLE_BEFORE_STOP_S = 0.3
DRAIN_POLL_S = 0.05


async def run_agent(
    settings,
    bound_socket,
    packets,
    api,
    handle_target_request,
    ready_path,
    control=None,
):
    """Run the agent beside a target until it is told to stop.

    Parameters
    ----------
    settings : LiveSettings
        Settings of the process, of the kind `PassthroughAgentSettings`.
    bound_socket : socket.socket
        UDP socket that is bound to the address for messages.
    packets : PacketProtocol
        Reads and builds packets.
    api : ObjectApi
        The platform's object API.
    handle_target_request : callable
        Takes the `HeartbeatHandler` and an `HttpRequest` of the target, returns an
        `HttpReply`.
    ready_path : str
        Path of the platform's readiness probes.
    control : socket.socket, optional
        Socket that already listens for the target's heartbeats.
    """
    loop = asyncio.get_running_loop()
    set_up_logging(settings.log_level, settings.node, loop)
    stop = stop_event()
    incarnation = time.time_ns()
    rng = random.Random(incarnation)
    metrics = Metrics()
    store = StoreClient(api, rng, metrics=metrics)
    target_state = TargetState(
        settings.service, settings.heartbeat_ms / 1000, settings.target_address
    )
    target_state.restored_confirmed = False
    flows = TargetFlows(loop.time(), settings.flow_max_s)
    own_candidate = Candidate(settings.node, settings.peer)
    queue = FlowQueue()
    router = AgentRouter(
        own_candidate,
        settings.service,
        target_state,
        flows,
        queue,
        WarmUpBudget(loop.time()),
    )
    router.known_to_balancers = False
    messages = MessageSocket(bound_socket, metrics)
    target_socket = PacketSocket(lambda data, addr: agent.on_target_packet(data, addr))
    reconciler = EntryReconciler(store, TARGET_KIND, settings.node, rng)
    reporter = Reporter(
        settings, incarnation, target_state, router, messages, store.eras
    )
    heartbeat_handler = HeartbeatHandler(
        settings, target_state, flows, reporter, reconciler, metrics
    )
    agent = PassthroughAgent(
        settings,
        packets,
        target_state,
        flows,
        queue,
        router,
        messages,
        reporter,
        target_socket,
        metrics,
    )
    heartbeat_handler.on_target_started = agent.verify_flows
    in_doubt = asyncio.Event()
    contact = ContactMonitor(MAX_CONTACT_GAP_S)

    def on_contact():
        gap_s = contact.record(loop.time())
        if gap_s is not None:
            event(log, "contact-regained", gap_s=round(gap_s, 2))
            reconciler.verify()
            in_doubt.set()

    messages.on_contact = on_contact

    def on_new_era(former, era):
        event(log, "store-era", era=era, before=former)
        reconciler.renew()
        in_doubt.set()

    store.eras.subscribe(on_new_era)

    def status():
        return {
            "node": settings.node,
            "role": "agent",
            "service": settings.service,
            "target": target_state.target,
            "draining": target_state.draining or router.draining,
            "open": router.is_open(loop.time()),
            "flows": len(flows),
            "load": round(router.load(loop.time()), 2),
            "waiting": len(queue),
            "evacuated": router.evacuated,
            "service_s": round(flows.service_s, 4),
            "work_s": round(router.work_s(loop.time()), 4),
            "forecast": round(router.forecast(loop.time()), 2),
            "health": describe_health(flows.outcomes.health.state(loop.time())),
            "store_calls": store.calls,
            "store_era": store.era,
        }

    admin = Admin(metrics, status, lambda caller: flows.describe(caller, loop.time()))

    def handle(req):
        if req.path == ready_path:
            return HttpReply(200)
        return admin.answer(req) or handle_target_request(heartbeat_handler, req)

    server = HttpServer(handle)
    tasks = Supervisor()
    await target_socket.open(bind_udp(settings.outbound))
    addresses = {settings.ready, settings.control, settings.metrics}
    if control is not None:
        await server.open(control)
        addresses.discard(Address(*control.getsockname()))
    for address in addresses:
        await server.open(bind_tcp(address))
    loading = asyncio.ensure_future(_load_balancers(store, reporter))
    tasks.start(_ask_seeds, loading, reporter, settings)
    await asyncio.wait(
        [
            asyncio.ensure_future(
                _restore_target(
                    store, heartbeat_handler, reporter, reconciler, settings, loading
                )
            ),
            asyncio.ensure_future(heartbeat_handler.target_known.wait()),
        ],
        timeout=STARTUP_TIMEOUT_S,
        return_when=asyncio.FIRST_COMPLETED,
    )
    await messages.listen()
    event(log, "started", node=settings.node, role="agent", target=target_state.target)
    tasks.start(settings.run)
    tasks.start(reporter.run)
    tasks.start(heartbeat_handler.run)
    tasks.start(agent.run)
    tasks.start(agent.watch)
    if settings.target_listens:
        tasks.start(agent.watch_target_process)
    tasks.start(reconciler.run)
    tasks.start(_keep_complete, store, reporter, reconciler, loading, in_doubt)
    await stop.wait()
    event(log, "stopping", node=settings.node, flows=len(flows))
    router.draining = True
    reporter.report()
    await _drain(flows, target_state, settings.stop_limit_s - STOP_MARGIN_S)
    tasks.close()
    has_ended = not target_state.target or (
        settings.target_listens and not await is_listening(settings.target_address)
    )
    reporter.report(gone=has_ended)
    event(
        log,
        "stopped",
        node=settings.node,
        cut=flows.in_flight(loop.time()),
    )


async def _load_balancers(store, reporter):
    """Report to the balancers in the store; return whether the store answered."""
    try:
        entries = await list_entries(store, BALANCER_KIND, BalancerEntry)
    except StoreError as exc:
        warn(log, "entries-not-listed", kind=BALANCER_KIND, reason=exc)
        return False
    reporter.add_balancers([entry.address for entry in entries.values()])
    return True


async def _ask_seeds(loading, reporter, settings):
    """Fetch the list of balancers from a seed if the store does not answer soon."""
    await asyncio.wait([loading], timeout=SEED_DELAY_S)
    if loading.done() and loading.result():
        return
    for seed in settings.seeds:
        try:
            reply = await send_request(
                seed,
                "POST",
                STATE_PATH,
                msgspec.json.encode(StateRequest(wants_routes=False)),
                FETCH_TIMEOUT_S,
            )
            state = msgspec.json.decode(reply.body, type=SharedState)
        except (HttpError, msgspec.DecodeError) as exc:
            warn(log, "state-not-fetched", source=seed, reason=exc)
            continue
        balancers = valid_entries(state.balancers, seed)
        reporter.add_balancers([entry.address for entry in balancers])
        return


async def _restore_target(
    store, heartbeat_handler, reporter, reconciler, settings, loading
):
    try:
        stored = await store.get(TARGET_KIND, settings.node, attempts=1)
        reconciler.assume_stored(stored)
        entry = None if stored is None else msgspec.convert(stored.spec, TargetEntry)
    except (StoreError, msgspec.ValidationError) as exc:
        warn(log, "entry-not-read", kind=TARGET_KIND, reason=exc)
        return
    # In a new era of the store the entry may be older than what an earlier run wrote.
    if not store.eras.settle_delay_s(asyncio.get_running_loop().time()):
        heartbeat_handler.record_stored_target(entry.target if entry else "")
    if (
        entry is not None
        and entry.service == settings.service
        and entry.address == settings.peer
    ):
        reporter.mark_registered()
        heartbeat_handler.restore_target(entry.target, entry.draining, "store")
    # The balancers in the store may know of a draining that the entry does not tell.
    await loading
    reporter.mark_entry_read()


async def _keep_complete(store, reporter, reconciler, loading, in_doubt):
    """List the balancers again after this process has written its own entry.

    A balancer that was registered after the first list is either in the second one or
    finds this agent's entry in its own list. In a new era of the store, all processes
    register again. So does an agent that was out of contact, since its entry may have
    been deleted and balancers may have joined.
    """
    loaded = await loading
    while True:
        await reconciler.in_sync.wait()
        while reconciler.written or not loaded:
            loaded = await _load_balancers(store, reporter)
            if loaded:
                break
            await asyncio.sleep(RELIST_INTERVAL_S)
        await in_doubt.wait()
        in_doubt.clear()
        loaded = False


async def _drain(flows, target_state, limit_s):
    """Wait until the target has finished its requests and its answers are sent."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while loop.time() < end and target_state.target:
        if (
            not flows.in_flight(loop.time())
            and flows.idle_time_s(loop.time()) > IDLE_BEFORE_STOP_S
        ):
            return
        await asyncio.sleep(DRAIN_POLL_S)
