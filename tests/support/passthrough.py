"""Simulates balancers, agents and targets without sockets or a real clock."""

import asyncio
import heapq
from collections import defaultdict, deque
from concurrent.futures import Future

from ryesaddle.daemons.passthrough.agent import PassthroughAgent
from ryesaddle.daemons.passthrough.agent_monitor import AgentMonitor
from ryesaddle.daemons.passthrough.balancer import PassthroughBalancer
from ryesaddle.daemons.passthrough.evacuation import EvacuationMonitor
from ryesaddle.daemons.passthrough.heartbeat_handler import HeartbeatHandler
from ryesaddle.daemons.passthrough.peers import BalancerEntry
from ryesaddle.daemons.passthrough.reporter import Reporter
from ryesaddle.daemons.passthrough.route_updater import RouteUpdater
from ryesaddle.daemons.passthrough.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
)
from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.directory import AgentDirectory
from ryesaddle.internal.metrics import Metrics
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.routing.placement import Placement
from ryesaddle.internal.routing.route import Route, RouteTable, TrafficShare
from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.target.flows import TargetFlows
from ryesaddle.internal.target.queue import FlowQueue
from ryesaddle.internal.target.report import TargetReport
from ryesaddle.internal.target.router import AgentRouter
from ryesaddle.internal.target.state import TargetState
from ryesaddle.internal.target.warm_up import WarmUpBudget
from ryesaddle.internal.wire.passthrough import (
    Candidate,
    decode_message,
    encode_message,
)
from ryesaddle.platform.packet import PlatformPackets
from tests.support.packets import (
    ACK,
    RST,
    SYN,
    packet,
    returned,
    without_mutable_fields,
)

SERVICE, OTHER_SERVICE = "case-desk", "pack-archive"
FRONT, OTHER_FRONT = Address("198.18.0.1", 443), Address("198.18.0.2", 443)
CALLER_PORT = 8172
STORE = Address("10.200.0.1", 8169)


def routes(version=1, shares=((SERVICE, 1.0),)):
    """Return a route table with a route for each front.

    ``shares`` are the services and weights of the first; it is left out if empty.
    """
    split = {FRONT: shares, OTHER_FRONT: ((OTHER_SERVICE, 1.0),)}
    table = [
        (
            front,
            Route(
                str(front),
                tuple(TrafficShare(*share) for share in shares),
                1.2,
                0.15,
                2,
                True,
            ),
        )
        for front, shares in split.items()
        if shares
    ]
    return RouteTable(version, tuple(table), 15.0)


class FakeMessages:
    """The message socket of a process; messages are encoded as on the wire."""

    def __init__(self, simulation, address):
        self._simulation = simulation
        self._address = address
        self.handlers = {}

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, address, msg):
        self.send_all((address,), msg)

    def send_all(self, addresses, msg):
        for address in addresses:
            self._simulation.enqueue(self._address, address, encode_message(msg))


class FakePackets:
    """A packet socket that sends to a caller or to the target of an agent."""

    def __init__(self, simulation, agent=None):
        self._simulation = simulation
        self._agent = agent

    def send(self, data, address):
        if address[1] == CALLER_PORT:
            self._simulation.to_caller(data, address)
        else:
            self._simulation.to_target(self._agent, data)


class FakeEntryReconciler:
    """Writes the entry of an agent to the simulated store."""

    def __init__(self, simulation, node):
        self._simulation = simulation
        self._node = node
        self.in_sync = asyncio.Event()

    def forget_stored(self):
        pass

    def set_desired(self, entry):
        if self._simulation.store_is_down:
            self.in_sync.clear()
            return
        self.in_sync.set()
        if entry is None:
            self._simulation.entries.pop(self._node, None)
        else:
            self._simulation.entries[self._node] = entry


class Target:
    """A target that returns the packets of flows that it does not hold."""

    def __init__(self, name, service):
        self.name = name
        self.service = service
        self.flows = set()
        self.sequence = 0
        self.draining = False
        self.drain_acknowledged = False
        self.warm_up_s = 0.0
        self.accepted_while_draining = []
        self.crashed = False  # a crashed target neither answers nor returns packets
        self.delays_acks = False  # whether it leaves packets without data unanswered
        self.answers_requests = False  # otherwise it only acknowledges their packets
        self.fails = False  # whether it resets the flows of requests instead
        self.requests = 0

    def report(self):
        self.sequence += 1
        return TargetReport(
            self.name,
            self.service,
            self.sequence,
            draining=self.draining,
            slots=2,
            warm_up_s=self.warm_up_s,
        )


