"""Claims idempotency keys for the requests of one agent."""

import asyncio
from dataclasses import dataclass

import msgspec

from ryesaddle.daemons.quic.control import json_response
from ryesaddle.internal.claims.acceptor import Acceptor
from ryesaddle.internal.claims.claimant import Claimant, ClaimStatus
from ryesaddle.internal.claims.identity import ClaimId, ClaimMember
from ryesaddle.internal.claims.message import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    Reject,
    Release,
)
from ryesaddle.internal.claims.proposal import Granted
from ryesaddle.internal.claims.stored_response import ClaimReport

TICK_INTERVAL_S = 0.02
EXPIRE_INTERVAL_S = 10.0
CLAIM_TIMEOUT_S = 1.0
STATUS_WAIT_S = 1.0
STATUS_POLL_INTERVAL_S = 0.01
FINAL_STATUSES = frozenset(
    {
        ClaimStatus.FINISHED,
        ClaimStatus.RELEASED,
        ClaimStatus.LOST,
        ClaimStatus.FORGOTTEN,
    }
)


@dataclass(frozen=True, slots=True)
class Acquired:
    """The request holds its key and may be dispatched at most once."""

    claim: ClaimId


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another attempt holds the key.

    ``report`` is its final status, or its status when the deadline passed.
    """

    holder: ClaimId
    report: ClaimReport


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The key could not be claimed, so this attempt was not dispatched."""

    reason: str


class ClaimManager:
    """Exchanges the messages of the acceptor and the claimant of an agent.

    Parameters
    ----------
    node : Node
        The components shared by balancers and agents.
    owner : Owner
        Provides the current view of the service.
    key_ttl_s : float
        Time for which keys are kept, in seconds.
    """

    def __init__(self, node, owner, key_ttl_s):
        me = ClaimMember(node.me.node, node.me.incarnation)
        self.acceptor = Acceptor(me, key_ttl_s)
        self.claimant = Claimant(me, node.rng)
        self._node = node
        self._owner = owner
        self._waiters = {}
        for kind in (Prepare, Accept, Release):
            node.peer.add_handler(kind, self._on_claimant_message)
        for kind in (Promise, Accepted, Reject):
            node.peer.add_handler(kind, self._on_acceptor_message)
        node.server.route(
            "GET", "/claims/status/{incarnation}/{sequence}", self._serve_status
        )

    async def run(self):
        """Resend unanswered messages and remove expired keys, until cancelled."""
        expire_at = 0.0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._now()
            self._send_messages(self.claimant.tick(now))
            if now >= expire_at:
                expire_at = now + EXPIRE_INTERVAL_S
                self.acceptor.expire(now)

    async def acquire(self, key, deadline):
        """Claim a key, or query the status of the attempt that holds it.

        Returns
        -------
        Acquired, HeldElsewhere or Unavailable
        """
        claim, actions = self.claimant.propose(key, self._now())
        if claim is None:
            return Unavailable("no-claim-view")
        self._send_messages(actions)
        acquired = False
        try:
            while True:
                result = await self._wait_for_decision(claim, deadline)
                if result is None:
                    return Unavailable("claim-timeout")
                if isinstance(result, Granted):
                    acquired = True
                    return Acquired(claim)
                report = await self._query_holder(result.claim, deadline)
                if report.status not in (ClaimStatus.RELEASED, ClaimStatus.LOST):
                    return HeldElsewhere(result.claim, report)
                self._send_messages(self.claimant.skip(claim, self._now()))
        finally:
            if not acquired:
                self.give_up(claim)

    def give_up(self, claim):
        """Give up a claim that was not dispatched, so that it never will be."""
        self._send_messages(self.claimant.give_up(claim))

    def withdraw(self, claim):
        """Release the key of a request that could not be sent to the target."""
        self._send_messages(self.claimant.withdraw(claim))

    def change_view(self, view):
        """Continue open proposals in a newer view."""
        self._send_messages(self.claimant.change_view(view, self._now()))

    def address_of(self, member, field="address"):
        """Return an address of a claim member, or None if it is unknown."""
        view = self._owner.view
        known = view.by_node.get(member.node) if view else None
        if known is None or known.incarnation != member.incarnation:
            return None
        return getattr(known, field)

    async def _wait_for_decision(self, claim, deadline):
        result = self.claimant.result(claim)
        if result is not None:
            return result
        future = self._waiters[claim] = asyncio.get_running_loop().create_future()
        timeout = min(CLAIM_TIMEOUT_S, deadline - self._now())
        try:
            return await asyncio.wait_for(future, max(timeout, 0.0))
        except TimeoutError:
            return None
        finally:
            self._waiters.pop(claim, None)

    async def _query_holder(self, holder, deadline):
        path = f"/claims/status/{holder.incarnation}/{holder.sequence}"
        while True:
            report = await self._fetch_report(holder, path)
            if report.status in FINAL_STATUSES or self._now() >= deadline:
                return report

    async def _fetch_report(self, holder, path):
        member = ClaimMember(holder.node, holder.incarnation)
        if member == self.claimant.me:
            return await self._wait_for_final_status(holder)
        address = self.address_of(member, "control")
        body = None
        if address is not None:
            body = await self._node.control.get(address, path)
        if body is None:
            return ClaimReport(ClaimStatus.FORGOTTEN)
        return msgspec.json.decode(body, type=ClaimReport)

    async def _wait_for_final_status(self, claim):
        wait_until = self._now() + STATUS_WAIT_S
        while True:
            report = ClaimReport(*self.claimant.status(claim))
            if report.status in FINAL_STATUSES or self._now() >= wait_until:
                return report
            await asyncio.sleep(STATUS_POLL_INTERVAL_S)

    async def _serve_status(self, req):
        claim = ClaimId(
            self._node.me.node,
            int(req.match_info["incarnation"]),
            int(req.match_info["sequence"]),
        )
        return json_response(await self._wait_for_final_status(claim))

    def _on_claimant_message(self, datagram, msg, addr):
        answer = self.acceptor.handle(msg, self._now())
        if answer is not None:
            self._node.peer.send_control(addr, answer)

    def _on_acceptor_message(self, datagram, msg, addr):
        sender = ClaimMember(datagram.sender, datagram.incarnation)
        self._send_messages(self.claimant.handle(sender, msg, self._now()))
        claim = msg.ballot.claim
        result = self.claimant.result(claim)
        future = self._waiters.get(claim)
        if result is not None and future is not None and not future.done():
            future.set_result(result)

    def _send_messages(self, actions):
        for action in actions:
            address = self.address_of(action.to)
            if address is not None:
                self._node.peer.send_control(address, action.msg)

    def _now(self):
        return asyncio.get_running_loop().time()
