"""Memory and time that balancers and agents spend per flow, packet and agent."""

import asyncio
import socket
import time
import tracemalloc

from ryesaddle.daemons.passthrough.sockets import MessageSocket
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import AgentDirectory
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.routing.lookup_batches import LookupBatches
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.routing.search import Searches
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import FlowQueue
from ryesaddle.internal.target.report import TargetReport
from ryesaddle.internal.target.router import AgentRouter
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.wire.passthrough import (
    AgentReport,
    Candidate,
    FlowId,
    FlowLookup,
    FlowLookupResult,
    FlowQuery,
    FlowUnknown,
    ForwardedPacket,
    Gossip,
    LookupItem,
    decode_message,
    encode_message,
)
from ryesaddle.platform.packet import PlatformPackets

SERVICE = "case-desk"
SERVICE_ADDRESS = Address("198.18.0.1", 443)
FLOW_COUNTS = (12_500, 25_000, 50_000, 100_000)
AGENT_FLOW_COUNTS = (2_500, 5_000, 10_000, 20_000)  # an agent remembers no more
AGENT_COUNTS = (32, 64, 128, 256, 512)
CALLS_PER_RUN = 2_000
LOOKUP_FLOWS = 10  # as many packets of 120 bytes share a datagram
LOOKUP_RUNS = 5
OPENING_PACKET = bytes.fromhex(
    "11223344 00000000 00000000 0000 a1b2c3d5 64400007 c6120001 01bb 9c41 08 0000000000"
)


def run_passthrough():
    """Return rows of a measure at several sizes, each with a fitted straight line."""
    rows = []
    for name, sizes, measure in (
        ("balancer memory, bytes by remembered flow", FLOW_COUNTS, _balancer_memory),
        ("agent memory, bytes by flow at its target", AGENT_FLOW_COUNTS, _agent_memory),
        ("directory, bytes by agents", AGENT_COUNTS, _directory_memory),
        ("opening packet at the balancer, us by agents", AGENT_COUNTS, _new_flow_us),
        ("later packet at the balancer, us by agents", AGENT_COUNTS, _known_flow_us),
        ("report at the balancer, us by agents", AGENT_COUNTS, _report_us),
        ("search at the balancer, us by agents", AGENT_COUNTS, _search_us),
        ("lookup of a flow at one agent, us by agents", AGENT_COUNTS, _lookup_us),
    ):
        points = {size: round(measure(size), 2) for size in sizes}
        slope, base = _fit_line(points)
        rows.append({"what": name, "points": points, "slope": slope, "base": base})
    rows.append({"what": "one size", **_fixed_costs()})
    return rows


def _make_report(number, sequence=1):
    return AgentReport(
        node=f"side-bkk-a-{number}",
        incarnation=1_790_976_583_252_000_000,
        service=SERVICE,
        data_centre="bkk-a",
        address=Address(f"10.0.{number // 250}.{number % 250}", 7000),
        open=True,
        load=0.5 + (number % 7) / 10,
        slots=2,
        target=f"i-{number:08x}",
        draining=False,
        sequence=sequence,
    )


def _make_directory(agents):
    directory = AgentDirectory()
    for number in range(agents):
        directory.apply_report(_make_report(number), 0.0)
    return directory


def _make_flow(number):
    caller = Address(f"100.{64 + number // 60_000}.0.7", 1_024 + number % 60_000)
    return Flow(caller, SERVICE_ADDRESS)


def _traced_bytes(build):
    tracemalloc.start()
    structure = build()
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del structure
    return traced_bytes


def _balancer_memory(flows):
    nodes = [m.node for m in _make_directory(8).members()]

    def build():
        placement = Placement("bkk-a", None)
        for number in range(flows):
            placement.record_agent(_make_flow(number), nodes[number % 8])
        return placement

    return _traced_bytes(build)


def _agent_memory(flows):
    def build():
        target_flows = TargetFlows()
        for number in range(flows):
            target_flows.record_adopted(_make_flow(number), 0.0)
        return target_flows

    return _traced_bytes(build)


def _directory_memory(agents):
    return _traced_bytes(lambda: _make_directory(agents))


def _time_us(function):
    best_s = float("inf")
    for run in range(3):
        started_at = time.perf_counter()
        for number in range(run * CALLS_PER_RUN, (run + 1) * CALLS_PER_RUN):
            function(number)
        best_s = min(best_s, time.perf_counter() - started_at)
    return best_s / CALLS_PER_RUN * 1e6


def _new_flow_us(agents):
    directory = _make_directory(agents)
    placement = Placement("bkk-a", directory)

    def route(number):
        flow = _make_flow(number)
        decision = placement.choose_agent(SERVICE, flow, 0, 0.0)
        placement.record_agent(flow, decision.member.node)

    return _time_us(route)


def _known_flow_us(agents):
    directory, packets = _make_directory(agents), PlatformPackets()
    placement = Placement("bkk-a", directory)
    placement.record_agent(packets.read_caller(OPENING_PACKET).flow, "side-bkk-a-1")

    def forward(number):
        packet = packets.read_caller(OPENING_PACKET)
        member = placement.find(packet.flow)
        encode_message(ForwardedPacket(SERVICE, member.address, OPENING_PACKET))

    return _time_us(forward)


