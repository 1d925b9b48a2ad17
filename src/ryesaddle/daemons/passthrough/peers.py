"""Gossip between balancers, and transfer of their state to a new balancer."""

import asyncio
import logging

import msgspec

from ryesaddle.daemons.passthrough.entry import valid_entries
from ryesaddle.daemons.passthrough.http import (
    HttpError,
    HttpReply,
    deflated,
    send_request,
)
from ryesaddle.internal.address import Address
from ryesaddle.internal.config.evacuation import EvacuationState
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.fetch_schedule import FetchResult, FetchSchedule
from ryesaddle.internal.membership.isolation import is_isolated
from ryesaddle.internal.membership.lost_contacts import LostContacts
from ryesaddle.internal.membership.transfer_slots import TransferSlots
from ryesaddle.internal.routing.route import RouteTable
from ryesaddle.internal.routing.route_history import RouteChange
from ryesaddle.internal.wire.passthrough import Gossip, ReportRequest

log = logging.getLogger(__name__)

GOSSIP_INTERVAL_S = 0.25
SILENCE_TIMEOUT_S = 1.0  # four rounds of gossip
PEER_EXPIRY_S = 15.0  # longer than any outage from which a balancer recovers
FETCH_TIMEOUT_S = 1.0  # a peer answers within milliseconds
# A transfer over a slow link goes on while bytes arrive, for this time at most.
TRANSFER_TIMEOUT_S = 5.0
# A live peer answers new gossip at once, and one of an older version in the next round.
MERGE_TIMEOUT_S = 1.2 * GOSSIP_INTERVAL_S
MERGE_POLL_S = 0.01
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


class StateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a process asks of the state of a balancer.

    It is the body of a POST request, whose answer is compressed. Balancers of an older
    version ignore it, and answer with all that a GET request returns.

    Attributes
    ----------
    version : int
        Version of the requester's configuration; an older one is not sent.
    change_from : int
        Version from which to send a `RouteChange`; 0 to get all routes.
    wants_routes : bool
        Whether the configuration is asked for.
    wants_entries : bool
        Whether the entries of balancers and agents are asked for.
    wants_heard : bool
        Whether only the names of the processes are asked for from which messages have
        arrived. Older versions do not know it, and answer by the other fields.
    """

    version: int = 0
    change_from: int = 0
    wants_routes: bool = True
    wants_entries: bool = True
    wants_heard: bool = False


class SharedState(msgspec.Struct, frozen=True):
    """State that a balancer sends to another process.

    Attributes
    ----------
    routes : RouteTable or None
        All routes; None if they are not needed, or if ``change`` leads to them.
    balancers, targets : tuple of BalancerEntry, tuple of TargetEntry
        Entries of all known balancers and agents.
    evacuation : EvacuationState or None
        The evacuated data centres, if they are known.
    change : RouteChange or None
        Change from the version that the requester named.
    heard : tuple of str or None
        Names of the processes from which messages have arrived lately, if asked for.
    """

    routes: RouteTable | None
    balancers: tuple[BalancerEntry, ...] = ()
    targets: tuple[TargetEntry, ...] = ()
    evacuation: EvacuationState | None = None
    change: RouteChange | None = None
    heard: tuple[str, ...] | None = None

    def names_heard(self):
        """Return the names of the processes that the sender may have heard lately.

        An older version sends its entries instead. It removes those of silent
        processes after a while.
        """
        if self.heard is not None:
            return set(self.heard)
        return {entry.node for entry in (*self.balancers, *self.targets)}


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
    eras : EraTracker
        Tracks the eras of the store.
    bound_s : float
        Time within which a change of the configuration must take effect, in seconds.

    Attributes
    ----------
    entry : BalancerEntry
        Entry of this balancer.
    leaving : bool
        Whether this balancer is about to stop.
    on_return : callable
        Called with the name of a balancer that was silent and is heard again.
    """

    def __init__(
        self,
        entry,
        incarnation,
        messages,
        route_updater,
        agent_monitor,
        evacuations,
        eras,
        bound_s,
    ):
        self.entry = entry
        self._incarnation = incarnation
        self._messages = messages
        self._route_updater = route_updater
        self._agent_monitor = agent_monitor
        self._evacuations = evacuations
        self._eras = eras
        self._peers = {}
        self._last_heard = {}
        self._incarnations = {}
        self._lost = LostContacts()
        self._live_agent_counts = {}
        self._agent_digests = {}
        self._was_isolated = False
        self._fetch_schedule = FetchSchedule(bound_s)
        self._transfer_slots = TransferSlots(FETCH_TIMEOUT_S)
        self._last_reply = None
        self._tasks = set()
        self.leaving = False
        self.on_return = lambda node: None
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

    def send_gossip(self, addresses=None):
        """Send gossip to these addresses, or to all peers, and to lost ones if due."""
        if addresses is None:
            addresses = (*self._peers, *self._lost.due(self._now()))
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
            evacuation=self._evacuations.confirmed_state(),
            store_era=self._eras.era,
        )
        self._messages.send_all(addresses, msg)

    async def fetch_state(self, control, wants_entries=True):
        """Fetch and apply the state of another balancer; return the `FetchResult`."""
        version = self._route_updater.version
        req = StateRequest(
            version=version, change_from=version, wants_entries=wants_entries
        )
        state, result = await self._request_state(control, req)
        if state is None:
            return result
        source = f"balancer {control}"
        if state.change is not None and not self._route_updater.apply_change(
            state.change, source
        ):
            event(log, "change-not-applicable", version=state.change.version)
            req = msgspec.structs.replace(req, change_from=0)
            state, result = await self._request_state(control, req)
            if state is None:
                return result
        self._evacuations.merge(state.evacuation, source)
        if state.routes is not None:
            self._route_updater.install(state.routes, source)
        self.add_entries(valid_entries(state.balancers, control))
        self._agent_monitor.add_entries(valid_entries(state.targets, control))
        return FetchResult.ARRIVED

    def forget_digests(self):
        """Let `merge_agents` wait for new gossip of each peer."""
        self._agent_digests.clear()

    async def merge_agents(self):
        """Fetch the agents that live peers know and this balancer does not.

        The store lacks the entry of an agent that cannot reach it, and that of one
        which was deleted by mistake. Peers are waited for up to `MERGE_TIMEOUT_S`.

        Returns
        -------
        bool
            False if a peer with other agents could not be asked.
        """
        end = self._now() + MERGE_TIMEOUT_S
        while self._now() < end and self._peers.keys() - self._agent_digests.keys():
            await asyncio.sleep(MERGE_POLL_S)
        if self._tasks:
            # Gossip that names other agents has started a fetch.
            await asyncio.wait(self._tasks)
        fetched = set()
        for address, entry in list(self._peers.items()):
            digest = self._agent_digests.get(address)
            if digest in (None, self._agent_monitor.digest(), *fetched):
                continue
            if not self._is_live(address):
                continue
            if await self.fetch_state(entry.control) is not FetchResult.ARRIVED:
                return False
            fetched.add(digest)
        return True

    async def names_heard_by_others(self):
        """Return the names of the processes that live peers hear.

        Returns
        -------
        set of str or None
            None if a live peer has not answered, so that nothing is known of the rest.
        """
        req = StateRequest(
            version=self._route_updater.version, wants_routes=False, wants_heard=True
        )
        controls = [e.control for a, e in self._peers.items() if self._is_live(a)]
        answers = await asyncio.gather(
            *(self._request_state(control, req) for control in controls)
        )
        if any(state is None for state, _ in answers):
            return None
        return set().union(*(state.names_heard() for state, _ in answers))

    def request_registration(self, nodes):
        """Ask balancers to write their missing entries to the store."""
        request = ReportRequest(self.entry.node, self.entry.address, register=True)
        addresses = [a for a, entry in self._peers.items() if entry.node in nodes]
        self._messages.send_all(addresses, request)

    async def _request_state(self, control, req):
        """Return the `SharedState` of another balancer or None, and a `FetchResult`."""
        body = msgspec.json.encode(req)
        try:
            reply = await send_request(
                control,
                "POST",
                STATE_PATH,
                body,
                TRANSFER_TIMEOUT_S,
                FETCH_TIMEOUT_S,
                keeps_open=True,
            )
            if reply.status == 503:
                event(log, "state-source-busy", source=control)
                return None, FetchResult.BUSY
            state = msgspec.json.decode(reply.body, type=SharedState)
        except (HttpError, msgspec.DecodeError) as exc:
            warn(log, "state-not-fetched", source=control, reason=exc)
            return None, FetchResult.FAILED
        return state, FetchResult.ARRIVED

    def state_reply(self, body):
        """Return an `HttpReply` with the state that another process needs.

        Parameters
        ----------
        body : bytes
            A `StateRequest`. It is empty if the requester is of an older version,
            which needs all, uncompressed.
        """
        if not body:
            return HttpReply(200, msgspec.json.encode(self._state(StateRequest())))
        try:
            req = msgspec.json.decode(body, type=StateRequest)
        except msgspec.DecodeError as exc:
            warn(log, "state-request-malformed", reason=exc)
            return HttpReply(400)
        slot = self._transfer_slots.acquire(self._now())
        if slot is None:
            return HttpReply(503)
        return msgspec.structs.replace(
            self._encoded_state(req),
            on_closed=lambda: self._transfer_slots.release(slot),
        )

    def _encoded_state(self, req):
        """Return the reply to a request; the same one is encoded once."""
        state = self._state(req)
        if self._last_reply is None or self._last_reply[0] != state:
            reply = deflated(HttpReply(200, msgspec.json.encode(state)))
            self._last_reply = state, reply
        return self._last_reply[1]

    def _state(self, req):
        if req.wants_heard:
            heard = {self.entry.node, *self.live_names()}
            heard |= self._agent_monitor.live_names()
            return SharedState(None, heard=tuple(sorted(heard)))
        routes = self._route_updater.routes if req.wants_routes else None
        change = None
        if routes is not None:
            if routes.version <= req.version:
                routes = None
            elif req.change_from:
                change = self._route_updater.change_since(req.change_from)
                routes = None if change else routes
        state = SharedState(
            routes, evacuation=self._evacuations.confirmed_state(), change=change
        )
        if not req.wants_entries:
            return state
        return msgspec.structs.replace(
            state,
            balancers=(self.entry, *self._peers.values()),
            targets=self._agent_monitor.entries(),
        )

    def live_names(self):
        """Return the names of the peers that have sent gossip recently."""
        return [
            entry.node
            for address, entry in self._peers.items()
            if self._is_live(address)
        ]

    def is_ready(self):
        """Return whether this balancer should receive new flows."""
        if self.leaving or self._route_updater.routes is None:
            return False
        peer_counts = [
            heard
            for address, heard in self._live_agent_counts.items()
            if self._is_live(address)
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

    def _is_live(self, address):
        """Whether a peer has sent gossip recently, or has just been added."""
        return self._now() - self._last_heard[address] <= SILENCE_TIMEOUT_S

    def _add_peer(self, entry):
        event(log, "balancer-known", balancer=entry.node, address=entry.address)
        self._lost.discard(entry.address)
        self._peers[entry.address] = entry
        self._last_heard[entry.address] = self._now()

    def _remove_expired(self):
        now = self._now()
        for address, at in list(self._last_heard.items()):
            if now - at > PEER_EXPIRY_S:
                del self._last_heard[address]
                self._incarnations.pop(address, None)
                self._live_agent_counts.pop(address, None)
                self._agent_digests.pop(address, None)
                entry = self._peers.pop(address)
                self._lost.add(address, now)
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
            # A balancer that starts waits for what the others know.
            self.send_gossip((msg.address,))
        elif (
            self._incarnations.get(msg.address) == msg.incarnation
            and now - self._last_heard[msg.address] > SILENCE_TIMEOUT_S
        ):
            self.on_return(msg.node)
        self._incarnations[msg.address] = msg.incarnation
        self._last_heard[msg.address] = now
        self._live_agent_counts[msg.address] = msg.live_agent_count
        self._agent_digests[msg.address] = msg.agents_digest
        self._evacuations.merge(msg.evacuation, f"balancer {msg.node}")
        self._route_updater.record_peer_read(msg.node, msg.read_age_ms / 1000, now)
        self._eras.learn(msg.store_era, now)
        wants_entries = self._fetch_schedule.fetches_agents(
            msg.node,
            msg.agents_digest,
            self._agent_monitor.digest(),
            self._agent_monitor.is_complete(),
            now,
        )
        wants_routes = self._fetch_schedule.fetches_configuration(
            msg.version, self._route_updater.version, now
        )
        if wants_entries or wants_routes:
            task = asyncio.get_running_loop().create_task(
                self._fetch_from_peer(msg, wants_entries, wants_routes)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fetch_from_peer(self, msg, wants_entries, wants_routes):
        result = FetchResult.FAILED
        try:
            result = await self.fetch_state(msg.control, wants_entries)
        finally:
            if wants_routes:
                self._fetch_schedule.end_configuration_fetch(result, self._now())
        if result is not FetchResult.ARRIVED:
            self._fetch_schedule.forget(msg.node)

    def _now(self):
        return asyncio.get_running_loop().time()
