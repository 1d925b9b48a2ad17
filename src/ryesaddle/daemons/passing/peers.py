"""What balancers tell each other."""

import asyncio
import logging

import msgspec

from ryesaddle.daemons.passing.http import HttpError, HttpReply, call
from ryesaddle.internal.address import Address
from ryesaddle.internal.log import event, warn
from ryesaddle.internal.membership.directory import TargetEntry
from ryesaddle.internal.membership.isolation import is_isolated
from ryesaddle.internal.routing.route import RouteTable
from ryesaddle.internal.wire.passing import Gossip

log = logging.getLogger(__name__)

GOSSIP_S = 0.25  # four rounds within the second that counts a balancer as silent
SILENT_S = 1.0  # four rounds of gossip
FORGET_S = 15.0  # longer than any outage that a balancer comes back from
FETCH_TIMEOUT_S = 1.0  # a neighbour answers in milliseconds
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


class Peers:
    """Tells other balancers of this one, and fetches what they have more.

    Parameters
    ----------
    entry : BalancerEntry
        This balancer.
    incarnation : int
        Distinguishes its runs.
    messages : MessageSocket
        Carries gossip.
    follower : RouteFollower
        The configuration.
    agents : Agents
        The agents that are known.
    """

    def __init__(self, entry, incarnation, messages, follower, agents):
        self.entry = entry
        self._incarnation = incarnation
        self._messages = messages
        self._follower = follower
        self._agents = agents
        self._others = {}
        self._heard_at = {}
        self._agents_heard = {}
        self._isolated = False
        self._compared = {}
        self._fetching = False
        self._tasks = set()
        self.leaving = False
        messages.on(Gossip, self._on_gossip)

    def know(self, entries):
        """Tell these balancers of this one from now on."""
        news = False
        for entry in entries:
            if entry.node != self.entry.node and entry.address not in self._others:
                self._add(entry)
                news = True
        if news:
            self.tell()

    async def run(self):
        """Tell the others until cancelled."""
        while True:
            self.tell()
            self._forget()
            await asyncio.sleep(GOSSIP_S)

    def tell(self):
        """Tell the others now."""
        msg = Gossip(
            node=self.entry.node,
            data_centre=self.entry.data_centre,
            incarnation=self._incarnation,
            address=self.entry.address,
            control=self.entry.control,
            version=self._follower.version,
            read_age_ms=round(self._follower.read_age_s(self._now()) * 1000),
            agents_digest=self._agents.digest(),
            live_agent_count=len(self._agents.live()),
            leaving=self.leaving,
        )
        self._messages.send_all(self._others, msg)

    async def fetch(self, control):
        """Take the state of another balancer; return whether it answered."""
        try:
            reply = await call(control, "GET", STATE_PATH, timeout_s=FETCH_TIMEOUT_S)
            state = msgspec.json.decode(reply.body, type=SharedState)
        except (HttpError, msgspec.DecodeError) as exc:
            warn(log, "state-not-fetched", source=control, reason=exc)
            return False
        if state.routes is not None:
            self._follower.install(state.routes, f"balancer {control}")
        self.know(state.balancers)
        self._agents.know(state.targets)
        return True

    def state(self):
        """Return an `HttpReply` with what another balancer needs to start."""
        balancers = (self.entry, *self._others.values())
        state = SharedState(self._follower.routes, balancers, self._agents.entries())
        return HttpReply(200, msgspec.json.encode(state))

    def live(self):
        """Return the names of the balancers that are heard."""
        now = self._now()
        return [
            entry.node
            for address, entry in self._others.items()
            if now - self._heard_at[address] <= SILENT_S
        ]

    def is_ready(self):
        """Whether new flows are to be sent to this balancer."""
        if self.leaving or self._follower.routes is None:
            return False
        now = self._now()
        others = [
            heard
            for address, heard in self._agents_heard.items()
            if now - self._heard_at[address] <= SILENT_S
        ]
        heard, known = len(self._agents.live()), self._agents.count()
        isolated = is_isolated(heard, known, others)
        if isolated != self._isolated:
            self._isolated = isolated
            most = max(others, default=0)
            name = "isolated" if isolated else "not-isolated"
            event(log, name, heard=heard, known=known, heard_by_others=most)
        return not isolated

    def _add(self, entry):
        event(log, "balancer-known", balancer=entry.node, address=entry.address)
        self._others[entry.address] = entry
        self._heard_at[entry.address] = self._now()

    def _forget(self):
        now = self._now()
        for address, at in list(self._heard_at.items()):
            if now - at > FORGET_S:
                del self._heard_at[address]
                self._agents_heard.pop(address, None)
                entry = self._others.pop(address)
                event(log, "balancer-forgotten", balancer=entry.node, address=address)

    def _on_gossip(self, msg, addr):
        now = self._now()
        if msg.address not in self._others:
            self._add(
                BalancerEntry(
                    node=msg.node,
                    data_centre=msg.data_centre,
                    address=msg.address,
                    control=msg.control,
                )
            )
        self._heard_at[msg.address] = now
        self._agents_heard[msg.address] = msg.live_agent_count
        self._follower.heard(msg.node, msg.read_age_ms / 1000, now)
        if self._has_more(msg) and not self._fetching:
            self._compared[msg.node] = msg.agents_digest
            self._fetching = True
            task = asyncio.get_running_loop().create_task(self._fetch_once(msg))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _has_more(self, msg):
        if msg.version > self._follower.version:
            return True
        # A difference that remains after a fetch, such as agents that are gone, is
        # not looked at again.
        return msg.agents_digest not in (
            self._agents.digest(),
            self._compared.get(msg.node),
        )

    async def _fetch_once(self, msg):
        try:
            await self.fetch(msg.control)
        finally:
            self._fetching = False

    def _now(self):
        return asyncio.get_running_loop().time()
