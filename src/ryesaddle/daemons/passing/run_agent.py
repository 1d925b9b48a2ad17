"""Composes and runs the agent beside a target that holds its flows."""

import asyncio
import logging
import random
import time

import msgspec

from ryesaddle.daemons.passing.admin import Admin
from ryesaddle.daemons.passing.agent import PassingAgent
from ryesaddle.daemons.passing.entry import EntryKeeper, list_entries
from ryesaddle.daemons.passing.heartbeats import Heartbeats
from ryesaddle.daemons.passing.http import HttpError, HttpReply, HttpServer, call
from ryesaddle.daemons.passing.peers import (
    FETCH_TIMEOUT_S,
    STATE_PATH,
    BalancerEntry,
    SharedState,
)
from ryesaddle.daemons.passing.process import (
    BALANCERS,
    STOP_MARGIN_S,
    TARGETS,
    Supervisor,
    bind_tcp,
    bind_udp,
    stop_event,
)
from ryesaddle.daemons.passing.reporter import Reporter
from ryesaddle.daemons.passing.sockets import MessageSocket, PacketSocket
from ryesaddle.errors import StoreError
from ryesaddle.internal.log import event, set_up_logging, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.store.client import StoreClient
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import FlowQueue
from ryesaddle.internal.target.router import AgentRouter
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.wire.passing import Candidate

log = logging.getLogger(__name__)

LEARN_LIMIT_S = 0.5  # packets wait meanwhile; callers repeat after 0.2 and 0.6 s
HEDGE_S = 0.05  # ten times the store's usual answer time
LIST_AGAIN_S = 1.0  # half of the time for entries to be back after an outage
QUIET_S = 0.15  # no packet for so long: no answer is on its way
POLL_S = 0.05


async def run_agent(settings, early, packets, api, answer_target, ready_path):
    """Run the agent beside a target until it is told to stop.

    Parameters
    ----------
    settings : LiveSettings
        Settings of the process, of the kind `PassingAgentSettings`.
    early : socket.socket
        Bound to the address for messages.
    packets : PacketProtocol
        Reads and builds packets.
    api : ObjectApi
        The platform's object API.
    answer_target : callable
        Takes the `Heartbeats` and a target's `HttpRequest`, returns an `HttpReply`.
    ready_path : str
        Where the platform asks whether this agent is ready.
    """
    loop = asyncio.get_running_loop()
    set_up_logging(settings.log_level, settings.node, loop)
    stop = stop_event()
    incarnation = time.time_ns()
    rng = random.Random(incarnation)
    metrics = Metrics()
    store = StoreClient(api, rng, metrics=metrics)
    belief = TargetState(settings.service, settings.heartbeat_ms / 1000)
    flows = TargetFlows()
    me = Candidate(settings.node, settings.peer)
    queue = FlowQueue()
    holder = AgentRouter(me, settings.service, belief, flows, queue)
    holder.known_to_balancers = False
    messages = MessageSocket(early, metrics)
    target = PacketSocket(lambda data, addr: agent.on_target_packet(data, addr))
    keeper = EntryKeeper(store, TARGETS, settings.node, rng)
    reporter = Reporter(settings, incarnation, belief, holder, messages)
    heartbeats = Heartbeats(settings, belief, flows, reporter, keeper, metrics)
    agent = PassingAgent(
        settings,
        packets,
        belief,
        flows,
        queue,
        holder,
        messages,
        reporter,
        target,
        metrics,
    )
    heartbeats.on_started = agent.verify_flows

    def status():
        return {
            "node": settings.node,
            "role": "agent",
            "service": settings.service,
            "target": belief.target,
            "draining": belief.draining or holder.draining,
            "open": holder.is_open(loop.time()),
            "flows": len(flows),
            "load": round(holder.load(loop.time()), 2),
            "waiting": len(queue),
            "service_s": round(flows.service_s, 4),
            "store_calls": store.calls,
        }

    admin = Admin(metrics, status, lambda caller: flows.describe(caller, loop.time()))

    def handle(req):
        if req.path == ready_path:
            return HttpReply(200)
        return admin.answer(req) or answer_target(heartbeats, req)

    server = HttpServer(handle)
    tasks = Supervisor()
    await target.open(bind_udp(settings.outbound))
    for address in {settings.ready, settings.control, settings.metrics}:
        await server.open(bind_tcp(address))
    learning = asyncio.ensure_future(_learn_balancers(store, reporter))
    tasks.start(_ask_seeds, learning, reporter, settings)
    await asyncio.wait(
        [
            asyncio.ensure_future(
                _restore_target(store, heartbeats, reporter, settings)
            ),
            asyncio.ensure_future(heartbeats.knows_target.wait()),
        ],
        timeout=LEARN_LIMIT_S,
        return_when=asyncio.FIRST_COMPLETED,
    )
    await messages.listen()
    event(log, "started", node=settings.node, role="agent", target=belief.target)
    tasks.start(settings.run)
    tasks.start(reporter.run)
    tasks.start(agent.run)
    tasks.start(agent.watch)
    tasks.start(keeper.run)
    tasks.start(_complete, store, reporter, keeper, learning)
    await stop.wait()
    event(log, "stopping", node=settings.node, flows=len(flows))
    holder.draining = True
    reporter.report()
    await _drain(flows, belief, settings.stop_limit_s - STOP_MARGIN_S)
    tasks.close()
    reporter.report(gone=not belief.target)
    event(
        log,
        "stopped",
        node=settings.node,
        cut=flows.in_flight(loop.time()),
    )


async def _learn_balancers(store, reporter):
    """Find the balancers; return whether the store told them."""
    try:
        entries = await list_entries(store, BALANCERS, BalancerEntry)
    except StoreError as exc:
        warn(log, "entries-not-listed", kind=BALANCERS, reason=exc)
        return False
    reporter.know([entry.address for entry in entries.values()])
    return True


async def _ask_seeds(learning, reporter, settings):
    """Ask balancers for others if the store does not answer soon."""
    await asyncio.wait([learning], timeout=HEDGE_S)
    if learning.done() and learning.result():
        return
    for seed in settings.seeds:
        try:
            reply = await call(seed, "GET", STATE_PATH, timeout_s=FETCH_TIMEOUT_S)
            state = msgspec.json.decode(reply.body, type=SharedState)
        except (HttpError, msgspec.DecodeError) as exc:
            warn(log, "state-not-fetched", source=seed, reason=exc)
            continue
        reporter.know([entry.address for entry in state.balancers])
        return


async def _restore_target(store, heartbeats, reporter, settings):
    try:
        held = await store.get(TARGETS, settings.node, attempts=1)
        if held is None:
            return
        entry = msgspec.convert(held.spec, TargetEntry)
    except (StoreError, msgspec.ValidationError) as exc:
        warn(log, "entry-not-read", kind=TARGETS, reason=exc)
        return
    if entry.service == settings.service and entry.address == settings.peer:
        reporter.registered_before()
        heartbeats.restore(entry.target, entry.draining, "store")


async def _complete(store, reporter, keeper, learning):
    """List once more if the own entry is new: who registers later has seen it."""
    learnt = await learning
    await keeper.settled.wait()
    while keeper.written or not learnt:
        learnt = await _learn_balancers(store, reporter)
        if learnt:
            return
        await asyncio.sleep(LIST_AGAIN_S)


async def _drain(flows, belief, limit_s):
    """Wait for requests at the target and for answers on their way."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while loop.time() < end and belief.target:
        if (
            not flows.in_flight(loop.time())
            and flows.idle_time_s(loop.time()) > QUIET_S
        ):
            return
        await asyncio.sleep(POLL_S)
