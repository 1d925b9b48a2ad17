"""What the processes that pass packets cost, by flow, packet, agent and balancer."""

import time
import tracemalloc

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import AgentDirectory
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.routing.search import Searches
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import FlowQueue
from ryesaddle.internal.target.report import TargetReport
from ryesaddle.internal.target.router import AgentRouter
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.wire.passing import (
    AgentReport,
    Candidate,
    ForwardedPacket,
    Gossip,
    decode_message,
    encode_message,
)
from ryesaddle.platform.packet import PlatformPackets

SERVICE = "case-desk"
FRONT = Address("198.18.0.1", 443)
FLOWS = (12_500, 25_000, 50_000, 100_000)
AGENTS = (32, 64, 128, 256, 512)
ROUNDS = 2_000
OPENING = bytes.fromhex(
    "11223344 00000000 00000000 0000 a1b2c3d5 64400007 c6120001 01bb 9c41 08 0000000000"
)


def run_passing():
    """Return rows of a figure by a size, each with a straight line fitted."""
    rows = []
    for name, sizes, measure in (
        ("balancer memory, bytes by remembered flow", FLOWS, _balancer_memory),
        ("agent memory, bytes by flow at its target", FLOWS, _agent_memory),
        ("directory, bytes by agents", AGENTS, _directory_memory),
        ("opening packet at the balancer, us by agents", AGENTS, _route_us),
        ("later packet at the balancer, us by agents", AGENTS, _forward_us),
        ("report at the balancer, us by agents", AGENTS, _report_us),
        ("search at the balancer, us by agents", AGENTS, _search_us),
    ):
        points = {size: round(measure(size), 2) for size in sizes}
        slope, base = _fit(points)
        rows.append({"what": name, "points": points, "slope": slope, "base": base})
    rows.append({"what": "one size", **_fixed()})
    return rows


def _report(number, sequence=1):
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


def _directory(agents):
    directory = AgentDirectory()
    for number in range(agents):
        directory.apply_report(_report(number), 0.0)
    return directory


def _flow(number):
    caller = Address(f"100.{64 + number // 60_000}.0.7", 1_024 + number % 60_000)
    return Flow(caller, FRONT)


def _memory(fill):
    tracemalloc.start()
    kept = fill()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used


def _balancer_memory(flows):
    nodes = [m.node for m in _directory(8).members()]

    def fill():
        placement = Placement("bkk-a", None)
        for number in range(flows):
            placement.record_agent(_flow(number), nodes[number % 8])
        return placement

    return _memory(fill)


def _agent_memory(flows):
    def fill():
        held = TargetFlows()
        for number in range(flows):
            held.record_adopted(_flow(number), 0.0)
        return held

    return _memory(fill)


def _directory_memory(agents):
    return _memory(lambda: _directory(agents))


def _time_us(function, rounds=ROUNDS):
    best = float("inf")
    for turn in range(3):
        started = time.perf_counter()
        for number in range(turn * rounds, (turn + 1) * rounds):
            function(number)
        best = min(best, time.perf_counter() - started)
    return best / rounds * 1e6


def _route_us(agents):
    directory = _directory(agents)
    placement = Placement("bkk-a", directory)

    def route(number):
        flow = _flow(number)
        found = placement.choose_agent(SERVICE, flow, 0, 0.0)
        placement.record_agent(flow, found.member.node)

    return _time_us(route)


def _forward_us(agents):
    directory, packets = _directory(agents), PlatformPackets()
    placement = Placement("bkk-a", directory)
    placement.record_agent(packets.read_caller(OPENING).flow, "side-bkk-a-1")

    def forward(number):
        packet = packets.read_caller(OPENING)
        member = placement.find(SERVICE, packet.flow)
        encode_message(ForwardedPacket(SERVICE, member.address, OPENING))

    return _time_us(forward)


def _report_us(agents):
    directory = _directory(agents)

    def hear(number):
        report = _report(number % agents, 2 + number)
        report = decode_message(encode_message(report))
        directory.apply_report(report, 0.0)

    return _time_us(hear)


def _search_us(agents):
    placement, searches = Placement("bkk-a", _directory(agents)), Searches()

    def search(number):
        packet = Packet(_flow(number))
        searches.add(packet, OPENING, SERVICE, 0.0)
        members = placement.rank_agents(SERVICE, packet.flow, False, 0.0)
        searches.next_step(packet.flow, members, True, 0.0)

    return _time_us(search)


def _fixed():
    belief, flows = TargetState(SERVICE, 0.77), TargetFlows()
    belief.apply_heartbeat(TargetReport("i-1", SERVICE, 1, slots=2), 0.0)
    me = Candidate("side-1", FRONT)
    holder = AgentRouter(me, SERVICE, belief, flows, FlowQueue())
    packets = PlatformPackets()
    forwarded = ForwardedPacket(SERVICE, FRONT, OPENING)
    envelope = encode_message(forwarded)
    packet = packets.read_caller(OPENING)
    gossip = Gossip(
        node="edge-bkk-a-1",
        data_centre="bkk-a",
        incarnation=1_790_976_583_252_000_000,
        address=FRONT,
        control=FRONT,
        version=12,
        read_age_ms=800,
        agents_digest=2**63,
        live_agent_count=54,
    )
    return {
        "report, bytes": len(encode_message(_report(1))),
        "gossip, bytes": len(encode_message(gossip)),
        "envelope of a packet, bytes": len(encode_message(forwarded)) - len(OPENING),
        "read a caller's packet, us": round(
            _time_us(lambda n: packets.read_caller(OPENING)), 2
        ),
        "decide at the agent, us": round(
            _time_us(lambda n: holder.decide(forwarded, Packet(packet.flow), 0.0)), 2
        ),
        "decode an envelope, us": round(
            _time_us(lambda n: decode_message(envelope)), 2
        ),
    }


def _fit(points):
    xs, ys = list(points), list(points.values())
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    return round(slope, 4), round(mean_y - slope * mean_x, 2)
