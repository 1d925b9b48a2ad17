"""Processor time per forwarded datagram, split into its parts."""

import io
import logging
import os
import socket
import time

import psutil

from ryesaddle.internal.address import Address
from ryesaddle.internal.log import KeyValueFormatter, event
from ryesaddle.internal.quic.packet import has_long_header
from ryesaddle.internal.routing.dispatcher import Dispatcher
from ryesaddle.internal.routing.view import ServiceView
from ryesaddle.internal.wire.codec import Codec
from ryesaddle.internal.wire.message import Answer, Datagram, Forward
from tests.support.flows import SERVICE, member

ROUNDS = 20_000
PAYLOAD = b"\x40" + os.urandom(1_199)
FLOW_SIZES = (12_500, 25_000, 50_000, 100_000, 200_000)


def run_datapath():
    """Return rows of microseconds for each part of the data path."""
    codec = Codec(b"k" * 32)
    caller, balancer = Address("10.0.0.1", 4_433), Address("127.0.0.1", 9_000)
    forward = Forward(SERVICE, caller, balancer, "agent-1", 1, PAYLOAD)
    sealed = codec.encode(Datagram("balancer-1", 1, forward))
    answer = codec.encode(Datagram("agent-1", 1, Answer(SERVICE, caller, PAYLOAD)))
    members = tuple(member(f"agent-{n}") for n in range(7))
    view = ServiceView(SERVICE, 1, members)
    dispatcher = Dispatcher()
    dispatcher.answered(SERVICE, caller, "agent-1", 1, 0.0)
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = receiver.getsockname()
    log = _memory_log()
    callers = [Address("10.0.0.2", n) for n in range(ROUNDS)]
    parts = {
        "encode a forward": lambda n: codec.encode(Datagram("b", 1, forward)),
        "decode a forward": lambda n: codec.decode(sealed),
        "decode an answer": lambda n: codec.decode(answer),
        "decide, known flow": lambda n: dispatcher.route(
            SERVICE, caller, has_long_header(PAYLOAD), view, 0.0
        ),
        "decide, new flow (rank 7)": lambda n: dispatcher.route(
            SERVICE, callers[n], True, view, 0.0
        ),
        "log one decision": lambda n: event(
            log, "route", flow=caller, service=SERVICE, target="t", reason="ranked"
        ),
        "send 1,400 bytes": lambda n: sender.sendto(sealed, address),
    }
    rows = [{"part": name, "us": _microseconds(part)} for name, part in parts.items()]
    receiver.close()
    sender.close()
    return rows


def run_flow_memory():
    """Return rows of bytes held by a balancer for numbers of flows."""
    rows = []
    for size in FLOW_SIZES:
        before = psutil.Process().memory_info().rss
        dispatcher = Dispatcher()
        for number in range(size):
            caller = Address(f"10.{number >> 16}.{number >> 8 & 255}.1", number & 255)
            dispatcher.answered(SERVICE, caller, "agent-1", 1, 0.0)
        grown = psutil.Process().memory_info().rss - before
        rows.append({"flows": size, "bytes": grown, "per_flow": grown // size})
        del dispatcher
    return rows


def _microseconds(part):
    for number in range(200):
        part(number)
    best = []
    for _ in range(3):
        began = time.process_time()
        for number in range(ROUNDS):
            part(number)
        best.append((time.process_time() - began) / ROUNDS * 1e6)
    return round(sorted(best)[1], 2)


def _memory_log():
    log = logging.Logger("bench")
    handler = logging.StreamHandler(io.StringIO())
    handler.setFormatter(KeyValueFormatter())
    log.addHandler(handler)
    return log