class PacketSimulation:
    """Balancers, agents and targets whose messages a test can drop.

    ``is_lost`` is called with the source and the destination of each message, which
    is dropped if it returns a true value. All other messages arrive in order.
    """

    def __init__(self):
        self.now = 100.0
        self.routes = routes()
        self.balancers = {}
        self.route_updaters = {}
        self.allowed_services = defaultdict(set)
        self.evacuations = {}
        self.agents = {}
        self.data_centres = {}
        self.reporters = {}
        self.heartbeats = {}
        self.entries = {}
        self.balancer_entries = {}
        self.store_is_down = False
        self.sent_by_callers = set()
        self.resets = []
        self.answers = []
        self.is_lost = lambda source, target: False
        self.reset_depths = {}
        self._queue = deque()
        self._timers = []
        self._timer_count = 0
        self._depth = 0
        self._by_address = {}
        self._agent_starts = 0
        self._sequence_numbers = {}

    def enqueue(self, source, address, data):
        self._queue.append((source, address, data, self._depth + 1))

    def call_later(self, delay_s, function):
        """Call a function when messages have settled; advances the clock."""
        self._timer_count += 1
        timer = (self.now + delay_s, self._timer_count, function, self._depth)
        heapq.heappush(self._timers, timer)

    def settle(self):
        """Deliver messages until none is left, including those sent in response.

        Short timers, by which processes collect messages, run when none is left. Each
        message has a depth: one more than that of the message or timer that caused it.
        """
        steps = 0
        while self._queue or self._timers:
            steps += 1
            assert steps < 1_000_000, "messages still circulate after 1,000,000 steps"
            if not self._queue:
                due, _, function, self._depth = heapq.heappop(self._timers)
                self.now = max(self.now, due)
                function()
                continue
            source, address, data, self._depth = self._queue.popleft()
            messages = self._by_address.get(address)
            if messages is None or self.is_lost(source, address):
                continue
            msg = decode_message(data)
            handler = messages.handlers.get(type(msg))
            if handler is not None:
                handler(msg, source)
        self._depth = 0

    def pass_time(self, seconds):
        """Advance the clock in steps of 50 ms and run all timers that are due."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            for number, (agent, _) in self.agents.items():
                agent.run_periodic_checks()
                self.heartbeats[number].check_pending_answers()
            self.settle()
            for evacuations in self.evacuations.values():
                evacuations.confirmed_state()  # as for each round of gossip
            for balancer in self.balancers.values():
                balancer.continue_searches()
            self.settle()

    def start_balancer(self, number, table=None):
        """Start a balancer without state, or restart it without its earlier state.

        Its configuration is ``table`` if given, otherwise the newest.
        """
        node, address = f"edge-{number}", Address(f"10.0.1.{number}", 7000)
        settings = PassthroughBalancerSettings(
            node=node,
            data_centre="dc",
            peer=address,
            control=address,
            ready=address,
            metrics=address,
            callers=Address(address.host, CALLER_PORT),
            store=STORE,
        )
        entry = BalancerEntry(
            node=node, data_centre="dc", address=address, control=address
        )
        messages = FakeMessages(self, address)
        directory = AgentDirectory()
        placement = Placement("dc", directory)
        evacuations = EvacuationMonitor(messages, directory, placement, EraTracker())
        route_updater = RouteUpdater(node, None, 3.0)
        route_updater.install(table or self.routes, "test")
        agents = AgentMonitor(
            entry, messages, directory, placement.liveness, evacuations, route_updater
        )
        balancer = PassthroughBalancer(
            settings,
            PlatformPackets(),
            placement,
            directory,
            route_updater,
            messages,
            FakePackets(self),
            Metrics(),
        )
        agents._now = balancer._now = evacuations._now = lambda: self.now
        balancer._call_later = self.call_later
        self.balancers[number] = balancer
        self.route_updaters[number] = route_updater
        self.evacuations[number] = evacuations
        self._by_address[address] = messages
        self.balancer_entries[node] = entry
        agents.add_entries(tuple(self.entries.values()))
        directory.complete = True
        self.settle()

    def start_agent(self, number, service=SERVICE, target=None):
        """Start or restart the agent of ``target``, which keeps its flows.

        Its data centre is that in ``data_centres``, usually the balancers' one.
        """
        node, address = f"side-{number}", Address(f"10.0.2.{number}", 7000)
        self._agent_starts += 1
        settings = PassthroughAgentSettings(
            node=node,
            data_centre=self.data_centres.get(number, "dc"),
            peer=address,
            control=address,
            ready=address,
            metrics=address,
            callers=Address(address.host, CALLER_PORT),
            store=STORE,
            service=service,
            target_address=Address(address.host, 8165),
            outbound=address,
        )
        target_state, flows, queue = (
            TargetState(service, 0.77),
            TargetFlows(self.now),
            FlowQueue(),
        )
        me = Candidate(node, address)
        warm_up = WarmUpBudget(self.now)
        router = AgentRouter(me, service, target_state, flows, queue, warm_up)
        router.known_to_balancers = False
        target_state.restored_confirmed = False
        messages = FakeMessages(self, address)
        for cls in (PassthroughAgent, Reporter, HeartbeatHandler):
            cls._now = lambda _: self.now
        HeartbeatHandler._new_future = lambda _: Future()
        reporter = Reporter(
            settings, self._agent_starts, target_state, router, messages
        )
        heartbeats = HeartbeatHandler(
            settings,
            target_state,
            flows,
            reporter,
            FakeEntryReconciler(self, node),
            Metrics(),
        )
        agent = PassthroughAgent(
            settings,
            PlatformPackets(),
            target_state,
            flows,
            queue,
            router,
            messages,
            reporter,
            FakePackets(self, number),
            Metrics(),
        )
        agent._call_later = self.call_later
        heartbeats.on_target_started = agent.verify_flows
        held = None if self.store_is_down else self.entries.get(node)
        if held is not None and held.service == service:
            reporter.mark_registered()
            heartbeats.restore_target(held.target, held.draining, "store")
        self._by_address[address] = messages
        self.agents[number] = (agent, target)
        self.reporters[number] = reporter
        self.heartbeats[number] = heartbeats
        reporter.add_balancers([e.address for e in self.balancer_entries.values()])
        if not self.store_is_down:
            reporter.mark_entry_read()
        self.settle()

    def stop_agent(self, number, gone=True):
        """Remove an agent; with ``gone`` it first reports that its target has left."""
        _, target = self.agents.pop(number)
        if gone:
            self.heartbeats[number].handle_goodbye(target.name)
            self.reporters[number].report(gone=True)
        self.settle()
        self._by_address.pop(Address(f"10.0.2.{number}", 7000))

    def heartbeat(self, number):
        """Send a heartbeat of a target; return a future of the response's status."""
        _, target = self.agents[number]
        is_draining, status = target.draining, Future()

        def answer(reply):
            if is_draining and reply.status == 200:
                target.drain_acknowledged = True
            status.set_result(reply.status)

        reply = self.heartbeats[number].handle_heartbeat(target.report())
        if isinstance(reply, Future):
            reply.add_done_callback(lambda done: answer(done.result()))
        else:
            answer(reply)
        self.settle()
        return status

    def report(self, number):
        self.reporters[number].report()
        self.settle()

    def to_target(self, number, data):
        agent, target = self.agents[number]
        assert without_mutable_fields(data) in self.sent_by_callers, (
            "packet differs from every packet that a caller sent"
        )
        if target.crashed:
            return
        found = PlatformPackets().read_caller(without_mutable_fields(data))
        if found.opens and target.drain_acknowledged:
            target.accepted_while_draining.append(found.flow)
        if found.opens:
            assert target.service in self.allowed_services[found.flow], (
                f"{found.flow} opened at a target of {target.service}, which the "
                "configuration of no balancer that forwarded it allows"
            )
            target.flows.add(found.flow)
            answer = packet(found.flow.front, found.flow.caller, SYN | ACK, 7)
            agent.on_target_packet(answer, None)
        elif found.flow in target.flows and found.has_data and target.answers_requests:
            target.requests += 1
            flags, data = (RST, b"") if target.fails else (ACK, b"answer")
            answer = packet(found.flow.front, found.flow.caller, flags, 8, data=data)
            agent.on_target_packet(answer, None)
        elif found.flow in target.flows and target.delays_acks:
            return
        elif found.flow in target.flows:
            answer = packet(found.flow.front, found.flow.caller, ACK, 8)
            agent.on_target_packet(answer, None)
        else:
            agent.on_target_packet(returned(data), None)

    def to_caller(self, data, address):
        found = PlatformPackets().read_target(data)
        if found.resets:
            self.resets.append(found.flow)
            self.reset_depths[found.flow] = self._depth
        else:
            self.answers.append(found.flow)

    def send(self, balancer, caller, flags=ACK, front=FRONT, copy=0, data=b""):
        """Send a caller's packet through a balancer.

        Each opening packet that is not a copy gets another sequence number. Returns the
        flows of the answers and of the resets that the packet led to.
        """
        sequence_number = self._sequence_numbers.setdefault(caller, 5)
        if flags & SYN and not copy:
            sequence_number += 1_000
            self._sequence_numbers[caller] = sequence_number
        sent = packet(caller, front, flags, sequence_number, copy, data)
        self.sent_by_callers.add(sent)
        flow = Flow(caller, front)
        route = self.route_updaters[balancer].routes.find(front)
        if flags & SYN and route is not None:
            self.allowed_services[flow].add(route.services(flow)[0])
        before = len(self.answers), len(self.resets)
        self.balancers[balancer].on_caller_packet(sent, caller)
        self.settle()
        return self.answers[before[0] :], self.resets[before[1] :]

    def send_at_once(self, balancer, flows):
        """Send a packet of each flow through a balancer before any is answered."""
        for flow in flows:
            sent = packet(flow.caller, flow.front, ACK, 5)
            self.sent_by_callers.add(sent)
            self.balancers[balancer].on_caller_packet(sent, flow.caller)
        self.settle()

    def target_of(self, flow):
        """Return the target that holds a flow, or None if no target does."""
        for _, target in self.agents.values():
            if target is not None and flow in target.flows:
                return target
        return None


__all__ = ["ACK", "FRONT", "OTHER_FRONT", "RST", "SYN", "PacketSimulation", "Target"]
