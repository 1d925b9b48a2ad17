"""Processes the QUIC flows of an agent and starts their requests."""

import asyncio
import itertools
import logging

from aioquic.h3.connection import ErrorCode
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.events import (
    ConnectionTerminated,
    StopSendingReceived,
    StreamReset,
)

from ryesaddle.daemons.quic.exchange import Exchange
from ryesaddle.daemons.quic.request import decode_request
from ryesaddle.daemons.quic.stream import FlowStream
from ryesaddle.internal.journal.outcome import Outcome
from ryesaddle.internal.wire.message import Answer

log = logging.getLogger(__name__)

CALLER_TIMEOUT_S = 3.0


class FlowManager:
    """Manages the flows of an agent, their timers and the tasks of their requests.

    Parameters
    ----------
    agent : Agent
        Provides the components that requests use.
    endpoint : Endpoint
        Holds the QUIC connections.
    """

    def __init__(self, agent, endpoint):
        self._agent = agent
        self._node = agent.node
        self._endpoint = endpoint
        self._attempt_numbers = itertools.count(1)
        self._timers = {}
        self._exchanges_by_task = {}

    def __len__(self):
        return len(self._endpoint.flows)

    def find(self, info):
        """Return the flow that a packet belongs to, or None."""
        return self._endpoint.find(info.flow_id)

    def receive(self, info, fwd):
        """Process a datagram of a caller, opening a flow if it belongs to none."""
        now = self._now()
        flow = self.find(info)
        if flow is None:
            negotiation = self._endpoint.negotiate_version(info)
            if negotiation is not None:
                answer = Answer(fwd.service, fwd.caller, negotiation)
                self._node.peer.send(fwd.balancer, answer)
                return
            flow = self._endpoint.open(info, fwd.caller, fwd.balancer, now)
            self._node.metrics.count("agent.opened")
        flow.receive(fwd.payload, fwd.caller, fwd.balancer, now)
        self._process_events(flow)

    def transmit(self, flow):
        """Send the pending datagrams of a flow and schedule its timer."""
        now = self._now()
        balancer_address = self._choose_balancer(flow, now)
        for payload, _ in flow.conn.datagrams_to_send(now):
            answer = Answer(self._node.me.service, flow.caller, payload)
            self._node.peer.send(balancer_address, answer)
            self._node.metrics.count("agent.answered")
        self._endpoint.index(flow)
        self._schedule_timer(flow)

    async def run_relayed(self, stream, relayed):
        """Run a request that another agent has relayed until it is finished."""
        exchange = Exchange(
            self._agent, stream, relayed.req, next(self._attempt_numbers), relayed=True
        )
        exchange.receive_body(relayed.body, True)
        task = asyncio.get_running_loop().create_task(exchange.run())
        self._exchanges_by_task[task] = (exchange, None)
        task.add_done_callback(lambda done: self._exchanges_by_task.pop(done, None))
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if not exchange.handle_caller_gone():
                task.cancel()
            raise

    def count_in_progress(self):
        """Count the requests that stopping now would interrupt."""
        return sum(
            self._is_in_progress(*pair) for pair in self._exchanges_by_task.values()
        )

    def close_flows(self):
        """Close all QUIC connections without an error."""
        for flow in self._endpoint.flows:
            flow.conn.close(error_code=ErrorCode.H3_NO_ERROR)
            self.transmit(flow)

    def close(self):
        """Cancel all timers and request tasks."""
        for timer in self._timers.values():
            timer.cancel()
        for task in self._exchanges_by_task:
            task.cancel()

    def _is_in_progress(self, exchange, flow):
        if exchange.outcome is Outcome.PENDING:
            return True
        # The response is complete but not acknowledged. QUIC retransmits it, so a
        # caller that stays silent for this long is considered gone.
        if flow is None or flow.closed:
            return False
        return self._now() - flow.last_received_at < CALLER_TIMEOUT_S

    def _now(self):
        return asyncio.get_running_loop().time()

    def _process_events(self, flow):
        for quic_event in flow.events():
            match quic_event:
                case HeadersReceived():
                    self._on_headers(flow, quic_event)
                case DataReceived():
                    self._receive_body(
                        flow,
                        quic_event.stream_id,
                        quic_event.data,
                        quic_event.stream_ended,
                    )
                case StreamReset() | StopSendingReceived():
                    self._cancel_exchange(flow, quic_event.stream_id)
                case ConnectionTerminated():
                    for stream_id in list(flow.exchanges):
                        self._cancel_exchange(flow, stream_id)
        self.transmit(flow)

    def _on_headers(self, flow, quic_event):
        if quic_event.stream_id in flow.exchanges:  # Trailers.
            self._receive_body(flow, quic_event.stream_id, b"", quic_event.stream_ended)
            return
        limits = self._agent.admission_queue.admission.limits
        req = decode_request(quic_event.headers, limits.request_timeout_s)
        stream = FlowStream(flow, quic_event.stream_id, self.transmit)
        exchange = Exchange(self._agent, stream, req, next(self._attempt_numbers))
        task = asyncio.get_running_loop().create_task(exchange.run())
        flow.exchanges[quic_event.stream_id] = (exchange, task)
        self._exchanges_by_task[task] = (exchange, flow)
        task.add_done_callback(
            lambda done: self._on_exchange_done(flow, quic_event.stream_id, done)
        )
        if quic_event.stream_ended:
            exchange.receive_body(b"", True)

    def _receive_body(self, flow, stream_id, data, end):
        entry = flow.exchanges.get(stream_id)
        if entry is not None:
            entry[0].receive_body(data, end)

    def _on_exchange_done(self, flow, stream_id, task):
        self._exchanges_by_task.pop(task, None)
        flow.exchanges.pop(stream_id, None)
        if not task.cancelled() and task.exception() is not None:
            log.error("exchange-failed", exc_info=task.exception())

    def _cancel_exchange(self, flow, stream_id):
        entry = flow.exchanges.get(stream_id)
        if entry is not None and not entry[0].handle_caller_gone():
            entry[1].cancel()

    def _choose_balancer(self, flow, now):
        if not flow.balancer_may_be_gone(now):
            return flow.balancer
        members = self._node.membership.replica.snapshot.members()
        addresses = [
            m.address
            for m in members
            if not m.service and not m.draining and m.address != flow.balancer
        ]
        return self._node.rng.choice(addresses) if addresses else flow.balancer

    def _schedule_timer(self, flow):
        timer = self._timers.pop(flow, None)
        if timer is not None:
            timer.cancel()
        when = flow.conn.get_timer()
        if when is not None and not flow.closed:
            loop = asyncio.get_running_loop()
            self._timers[flow] = loop.call_at(when, self._on_timer, flow)

    def _on_timer(self, flow):
        self._timers.pop(flow, None)
        flow.conn.handle_timer(self._now())
        self._process_events(flow)