def _report_us(agents):
    directory = _make_directory(agents)

    def receive_report(number):
        report = _make_report(number % agents, 2 + number)
        report = decode_message(encode_message(report))
        directory.apply_report(report, 0.0)

    return _time_us(receive_report)


def _search_us(agents):
    placement, searches = Placement("bkk-a", _make_directory(agents)), Searches()

    def search(number):
        packet = Packet(_make_flow(number))
        searches.add(packet, OPENING_PACKET, 0.0)
        members = placement.rank_for_search((SERVICE,), packet.flow, 0.0)
        searches.next_step(packet.flow, members, True, 0.0)

    return _time_us(search)


def _lookup_us(agents):
    """Return the time of one flow in one answered lookup, among ``agents`` agents."""
    directory = _make_directory(agents)
    placement = Placement("bkk-a", directory)
    members, nodes = directory.members(), [m.node for m in directory.members()]
    flows = [_make_flow(number) for number in range(LOOKUP_FLOWS)]
    items = tuple(LookupItem(*flow, OPENING_PACKET) for flow in flows)
    answer = tuple(FlowId(*flow) for flow in flows)

    def look_up():
        batches, searches = LookupBatches(), Searches()
        for flow, item in zip(flows, items, strict=True):
            searches.add(Packet(flow), OPENING_PACKET, 0.0)
            searches[flow].first_round_over = True
            searches.next_step(flow, members, True, 0.0)
            for node in nodes:
                batches.add(node, item)
        for node, batch in batches.pop_all():
            encode_message(FlowLookup(SERVICE_ADDRESS, batch))
            result = decode_message(encode_message(FlowLookupResult(node, (), answer)))
            placement.liveness.heard(node)
            for found in result.absent:
                searches.record_refusal(Flow(found.caller, found.front), node)

    times = []
    for _ in range(LOOKUP_RUNS):
        started_at = time.perf_counter()
        look_up()
        times.append(time.perf_counter() - started_at)
    return min(times) / (agents * LOOKUP_FLOWS) * 1e6


def _datagram_us():
    """Return the time to send a datagram from an event loop and receive its answer."""
    return asyncio.run(_exchange_datagrams())


async def _exchange_datagrams():
    balancer, agent = _message_socket(), _message_socket()
    answered, count = asyncio.Event(), 0
    question = FlowQuery(SERVICE, balancer[1], SERVICE_ADDRESS, SERVICE_ADDRESS)
    answer = FlowUnknown("side-1", SERVICE_ADDRESS, SERVICE_ADDRESS, True)

    def on_answer(msg, addr):
        nonlocal count
        count += 1
        if count < CALLS_PER_RUN:
            balancer[0].send(agent[1], question)
        else:
            answered.set()

    agent[0].on(FlowQuery, lambda msg, addr: agent[0].send(balancer[1], answer))
    balancer[0].on(FlowUnknown, on_answer)
    for messages, _ in (balancer, agent):
        await messages.listen()
    started_at = time.process_time()
    balancer[0].send(agent[1], question)
    async with asyncio.timeout(30.0):
        await answered.wait()
    # This process has done the work of both sides.
    elapsed_s = (time.process_time() - started_at) / 2
    for messages, _ in (balancer, agent):
        messages.close()
    return elapsed_s / CALLS_PER_RUN * 1e6


def _message_socket():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return MessageSocket(sock, Metrics()), Address(*sock.getsockname())


def _fixed_costs():
    target_state, flows = TargetState(SERVICE, 0.77), TargetFlows()
    target_state.apply_heartbeat(TargetReport("i-1", SERVICE, 1, slots=2), 0.0)
    own_candidate = Candidate("side-1", SERVICE_ADDRESS)
    agent_router = AgentRouter(own_candidate, SERVICE, target_state, flows, FlowQueue())
    packets = PlatformPackets()
    forwarded = ForwardedPacket(SERVICE, SERVICE_ADDRESS, OPENING_PACKET)
    envelope = encode_message(forwarded)
    packet = packets.read_caller(OPENING_PACKET)
    gossip = Gossip(
        node="edge-bkk-a-1",
        data_centre="bkk-a",
        incarnation=1_790_976_583_252_000_000,
        address=SERVICE_ADDRESS,
        control=SERVICE_ADDRESS,
        version=12,
        read_age_ms=800,
        agents_digest=2**63,
        live_agent_count=54,
    )
    return {
        "datagram of a lookup, us": round(_datagram_us(), 2),
        "report, bytes": len(encode_message(_make_report(1))),
        "gossip, bytes": len(encode_message(gossip)),
        "envelope of a packet, bytes": len(encode_message(forwarded))
        - len(OPENING_PACKET),
        "read a caller's packet, us": round(
            _time_us(lambda n: packets.read_caller(OPENING_PACKET)), 2
        ),
        "decide at the agent, us": round(
            _time_us(
                lambda n: agent_router.decide(forwarded, Packet(packet.flow), 0.0)
            ),
            2,
        ),
        "decode an envelope, us": round(
            _time_us(lambda n: decode_message(envelope)), 2
        ),
    }


def _fit_line(points):
    xs, ys = list(points), list(points.values())
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sum_of_squares = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum_of_squares
    return round(slope, 4), round(mean_y - slope * mean_x, 2)
