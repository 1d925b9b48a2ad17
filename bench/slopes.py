"""Memory, message sizes and processor time of control state, by its size."""

import random
import time
import tracemalloc

import msgspec

from ryesaddle.internal.address import Address
from ryesaddle.internal.claims.acceptor import Acceptor
from ryesaddle.internal.claims.handover import Handover
from ryesaddle.internal.claims.identity import Ballot, ClaimId, ClaimMember, Slot
from ryesaddle.internal.claims.message import Accept, Prepare
from ryesaddle.internal.claims.view import ClaimView
from ryesaddle.internal.journal.entry import JournalEntry
from ryesaddle.internal.journal.journal import Journal
from ryesaddle.internal.membership.cell import HEARTBEAT_INTERVAL_S, CellMember
from ryesaddle.internal.membership.snapshot import CellRecord, Replica, Snapshot
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.wire.codec import Codec
from ryesaddle.internal.wire.control import (
    HeartbeatAck,
    ShortHeartbeat,
    decode_control,
    encode_control,
)
from ryesaddle.internal.wire.message import Control, Datagram

# Numbers of members or services, and of keys or requests.
SMALL_SIZES = (32, 64, 128, 256, 512)
CELL_SIZE = 16
LARGE_SIZES = (1_000, 2_000, 4_000, 8_000, 16_000)


def run_slopes():
    """Return the measured rows and fitted lines of each topic."""
    topics = {
        "cell leader, members": (_measure_cell_leader, SMALL_SIZES),
        "replica, members announced": (_measure_replica, SMALL_SIZES),
        "claims, keys": (_measure_claims, LARGE_SIZES),
        "journal, requests": (_measure_journal, LARGE_SIZES),
        "configuration, services": (_measure_configuration, SMALL_SIZES),
    }
    results = {}
    for topic, (measure, sizes) in topics.items():
        rows = [{"size": size, **measure(size)} for size in sizes]
        fits = {name: fit_line(rows, name) for name in rows[0] if name != "size"}
        results[topic] = {"rows": rows, "fits": fits}
    return results


def fit_line(rows, name):
    """Return the intercept and slope of a least-squares line of a measure over size."""
    count = len(rows)
    xs, ys = [row["size"] for row in rows], [row[name] for row in rows]
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum_of_squares
    return {"at_zero": mean_y - slope * mean_x, "slope": slope}


def make_announcement(number, service="case-desk"):
    """Return the announcement of an agent whose names have a typical length."""
    address = Address("10.20.30.40", 10_000 + number % 50_000)
    return Member(
        node=f"agent-{service}-bkk-a-{number:06}",
        incarnation=1_796_330_235_338_000_000 + number,
        address=address,
        control=address,
        data_centre="bkk-a",
        service=service,
        target=f"{service}-bkk-a-{number:06}",
    )


def _measure_cell_leader(size):
    """Measure the processor time and traffic of a cell leader per second."""
    codec = Codec(b"k" * 32)
    members = [make_announcement(number) for number in range(size)]
    leader = CellMember("cell", members[0], random.Random(1))
    leader.tick(0.0)
    leader.lease_read(None, "", 0.0)
    leader.lease_written("1", 0.0)
    leader.record_absent()
    for m in members:
        leader.heartbeat(m, 0.0)
    encoded_heartbeats = [
        codec.encode(
            Datagram(
                m.node,
                m.incarnation,
                Control(encode_control(ShortHeartbeat(m.digest()))),
            )
        )
        for m in members
    ]
    ack = Control(encode_control(HeartbeatAck(1, 2**63, 2**63)))
    received_bytes = sent_bytes = 0
    now, rounds = 1.0, 8
    started_at = time.process_time()
    for _ in range(rounds):
        for encoded in encoded_heartbeats:
            datagram = codec.decode(encoded)
            msg = decode_control(datagram.body.body)
            for action in leader.beat(
                datagram.sender,
                datagram.incarnation,
                members[0].address,
                msg.announcement,
                now,
            ):
                assert action.announcement
                sent_bytes += len(codec.encode(Datagram("leader", 1, ack)))
            received_bytes += len(encoded)
        for _ in range(5):
            now += HEARTBEAT_INTERVAL_S / 5
            leader.tick(now)
    seconds = rounds * HEARTBEAT_INTERVAL_S
    return {
        "cpu_ms_per_s": (time.process_time() - started_at) / seconds * 1e3,
        "bytes_in_per_s": received_bytes / seconds,
        "bytes_out_per_s": sent_bytes / seconds,
        "record_bytes": len(msgspec.json.encode(CellRecord("c", 1, 1, tuple(members)))),
    }


