"""Processor time of each step of forwarding a datagram, and memory per flow."""

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

CALLS_PER_RUN = 20_000
WARM_UP_CALLS = 200
PAYLOAD = b"\x40" + os.urandom(1_199)
FLOW_COUNTS = (12_500, 25_000, 50_000, 100_000, 200_000)


def run_datapath():
    """Return rows of processor time in microseconds for each step of the data path."""
    codec = Codec(b"k" * 32)
    caller, balancer = Address("10.0.0.1", 4_433), Address("127.0.0.1", 9_000)
    forward = Forward(SERVICE, caller, balancer, "agent-1", 1, PAYLOAD)
    encoded_forward = codec.encode(Datagram("balancer-1", 1, forward))
    encoded_answer = codec.encode(
        Datagram("agent-1", 1, Answer(SERVICE, caller, PAYLOAD))
    )
    members = tuple(member(f"agent-{n}") for n in range(7))
    view = ServiceView(SERVICE, 1, members)
    dispatcher = Dispatcher()
    dispatcher.answered(SERVICE, caller, "agent-1", 1, 0.0)
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = receiver.getsockname()
    log = _in_memory_log()
    callers = [Address("10.0.0.2", n) for n in range(CALLS_PER_RUN)]
    operations = {
        "encode a forward": lambda n: codec.encode(Datagram("b", 1, forward)),
        "decode a forward": lambda n: codec.decode(encoded_forward),
        "decode an answer": lambda n: codec.decode(encoded_answer),
        "decide, known flow": lambda n: dispatcher.route(
            SERVICE, caller, has_long_header(PAYLOAD), view, 0.0
        ),
        "decide, new flow (rank 7)": lambda n: dispatcher.route(
            SERVICE, callers[n], True, view, 0.0
        ),
        "log one decision": lambda n: event(
            log, "route", flow=caller, service=SERVICE, target="t", reason="ranked"
        ),
        "send 1,400 bytes": lambda n: sender.sendto(encoded_forward, address),
    }
    rows = [
        {"part": name, "us": _median_us(function)}
        for name, function in operations.items()
    ]
    receiver.close()
    sender.close()
    return rows


def run_flow_memory():
    """Return rows of the memory growth of a balancer by its number of flows."""
    rows = []
    for flow_count in FLOW_COUNTS:
        rss_before = psutil.Process().memory_info().rss
        dispatcher = Dispatcher()
        for number in range(flow_count):
            caller = Address(f"10.{number >> 16}.{number >> 8 & 255}.1", number & 255)
            dispatcher.answered(SERVICE, caller, "agent-1", 1, 0.0)
        growth_bytes = psutil.Process().memory_info().rss - rss_before
        rows.append(
            {
                "flows": flow_count,
                "bytes": growth_bytes,
                "per_flow": growth_bytes // flow_count,
            }
        )
        del dispatcher
    return rows


def _median_us(function):
    for number in range(min(WARM_UP_CALLS, CALLS_PER_RUN)):
        function(number)
    run_us = []
    for _ in range(3):
        started_at = time.process_time()
        for number in range(CALLS_PER_RUN):
            function(number)
        run_us.append((time.process_time() - started_at) / CALLS_PER_RUN * 1e6)
    return round(sorted(run_us)[1], 2)


def _in_memory_log():
    log = logging.Logger("bench")
    handler = logging.StreamHandler(io.StringIO())
    handler.setFormatter(KeyValueFormatter("bench"))
    log.addHandler(handler)
    return log
