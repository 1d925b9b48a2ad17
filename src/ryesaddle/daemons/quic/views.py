"""Moves the claims of a service from one set of agents to the next."""

import asyncio
import logging

import msgspec

from ryesaddle.daemons.quic.control import json_response
from ryesaddle.errors import ConflictError, StoreError
from ryesaddle.internal.claims.handover import Handover, combine
from ryesaddle.internal.claims.identity import ClaimMember
from ryesaddle.internal.claims.view import ClaimView
from ryesaddle.internal.log import event, warn

log = logging.getLogger(__name__)

CLAIM_VIEWS = "claimviews"
PERIOD_S = 0.3
LOST_AFTER_S = 5.0


class InstallRequest(msgspec.Struct, frozen=True):
    """A view and the claims that its members begin with."""

    view: ClaimView
    handover: Handover


class ClaimViewCoordinator:
    """Coordinates view changes while this agent is the first of its service.

    Any agent may do so at any time: a view exists only once the object API has
    taken it by conditional update, and members that disagree on who coordinates
    do no harm.

    Parameters
    ----------
    node : Node
        The member parts.
    owner : Owner
        Knows the members of the service.
    claims : ClaimManager
        The acceptor and claimant of this agent.
    """

    def __init__(self, node, owner, claims):
        self._node = node
        self._owner = owner
        self._claims = claims
        self._me = claims.claimant.me
        self._committed = None
        self._version = None
        self._handover = None
        self._installed = set()
        self._uncovered_since = None
        node.server.route("GET", "/claims/view", self._serve_view)
        node.server.route("POST", "/claims/seal/{number}", self._serve_seal)
        node.server.route("POST", "/claims/install", self._serve_install)

    async def run(self):
        """Bring the claim view in line with the members, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            try:
                await self._advance()
            except ConflictError:
                self._forget()
            except StoreError as exc:
                warn(log, "claim-view-waits", reason=exc)

    async def _advance(self):
        wanted = self._wanted()
        if not wanted or wanted[0] != self._me:
            self._forget()
            return
        if self._version is None:
            await self._read()
        if self._committed is None:
            await self._commit(ClaimView(1, wanted), Handover())
        await self._install(wanted)
        if self._committed.members != wanted:
            await self._change(wanted)

    def _wanted(self):
        members = self._owner.view.members if self._owner.view else ()
        staying = [m for m in members if not m.draining] or members
        return tuple(sorted(ClaimMember(m.node, m.incarnation) for m in staying))

    def _forget(self):
        self._uncovered_since = None
        self._version = self._committed = self._handover = None
        self._installed = set()

    async def _read(self):
        obj = await self._node.store.get(CLAIM_VIEWS, self._node.me.service)
        self._committed = msgspec.convert(obj.spec, ClaimView) if obj else None
        self._version = obj.metadata.resource_version if obj else ""

    async def _commit(self, view, handover):
        obj = await self._node.store.write(
            CLAIM_VIEWS,
            self._node.me.service,
            msgspec.to_builtins(view),
            self._version,
        )
        self._committed, self._version = view, obj.metadata.resource_version
        self._handover, self._installed = handover, set()
        event(
            log,
            "claim-view",
            service=self._node.me.service,
            number=view.number,
            members=",".join(m.node for m in view.members),
            lost=view.lost,
        )

    async def _install(self, wanted):
        view = self._committed
        missing = [m for m in view.members if m in wanted and m not in self._installed]
        if not missing:
            return
        for member in missing:
            if await self._number_of(member) == view.number:
                self._installed.add(member)
        missing = [m for m in missing if m not in self._installed]
        handover = await self._handover_for(view) if missing else None
        if handover is None:
            return
        installation = InstallRequest(view, handover)
        for member in missing:
            if await self._post(member, "/claims/install", installation):
                self._installed.add(member)

    async def _handover_for(self, view):
        if self._handover is None:
            if view.lost or not view.previous:
                self._handover = Handover()
            else:
                old = ClaimView(view.number - 1, view.previous)
                found = await self._seal(old)
                if old.is_covered_by(found):
                    self._handover = combine(found.values())
        return self._handover

    async def _change(self, wanted):
        old = self._committed
        found = await self._seal(old)
        covered = old.is_covered_by(found)
        if covered:
            self._uncovered_since = None
        elif await self._may_recover(old, found) or not self._is_lost_for_long():
            return
        handover = combine(found.values()) if covered else Handover()
        view = ClaimView(old.number + 1, wanted, old.members, lost=not covered)
        await self._commit(view, handover)
        await self._install(wanted)

    def _is_lost_for_long(self):
        # A view that is still spreading may lack members that are well.
        now = asyncio.get_running_loop().time()
        if self._uncovered_since is None:
            self._uncovered_since = now
        return now - self._uncovered_since >= LOST_AFTER_S

    async def _may_recover(self, view, found):
        """Whether the members without a handover may yet have or get one."""
        for member in set(view.members) - found.keys():
            if self._claims.address_of(member) is None:
                continue
            if self._handover is not None:
                return True  # It will be given the view if it lacks it.
            if await self._number_of(member) in (None, view.number):
                return True  # It has not answered, or holds the view.
        return False

    async def _seal(self, view):
        path = f"/claims/seal/{view.number}"
        bodies = await asyncio.gather(
            *(self._post(member, path, None) for member in view.members)
        )
        return {
            member: msgspec.json.decode(body, type=Handover)
            for member, body in zip(view.members, bodies)
            if body is not None
        }

    async def _number_of(self, member):
        """Return the number of the view that a member holds, None if it is silent."""
        address = self._claims.address_of(member, "control")
        body = address and await self._node.control.get(address, "/claims/view")
        return msgspec.json.decode(body, type=int) if body else None

    async def _post(self, member, path, value):
        address = self._claims.address_of(member, "control")
        if address is None:
            return None
        return await self._node.control.post(address, path, value)

    async def _serve_view(self, req):
        view = self._claims.acceptor.view
        return json_response(view.number if view else 0)

    async def _serve_seal(self, req):
        now = asyncio.get_running_loop().time()
        handover = self._claims.acceptor.seal(int(req.match_info["number"]), now)
        if handover is None:
            return json_response({"error": "this agent does not hold that view"}, 409)
        return json_response(handover)

    async def _serve_install(self, req):
        now = asyncio.get_running_loop().time()
        asked = msgspec.json.decode(await req.read(), type=InstallRequest)
        if not self._claims.acceptor.install(asked.view, asked.handover, now):
            return json_response({"error": "this agent is not in that view"}, 409)
        self._claims.change_view(asked.view)
        return json_response(asked.view.number)
