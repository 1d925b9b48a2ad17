"""Claims idempotency keys on behalf of the requests of one agent."""

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

TICK_S = 0.02
EXPIRE_S = 10.0
CLAIM_TIMEOUT_S = 1.0
INQUIRY_WAIT_S = 1.0
INQUIRY_POLL_S = 0.01
SETTLED = frozenset(
    {
        ClaimStatus.FINISHED,
        ClaimStatus.RELEASED,
        ClaimStatus.LOST,
        ClaimStatus.FORGOTTEN,
    }
)


@dataclass(frozen=True, slots=True)
class Acquired:
    """The request holds its key and may be dispatched once."""

    claim: ClaimId


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another attempt holds the key; ``report`` is its final word."""

    holder: ClaimId
    report: ClaimReport


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The key could not be claimed; the request did not run."""

    reason: str


class ClaimManager:
    """Owns the acceptor and claimant of an agent and carries their messages.

    Parameters
    ----------
    node : Node
        The member parts.
    owner : Owner
        Knows the members of the service.
    key_ttl_s : float
        How long keys are remembered, in seconds.
    """

    def __init__(self, node, owner, key_ttl_s):
        me = ClaimMember(node.me.node, node.me.incarnation)
        self.acceptor = Acceptor(me, key_ttl_s)
        self.claimant = Claimant(me, node.rng)
        self._node = node
        self._owner = owner
        self._waiters = {}
        for kind in (Prepare, Accept, Release):
            node.peer.add_handler(kind, self._on_request)
        for kind in (Promise, Accepted, Reject):
            node.peer.add_handler(kind, self._on_answer)
        node.server.route(
            "GET", "/claims/status/{incarnation}/{sequence}", self._serve_status
        )

    async def run(self):
        """Repeat unanswered messages and forget expired keys, until cancelled."""
        expire_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            now = self._now()
            self._send(self.claimant.tick(now))
            if now >= expire_at:
                expire_at = now + EXPIRE_S
                self.acceptor.expire(now)

    async def acquire(self, key, deadline):
        """Claim a key, or find out what became of the attempt that holds it.

        Returns
        -------
        Acquired, HeldElsewhere or Unavailable
        """
        claim, actions = self.claimant.propose(key, self._now())
        if claim is None:
            return Unavailable("no-claim-view")
        self._send(actions)
        acquired = False
        try:
            while True:
                result = await self._decided(claim, deadline)
                if result is None:
                    return Unavailable("claim-timeout")
                if isinstance(result, Granted):
                    acquired = True
                    return Acquired(claim)
                report = await self._inquire(result.claim, deadline)
                if report.status not in (ClaimStatus.RELEASED, ClaimStatus.LOST):
                    return HeldElsewhere(result.claim, report)
                self._send(self.claimant.skip(claim, self._now()))
        finally:
            if not acquired:
                self.give_up(claim)

    def give_up(self, claim):
        """Make sure that a claim is never dispatched."""
        self._send(self.claimant.give_up(claim))

    def withdraw(self, claim):
        """Free the key of a request that could not be handed to the target."""
        self._send(self.claimant.withdraw(claim))

    def change_view(self, view):
        """Move open proposals to a newer view."""
        self._send(self.claimant.change_view(view, self._now()))

    def address_of(self, member, field="address"):
        """Return an address of a claim member, or None if it is not known."""
        view = self._owner.view
        found = view.by_node.get(member.node) if view else None
        if found is None or found.incarnation != member.incarnation:
            return None
        return getattr(found, field)

    async def _decided(self, claim, deadline):
        result = self.claimant.result(claim)
        if result is not None:
            return result
        fut = self._waiters[claim] = asyncio.get_running_loop().create_future()
        timeout = min(CLAIM_TIMEOUT_S, deadline - self._now())
        try:
            return await asyncio.wait_for(fut, max(timeout, 0.0))
        except TimeoutError:
            return None
        finally:
            self._waiters.pop(claim, None)

    async def _inquire(self, holder, deadline):
        path = f"/claims/status/{holder.incarnation}/{holder.sequence}"
        while True:
            report = await self._report(holder, path)
            if report.status in SETTLED or self._now() >= deadline:
                return report

    async def _report(self, holder, path):
        member = ClaimMember(holder.node, holder.incarnation)
        if member == self.claimant.me:
            return await self._settled(holder)
        address = self.address_of(member, "control")
        body = None
        if address is not None:
            body = await self._node.control.get(address, path)
        if body is None:
            return ClaimReport(ClaimStatus.FORGOTTEN)
        return msgspec.json.decode(body, type=ClaimReport)

    async def _settled(self, claim):
        end = self._now() + INQUIRY_WAIT_S
        while True:
            report = ClaimReport(*self.claimant.status(claim))
            if report.status in SETTLED or self._now() >= end:
                return report
            await asyncio.sleep(INQUIRY_POLL_S)

    async def _serve_status(self, req):
        claim = ClaimId(
            self._node.me.node,
            int(req.match_info["incarnation"]),
            int(req.match_info["sequence"]),
        )
        return json_response(await self._settled(claim))

    def _on_request(self, datagram, msg, addr):
        answer = self.acceptor.handle(msg, self._now())
        if answer is not None:
            self._node.peer.send_control(addr, answer)

    def _on_answer(self, datagram, msg, addr):
        sender = ClaimMember(datagram.sender, datagram.incarnation)
        self._send(self.claimant.handle(sender, msg, self._now()))
        claim = msg.ballot.claim
        result = self.claimant.result(claim)
        fut = self._waiters.get(claim)
        if result is not None and fut is not None and not fut.done():
            fut.set_result(result)

    def _send(self, actions):
        for action in actions:
            address = self.address_of(action.to)
            if address is not None:
                self._node.peer.send_control(address, action.msg)

    def _now(self):
        return asyncio.get_running_loop().time()
