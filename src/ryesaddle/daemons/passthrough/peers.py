"""Gossip between balancers, and transfer of their state to a new balancer."""

import asyncio
import logging

import msgspec

from ryesaddle.daemons.passthrough.http import HttpError, HttpReply, send_request
from ryesaddle.internal.address import Address
from ryesaddle.internal.config.evacuation import EvacuationState
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.fetch_schedule import FetchSchedule
from ryesaddle.internal.membership.isolation import is_isolated
from ryesaddle.internal.routing.route import RouteTable
from ryesaddle.internal.store.era import EraTracker
from ryesaddle.internal.wire.passthrough import Gossip

log = logging.getLogger(__name__)

GOSSIP_INTERVAL_S = 0.25
SILENCE_TIMEOUT_S = 1.0  # four rounds of gossip
PEER_EXPIRY_S = 15.0  # longer than any outage from which a balancer recovers
FETCH_TIMEOUT_S = 1.0  # a peer answers within milliseconds
STATE_PATH = "/state"


class BalancerEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Entry of a balancer in the store.

    Attributes
    ----------
    node, data_centre : str
        Name and data centre of the balancer.
    address, control : Address
        Where it receives messages, and HTTP calls.
    settled_era : int
        Latest era of the store that it had seen for `ERA_SETTLE_S`. A balancer that
        finds its present era here need not wait until the store is settled.
    """

    node: str
    data_centre: str
    address: Address
    control: Address
    settled_era: int = 0


class SharedState(msgspec.Struct, frozen=True):
    """State that a balancer sends to a process that has just started."""

    routes: RouteTable | None
    balancers: tuple[BalancerEntry, ...]
    targets: tuple[TargetEntry, ...]
    evacuation: EvacuationState | None = None


class Peers:
    """Exchanges gossip with the other balancers, and fetches state that is newer there.

    Parameters
    ----------
    entry : BalancerEntry
        Entry of this balancer.
    incarnation : int
        Distinguishes successive runs of this balancer.
    messages : MessageSocket
        Sends and receives gossip.
    route_updater : RouteUpdater
        Holds the current routes.
    agent_monitor : AgentMonitor
        Tracks the agents.
    evacuations : EvacuationMonitor
        Holds the evacuated data centres.
    eras : EraTracker, optional
        Tracks the eras of the store.

    Attributes
    ----------
    entry : BalancerEntry
        Entry of this balancer.
    leaving : bool
        Whether this balancer is about to stop.
    """

    def __init__(
        self,
        entry,
        incarnation,
        messages,
        route_updater,
        agent_monitor,
        evacuations,
        eras=None,
    ):
        self.entry = entry
        self._incarnation = incarnation
        self._messages = messages
        self._route_updater = route_updater
        self._agent_monitor = agent_monitor
        self._evacuations = evacuations
        self._eras = eras or EraTracker()
        self._peers = {}
        self._last_heard = {}
        self._live_agent_counts = {}
        self._was_isolated = False
        self._fetch_schedule = FetchSchedule()
        self._tasks = set()
        self.leaving = False
        messages.on(Gossip, self._on_gossip)

    def add_entries(self, entries):
        """Add balancers, and send them gossip from now on."""
        has_new = False
        for entry in entries:
            if entry.node != self.entry.node and entry.address not in self._peers:
                self._add_peer(entry)
                has_new = True
        if has_new:
            self.send_gossip()

    async def run(self):
        """Send gossip and remove expired peers until cancelled."""
        while True:
            self.send_gossip()
            self._remove_expired()
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    def send_gossip(self):
        """Send gossip to all peers now."""
        msg = Gossip(
            node=self.entry.node,
            data_centre=self.entry.data_centre,
            incarnation=self._incarnation,
            address=self.entry.address,
            control=self.entry.control,
            version=self._route_updater.version,
            read_age_ms=round(self._route_updater.read_age_s(self._now()) * 1000),
            agents_digest=self._agent_monitor.digest(),
            live_agent_count=len(self._agent_monitor.live_names()),
            leaving=self.leaving,
            evacuation=self._evacuations.state,
            store_era=self._eras.era,
        )
        self._messages.send_all(self._peers, msg)

    async def fetch_state(self, control):
        """Fetch and apply the state of another balancer; return whether it answered."""
        try:
            reply = await send_request(
                control, "GET", STATE_PATH, timeout_s=FETCH_TIMEOUT_S
            )
            state = msgspec.json.decode(reply.body, type=SharedState)
        except (HttpError, msgspec.DecodeError) as exc:
            warn(log, "state-not-fetched", source=control, reason=exc)
            return False
        self._evacuations.merge(state.evacuation, f"balancer {control}")
        if state.routes is not None:
            self._route_updater.install(state.routes, f"balancer {control}")
        self.add_entries(state.balancers)
        self._agent_monitor.add_entries(state.targets)
        return True

    def state_reply(self):
        """Return an `HttpReply` with the state that a starting process needs."""
        balancers = (self.entry, *self._peers.values())
        state = SharedState(
            self._route_updater.routes,
            balancers,
            self._agent_monitor.entries(),
            self._evacuations.state,
        )
        return HttpReply(200, msgspec.json.encode(state))

    def live_names(self):
        """Return the names of the peers that have sent gossip recently."""
        now = self._now()
        return [
            entry.node
            for address, entry in self._peers.items()
            if now - self._last_heard[address] <= SILENCE_TIMEOUT_S
        ]

    def is_ready(self):
        """Return whether this balancer should receive new flows."""
        if self.leaving or self._route_updater.routes is None:
            return False
        now = self._now()
        peer_counts = [
            heard
            for address, heard in self._live_agent_counts.items()
            if now - self._last_heard[address] <= SILENCE_TIMEOUT_S
        ]
        heard, known = (
            len(self._agent_monitor.live_names()),
            self._agent_monitor.count(),
        )
        isolated = is_isolated(heard, known, peer_counts)
        if isolated != self._was_isolated:
            self._was_isolated = isolated
            most = max(peer_counts, default=0)
            name = "isolated" if isolated else "not-isolated"
            event(log, name, heard=heard, known=known, heard_by_others=most)
        return not isolated

    def _add_peer(self, entry):
        event(log, "balancer-known", balancer=entry.node, address=entry.address)
        self._peers[entry.address] = entry
        self._last_heard[entry.address] = self._now()

    def _remove_expired(self):
        now = self._now()
        for address, at in list(self._last_heard.items()):
            if now - at > PEER_EXPIRY_S:
                del self._last_heard[address]
                self._live_agent_counts.pop(address, None)
                entry = self._peers.pop(address)
                self._fetch_schedule.forget(entry.node)
                event(log, "balancer-forgotten", balancer=entry.node, address=address)

    def _on_gossip(self, msg, addr):
        now = self._now()
        if msg.address not in self._peers:
            self._add_peer(
                BalancerEntry(
                    node=msg.node,
                    data_centre=msg.data_centre,
                    address=msg.address,
                    control=msg.control,
                )
            )
        self._last_heard[msg.address] = now
        self._live_agent_counts[msg.address] = msg.live_agent_count
        self._evacuations.merge(msg.evacuation, f"balancer {msg.node}")
        self._route_updater.record_peer_read(msg.node, msg.read_age_ms / 1000, now)
        self._eras.learn(msg.store_era, now)
        if self._should_fetch(msg, now):
            task = asyncio.get_running_loop().create_task(self._fetch_from_peer(msg))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fetch_from_peer(self, msg):
        if not await self.fetch_state(msg.control):
            self._fetch_schedule.forget(msg.node)

    def _should_fetch(self, msg, now):
        return self._fetch_schedule.fetches_configuration(
            msg.version, self._route_updater.version, now
        ) or self._fetch_schedule.fetches_agents(
            msg.node,
            msg.agents_digest,
            self._agent_monitor.digest(),
            self._agent_monitor.is_complete(),
            now,
        )

    def _now(self):
        return asyncio.get_running_loop().time()
