"""Drives the QUIC flows of an agent and the requests on them."""

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

CALLER_SILENCE_S = 3.0


class FlowManager:
    """Owns the flows, their timers and the tasks of their requests.

    Parameters
    ----------
    agent : Agent
        Parts of the agent that requests need.
    endpoint : Endpoint
        QUIC connections.
    """

    def __init__(self, agent, endpoint):
        self._agent = agent
        self._node = agent.node
        self._endpoint = endpoint
        self._attempts = itertools.count(1)
        self._timers = {}
        self._running = {}

    def __len__(self):
        return len(self._endpoint.flows)

    def find(self, info):
        """Return the flow that a packet belongs to, or None."""
        return self._endpoint.find(info.flow_id)

    def receive(self, info, fwd):
        """Take a caller's datagram; it opens a flow if it belongs to none."""
        now = self._now()
        flow = self.find(info)
        if flow is None:
            version_answer = self._endpoint.negotiate_version(info)
            if version_answer is not None:
                answer = Answer(fwd.service, fwd.caller, version_answer)
                self._node.peer.send(fwd.balancer, answer)
                return
            flow = self._endpoint.open(info, fwd.caller, fwd.balancer, now)
            self._node.metrics.count("agent.opened")
        flow.receive(fwd.payload, fwd.caller, fwd.balancer, now)
        self._pump(flow)

    def transmit(self, flow):
        """Send what a flow has queued and arm its timer."""
        now = self._now()
        through = self._balancer_for(flow, now)
        for payload, _ in flow.conn.datagrams_to_send(now):
            answer = Answer(self._node.me.service, flow.caller, payload)
            self._node.peer.send(through, answer)
            self._node.metrics.count("agent.answered")
        self._endpoint.index(flow)
        self._arm(flow)

    async def run_relayed(self, stream, relayed):
        """Handle a request that another agent has relayed, to its end."""
        exchange = Exchange(
            self._agent, stream, relayed.req, next(self._attempts), relayed=True
        )
        exchange.receive_body(relayed.body, True)
        task = asyncio.get_running_loop().create_task(exchange.run())
        self._running[task] = (exchange, None)
        task.add_done_callback(lambda done: self._running.pop(done, None))
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if not exchange.handle_caller_gone():
                task.cancel()
            raise

    def count_in_progress(self):
        """Return how many requests a stop would cut now."""
        return sum(self._is_open(*pair) for pair in self._running.values())

    def end(self):
        """Close all flows in order."""
        for flow in self._endpoint.flows:
            flow.conn.close(error_code=ErrorCode.H3_NO_ERROR)
            self.transmit(flow)

    def close(self):
        """Stop all timers and tasks."""
        for timer in self._timers.values():
            timer.cancel()
        for task in self._running:
            task.cancel()

    def _is_open(self, exchange, flow):
        if exchange.outcome is Outcome.PENDING:
            return True
        # The answer is complete but not acknowledged. A caller that stays silent
        # although its answer is being sent again has gone.
        if flow is None or flow.closed:
            return False
        return self._now() - flow.last_received_at < CALLER_SILENCE_S

    def _now(self):
        return asyncio.get_running_loop().time()

    def _pump(self, flow):
        for item in flow.events():
            match item:
                case HeadersReceived():
                    self._on_headers(flow, item)
                case DataReceived():
                    self._feed(flow, item.stream_id, item.data, item.stream_ended)
                case StreamReset() | StopSendingReceived():
                    self._cancel(flow, item.stream_id)
                case ConnectionTerminated():
                    for stream_id in list(flow.exchanges):
                        self._cancel(flow, stream_id)
        self.transmit(flow)

    def _on_headers(self, flow, item):
        if item.stream_id in flow.exchanges:  # These are trailers.
            self._feed(flow, item.stream_id, b"", item.stream_ended)
            return
        limits = self._agent.admission_queue.admission.limits
        req = decode_request(item.headers, limits.request_timeout_s)
        stream = FlowStream(flow, item.stream_id, self.transmit)
        exchange = Exchange(self._agent, stream, req, next(self._attempts))
        task = asyncio.get_running_loop().create_task(exchange.run())
        flow.exchanges[item.stream_id] = (exchange, task)
        self._running[task] = (exchange, flow)
        task.add_done_callback(lambda done: self._on_done(flow, item.stream_id, done))
        if item.stream_ended:
            exchange.receive_body(b"", True)

    def _feed(self, flow, stream_id, data, end):
        found = flow.exchanges.get(stream_id)
        if found is not None:
            found[0].receive_body(data, end)

    def _on_done(self, flow, stream_id, task):
        self._running.pop(task, None)
        flow.exchanges.pop(stream_id, None)
        if not task.cancelled() and task.exception() is not None:
            log.error("exchange-failed", exc_info=task.exception())

    def _cancel(self, flow, stream_id):
        found = flow.exchanges.get(stream_id)
        if found is not None and not found[0].handle_caller_gone():
            found[1].cancel()

    def _balancer_for(self, flow, now):
        if not flow.balancer_may_be_gone(now):
            return flow.balancer
        members = self._node.membership.replica.snapshot.members()
        others = [
            m.address
            for m in members
            if not m.service and not m.draining and m.address != flow.balancer
        ]
        return self._node.rng.choice(others) if others else flow.balancer

    def _arm(self, flow):
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
        self._pump(flow)
