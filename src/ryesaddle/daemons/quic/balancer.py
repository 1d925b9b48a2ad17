"""The balancer: forwards the datagrams of callers to agents and their replies back."""

import asyncio
import logging

import msgspec

from ryesaddle.daemons.quic.control import json_response
from ryesaddle.daemons.quic.membership import background_tasks
from ryesaddle.daemons.quic.node import build_node, create_stop_event
from ryesaddle.daemons.quic.peer import bind_udp
from ryesaddle.errors import SettingsError
from ryesaddle.internal.address import Address
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.quic.packet import has_long_header
from ryesaddle.internal.routing.dispatcher import Discard, Dispatcher
from ryesaddle.internal.wire.control import Ping, Pong
from ryesaddle.internal.wire.message import Answer, Forward

log = logging.getLogger(__name__)

PROBE_INTERVAL_S = 0.1
STOP_DELAY_S = 2.0


class ServiceSocket(asyncio.DatagramProtocol):
    """UDP socket that receives the datagrams of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    port : int
        UDP port to which the socket is bound.
    on_datagram : callable
        Called with the service, the payload and the caller's address.
    """

    def __init__(self, service, port, on_datagram):
        self.service = service
        self.port = port
        self._on_datagram = on_datagram
        self._transport = None

    def connection_made(self, transport):
        """Store the transport for `send` and `close`."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Pass a datagram from a caller to ``on_datagram``."""
        self._on_datagram(self.service, data, Address(*addr[:2]))

    def send(self, payload, caller):
        """Send a datagram to a caller from the service address."""
        self._transport.sendto(payload, caller)

    def close(self):
        """Close the socket and release its port."""
        if self._transport is not None:
            self._transport.close()


class Balancer:
    """Forwards datagrams between callers and agents.

    Parameters
    ----------
    node : Node
        The components shared by balancers and agents.
    """

    def __init__(self, node):
        self._node = node
        self._dispatcher = Dispatcher()
        self._sockets = {}
        self._socket_lock = asyncio.Lock()
        node.peer.add_handler(Answer, self._on_answer)
        node.peer.add_handler(Pong, self._on_pong)
        node.server.route("GET", "/status", self._serve_status)
        node.membership.add_listener(self._on_replica_change)

    async def run_probes(self):
        """Ping agents with unanswered datagrams, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            members = {m.node: m for m in self._members()}
            for node in self._dispatcher.to_probe(now):
                if node in members:
                    self._node.peer.send_control(members[node].address, Ping())

    def close(self):
        """Close the sockets of all services."""
        for sock in self._sockets.values():
            sock.close()

    def _members(self):
        return self._node.membership.replica.snapshot.members()

    def _on_datagram(self, service, payload, caller):
        node = self._node
        view = node.membership.replica.views.get(service)
        now = asyncio.get_running_loop().time()
        may_open_flow = has_long_header(payload)
        decision = self._dispatcher.route(service, caller, may_open_flow, view, now)
        if isinstance(decision, Discard):
            node.metrics.count("balancer.discarded")
            event(log, "discard", flow=caller, service=service, reason=decision.reason)
            return
        member = decision.member
        if decision.reason != "cached":
            event(
                log,
                "route",
                flow=caller,
                service=service,
                target=member.target,
                reason=decision.reason,
                view=view.version,
            )
        fwd = Forward(
            service,
            caller,
            node.settings.peer,
            member.node,
            member.incarnation,
            payload,
        )
        node.peer.send(member.address, fwd)
        node.metrics.count("balancer.forwarded")

    def _on_answer(self, datagram, body, addr):
        now = asyncio.get_running_loop().time()
        sock = self._sockets.get(body.service)
        if sock is None:
            self._node.metrics.count("balancer.unknown_service")
            return
        if self._dispatcher.answered(
            body.service, body.caller, datagram.sender, datagram.incarnation, now
        ):
            event(
                log,
                "owner",
                flow=body.caller,
                service=body.service,
                agent=datagram.sender,
                reason="answered",
                view=self._node.membership.replica.version,
            )
        sock.send(body.payload, body.caller)
        self._node.metrics.count("balancer.answered")

    def _on_pong(self, datagram, body, addr):
        self._dispatcher.heard(datagram.sender)

    def _on_replica_change(self):
        self._dispatcher.forget({m.node for m in self._members()})
        task = asyncio.get_running_loop().create_task(self._sync_sockets())
        task.add_done_callback(_log_task_failure)

    async def _sync_sockets(self):
        async with self._socket_lock:
            services = self._node.membership.replica.cfg.services
            wanted_ports = {name: service.port for name, service in services.items()}
            for name, sock in list(self._sockets.items()):
                if wanted_ports.get(name) != sock.port:
                    self._sockets.pop(name).close()
            # A closed transport releases its port in the next loop iteration.
            await asyncio.sleep(0)
            for name in sorted(wanted_ports.keys() - self._sockets.keys()):
                await self._open_socket(name, wanted_ports[name])

    async def _open_socket(self, name, port):
        sock = ServiceSocket(name, port, self._on_datagram)
        address = Address(self._node.settings.service_host, port)
        try:
            await bind_udp(sock, address, "service_host")
        except SettingsError as exc:
            warn(log, "service-not-opened", service=name, reason=exc)
            return
        self._sockets[name] = sock
        event(log, "service-opened", service=name, address=address)

    async def _serve_status(self, req):
        return json_response(
            {
                **self._node.status("balancer"),
                "services": sorted(self._sockets),
                "flows": len(self._dispatcher),
            }
        )


async def run_balancer(settings):
    """Run a balancer until SIGTERM or SIGINT."""
    node = build_node(settings)
    balancer = Balancer(node)
    stop_event = create_stop_event()
    try:
        await node.open()
        async with background_tasks(
            node.membership.run(), node.metrics.run(), balancer.run_probes()
        ):
            event(log, "started", node=node.me.node, role="balancer")
            await stop_event.wait()
            event(log, "stopping", node=node.me.node)
            # The fabric needs time to stop sending here. Until then, datagrams
            # already in transit and the answers to them are still forwarded.
            node.membership.announce(msgspec.structs.replace(node.me, draining=True))
            await asyncio.sleep(STOP_DELAY_S)
        # The membership task has stopped and can no longer renew the lease.
        await node.membership.resign()
    finally:
        balancer.close()
        await node.close()
    event(log, "stopped", node=node.me.node)


def _log_task_failure(task):
    if not task.cancelled() and task.exception() is not None:
        warn(log, "task-failed", error=repr(task.exception()))