def _measure_replica(size):
    """Measure the memory of a replica, and what it costs to apply one change."""
    members = [make_announcement(n, f"service-{n % 64:03}") for n in range(size)]
    cells = {}
    for first_index in range(0, size, CELL_SIZE):
        name = f"cell-{first_index // CELL_SIZE}"
        cell_members = tuple(members[first_index : first_index + CELL_SIZE])
        cells[name] = CellRecord(name, 1, 1, cell_members)
    encoded = msgspec.json.encode(Snapshot(0, {}, cells))
    tracemalloc.start()
    replica = Replica()
    replica.absorb(msgspec.json.decode(encoded, type=Snapshot))
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rounds = 20
    started_at = time.process_time()
    for generation in range(2, rounds + 2):
        record = msgspec.structs.replace(cells["cell-0"], generation=generation)
        replica.absorb(Snapshot(cells={"cell-0": record}))
    cpu_s = (time.process_time() - started_at) / rounds
    return {
        "held_bytes": held_bytes,
        "fetch_bytes": len(encoded),
        "delta_bytes": len(msgspec.json.encode(replica.since(replica.version - 1))),
        "cpu_ms_per_change": cpu_s * 1e3,
    }


def _measure_claims(size):
    """Measure an acceptor's memory and processor time for a number of keys."""
    own_member = ClaimMember("agent-case-desk-bkk-a-000001", 1_796_330_235_338_000_000)
    tracemalloc.start()
    acceptor = Acceptor(own_member, 3_600.0)
    acceptor.install(ClaimView(1, (own_member,)), Handover(), 0.0)
    started_at = time.process_time()
    for number in range(size):
        claim = ClaimId(own_member.node, own_member.incarnation, number)
        slot, ballot = Slot(f"reply-{number:032}", 0), Ballot(1, claim)
        acceptor.handle(Prepare(1, slot, ballot), 0.0)
        acceptor.handle(Accept(1, slot, ballot, claim), 0.0)
    cpu_s = time.process_time() - started_at
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    handover = acceptor.seal(1, 0.0)
    return {
        "held_bytes": held_bytes,
        "handover_bytes": len(msgspec.json.encode(handover)),
        "traced_cpu_ms": cpu_s * 1e3,
    }


def _measure_configuration(size):
    """Measure the size of a configuration, and what it costs to apply one change."""
    files = {}
    for number in range(size):
        name = f"service-{number:05}"
        service = {"kind": "service", "name": name, "port": 1_024 + number}
        rule = {"kind": "rule", "service": name, "targets": f"{name}-*"}
        files[f"10-{name}.json"] = msgspec.json.encode(service).decode()
        files[f"20-{name}.json"] = msgspec.json.encode(rule).decode()
    replica = Replica()
    replica.absorb(Snapshot(1, files))
    rounds = 10
    started_at = time.process_time()
    for generation in range(2, rounds + 2):
        drain = {"kind": "drain", "target": f"target-{generation}"}
        files = {**files, "90.json": msgspec.json.encode(drain).decode()}
        replica.absorb(Snapshot(generation, files))
    cpu_s = (time.process_time() - started_at) / rounds
    delta = replica.since(replica.version - 1)
    return {
        "fetch_bytes": len(msgspec.json.encode(Snapshot(1, files))),
        "delta_bytes": len(msgspec.json.encode(delta)),
        "cpu_ms_per_change": cpu_s * 1e3,
    }


def _measure_journal(size):
    """Measure the memory of a journal."""
    tracemalloc.start()
    journal = Journal(size)
    for number in range(size):
        entry = JournalEntry(
            request_id=f"{number:032x}",
            caller="10.20.30.40:50000",
            flow=f"{number:016x}",
            service="case-desk",
            target="case-desk-bkk-a-000001",
            agent="agent-case-desk-bkk-a-000001",
            method="GET",
            path=f"/status/{number}",
        )
        journal.put(number, entry)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"held_bytes": held_bytes}
