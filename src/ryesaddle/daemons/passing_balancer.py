"""The balancer in front of targets that hold their flows themselves."""

import asyncio
import logging

import msgspec

from ryesaddle.daemons.http import HttpError, HttpReply, call
from ryesaddle.errors import StoreError
from ryesaddle.internal.address import Address
from ryesaddle.internal.config.turn import ReadTurn
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.routing.dispatcher import Discard
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.routing.route import RouteTable
from ryesaddle.internal.wire.passing import (
    Candidate,
    Carry,
    Gossip,
    Held,
    Hello,
    Report,
    ReportAck,
    Return,
)

log = logging.getLogger(__name__)

GOSSIP_S = 0.25
PROBE_S = 0.1
POLL_S = 0.8  # with gossip and a fetch, well within the 3 s for a change
FRESH_READ_S = 2 * POLL_S  # one read may fail before another balancer steps in
QUIET_S = 0.8  # a stopping balancer that received nothing for so long is not needed
REROUTE_S = 1.5  # the fabric probes twice a second and allows two misses
FETCH_TIMEOUT_S = 1.0
STATE_PATH = "/state"


class BalancerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What the store holds of a balancer.

    Attributes
    ----------
    node, data_centre : str
        The balancer and where it runs.
    address, control : Address
        Where it receives messages, and HTTP calls.
    """

    node: str
    data_centre: str
    address: Address
    control: Address


class SharedState(msgspec.Struct, frozen=True):
    """What one balancer tells another that has just started."""

    routes: RouteTable | None
    balancers: tuple[BalancerEntry, ...]
    targets: tuple[TargetEntry, ...]


class PassingBalancer:
    """Sends the packets of callers to agents, and searches for lost flows.

    Parameters
    ----------
    settings : PassingBalancerSettings
        Settings of the process.
    incarnation : int
        Distinguishes its runs.
    packets : PacketProtocol
        Reads and builds packets.
    dispatcher, directory : Dispatcher, Directory
        The decisions.
    messages : MessageSocket
        To agents and other balancers.
    callers : PacketSocket
        Receives the packets of callers.
    source : callable
        Coroutine function that returns the newest `RouteTable` of the store.
    metrics : Metrics
        Counters.
    """

    def __init__(
        self,
        settings,
        incarnation,
        packets,
        dispatcher,
        directory,
        messages,
        callers,
        source,
        metrics,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._packets = packets
        self._dispatcher = dispatcher
        self._directory = directory
        self._messages = messages
        self._callers = callers
        self._source = source
        self._metrics = metrics
        self._peers = {}
        self._peer_agents = {}
        self._turn = ReadTurn(settings.node, FRESH_READ_S)
        self._received_at = 0.0
        self._read_at = None
        self._fetching = False
        self.routes = None
        self.leaving = False
        messages.on(Return, self._on_return)
        messages.on(Held, self._on_held)
        messages.on(Report, self._on_report)
        messages.on(Gossip, self._on_gossip)

    @property
    def entry(self):
        """The `BalancerEntry` of this process."""
        cfg = self._settings
        return BalancerEntry(
            node=cfg.node,
            data_centre=cfg.data_centre,
            address=cfg.peer,
            control=cfg.control,
        )

    def is_ready(self):
        """Whether new flows are to be sent here."""
        return self.routes is not None and not self.leaving

    # Configuration

    async def follow_configuration(self):
        """Read the configuration until cancelled."""
        while True:
            if self.routes is None or self._turn.is_mine(self._now()):
                await self._read_configuration()
            await asyncio.sleep(POLL_S)

    async def _read_configuration(self):
        started = self._now()
        try:
            table = await self._source()
        except StoreError as exc:
            warn(log, "configuration-not-read", reason=exc)
            return
        self._read_at = started
        if table is not None:
            self.install(table, "store")

    def install(self, table, source):
        """Take a configuration unless it is older than the present one."""
        if self.routes is not None and table.version <= self.routes.version:
            return
        event(
            log,
            "configuration",
            version=table.version,
            before=self.routes.version if self.routes else 0,
            routes=len(table.routes),
            source=source,
        )
        self.routes = table

    async def drain(self, limit_s):
        """Take no new flows, and carry the open ones while packets arrive."""
        self.leaving = True
        self._gossip()
        end = self._now() + limit_s
        await asyncio.sleep(REROUTE_S)
        while self._now() < min(end, self._received_at + QUIET_S):
            await asyncio.sleep(PROBE_S)

    # Other balancers

    def know_balancers(self, entries):
        """Tell these balancers of this one from now on."""
        for entry in entries:
            if entry.node != self._settings.node:
                self._peers.setdefault(entry.address, entry)
        self._gossip()

    def know_targets(self, entries):
        """Take entries of agents, and ask these for reports."""
        for entry in entries:
            if self._directory.find(entry.node) is None:
                self._messages.send(entry.address, self._hello())
        self._directory.list(entries)

    async def gossip(self):
        """Tell other balancers of this one until cancelled."""
        while True:
            self._gossip()
            await asyncio.sleep(GOSSIP_S)

    def _gossip(self):
        now = self._now()
        age_s = 3600.0 if self._read_at is None else now - self._read_at
        cfg = self._settings
        msg = Gossip(
            node=cfg.node,
            data_centre=cfg.data_centre,
            incarnation=self._incarnation,
            address=cfg.peer,
            control=cfg.control,
            version=self.routes.version if self.routes else 0,
            store_age_ms=round(age_s * 1000),
            agents=self._directory.digest(),
            leaving=self.leaving,
        )
        for address in self._peers:
            self._messages.send(address, msg)

    def _on_gossip(self, msg, addr):
        if msg.address not in self._peers:
            event(log, "balancer-known", balancer=msg.node, address=msg.address)
        self._peers[msg.address] = BalancerEntry(
            node=msg.node,
            data_centre=msg.data_centre,
            address=msg.address,
            control=msg.control,
        )
        self._turn.heard(msg.node, msg.store_age_ms / 1000, self._now())
        held = self.routes.version if self.routes else 0
        # Agents that only the other knows are asked for reports; the difference
        # that remains, such as agents that are gone, is not looked at again.
        unseen = msg.agents not in (
            self._directory.digest(),
            self._peer_agents.get(msg.node),
        )
        if (msg.version > held or unseen) and not self._fetching:
            self._fetching = True
            self._peer_agents[msg.node] = msg.agents
            asyncio.get_running_loop().create_task(self.fetch_state(msg.control))

    async def fetch_state(self, control):
        """Take the state of another balancer; return whether it answered."""
        try:
            reply = await call(control, "GET", STATE_PATH, timeout_s=FETCH_TIMEOUT_S)
            state = msgspec.json.decode(reply.body, type=SharedState)
        except (HttpError, msgspec.DecodeError) as exc:
            warn(log, "state-not-fetched", source=control, reason=exc)
            return False
        finally:
            self._fetching = False
        if state.routes is not None:
            self.install(state.routes, f"peer {control}")
        self.know_balancers(state.balancers)
        self.know_targets(state.targets)
        return True

    def state(self):
        """Return an `HttpReply` with what another balancer needs to start."""
        targets = tuple(
            TargetEntry(
                node=m.node,
                service=m.service,
                data_centre=m.data_centre,
                address=m.address,
                target=m.target,
                draining=m.draining,
            )
            for m in self._directory.members()
        )
        state = SharedState(self.routes, (self.entry, *self._peers.values()), targets)
        return HttpReply(200, msgspec.json.encode(state))

    # Agents

    async def probe(self):
        """Ask agents that owe a sign of life for a report, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_S)
            for node in self._dispatcher.to_probe(self._now()):
                member = self._directory.find(node)
                if member is not None:
                    self._messages.send(member.address, self._hello())

    def _hello(self):
        return Hello(self._settings.node, self._settings.peer)

    def _on_report(self, report, addr):
        now = self._now()
        known = self._directory.find(report.node)
        if report.wants_ack:
            target = known.target if known else ""
            draining = known.draining if known else False
            ack = ReportAck(self._settings.node, report.incarnation, target, draining)
            self._messages.send(report.address, ack)
        self._dispatcher.heard(report.node)
        change = self._directory.hear(report, now)
        if change is not None:
            event(
                log,
                "agent",
                agent=report.node,
                service=report.service,
                target=report.target,
                change=change,
                draining=report.draining,
                sequence=report.sequence,
            )

    # Packets

    def on_caller_packet(self, data, addr):
        """Take a datagram of a caller."""
        self._received_at = self._now()
        packet = self._packets.read_caller(data)
        if packet is None:
            self._metrics.count("balancer.malformed")
            return
        route = self.routes.find(packet.flow.front) if self.routes else None
        if route is None:
            self._refuse(packet, "no-route" if self.routes else "no-configuration")
            return
        self._dispatch(packet, route, data)

    def _dispatch(self, packet, route, data):
        service = route.services(packet.flow)[0]
        decision = self._dispatcher.route(
            service,
            packet.flow,
            packet.opens,
            self._directory.view(service),
            self._now(),
            packet.copy,
            self._directory.load,
        )
        if isinstance(decision, Discard):
            self._drop(packet, decision.reason)
            return
        carry = Carry(
            service=service,
            balancer=self._settings.peer,
            payload=data,
            candidates=tuple(Candidate(m.node, m.address) for m in decision.others),
            priority=route.priority,
            objective_ms=round(route.objective_s * 1000),
            timeout_ms=round(route.timeout_s * 1000),
        )
        self._send(decision, carry, packet)

    def _send(self, decision, carry, packet):
        member = decision.member
        self._messages.send(member.address, carry)
        self._metrics.count("balancer.forwarded")
        if decision.reason == "cached":
            return
        self._dispatcher.placed(carry.service, packet.flow, member)
        if packet.opens:
            self._directory.sent(member.node)
        event(
            log,
            "route",
            flow=packet.flow,
            copy=packet.copy,
            service=carry.service,
            agent=member.node,
            target=member.target,
            reason=decision.reason,
            load=round(self._directory.load(member), 2),
            asked=len(carry.asked),
            configuration=self.routes.version,
        )

    def _on_return(self, msg, addr):
        self._dispatcher.heard(msg.node)
        packet = self._packets.read_caller(msg.carry.payload)
        if packet is None:
            return
        self._metrics.count(f"balancer.returned.{msg.reason}")
        view = self._directory.view(msg.carry.service)
        found = None
        if view is not None:
            found = self._dispatcher.search(
                msg.carry.service,
                packet.flow,
                packet.opens,
                msg.carry.asked,
                view,
                self._now(),
            )
        if found is None:
            self._drop(packet, "held-nowhere")
            return
        self._send(found, msg.carry, packet)

    def _on_held(self, msg, addr):
        self._dispatcher.heard(msg.node)
        member = self._directory.find(msg.node)
        if member is not None:
            flow = Flow(msg.caller, msg.front)
            self._dispatcher.placed(msg.service, flow, member)

    def _refuse(self, packet, reason):
        if reason == "no-route" and not packet.resets:
            host = packet.flow.caller.host
            answer = self._packets.reset(packet)
            self._callers.send(answer, (host, self._settings.callers.port))
            self._metrics.count("balancer.reset")
        event(log, "refuse", flow=packet.flow, copy=packet.copy, reason=reason)

    def _drop(self, packet, reason):
        self._metrics.count(f"balancer.dropped.{reason}")
        event(log, "drop", flow=packet.flow, copy=packet.copy, reason=reason)

    def _now(self):
        return asyncio.get_running_loop().time()
