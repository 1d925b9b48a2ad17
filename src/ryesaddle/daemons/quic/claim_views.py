"""Changes the claim view of a service when its agents change."""

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
RECONCILE_INTERVAL_S = 0.3
CLAIM_LOSS_TIMEOUT_S = 5.0


class InstallRequest(msgspec.Struct, frozen=True):
    """Request to install a view, with the claims from the previous view."""

    view: ClaimView
    handover: Handover


class ClaimViewCoordinator:
    """Coordinates view changes if this agent is the first member of its service.

    It is safe for several agents to coordinate concurrently, for instance while they
    disagree on the members: a view exists only after a conditional update of the
    object API has stored it.

    Parameters
    ----------
    node : Node
        The components shared by balancers and agents.
    owner : Owner
        Provides the current view of the service.
    claims : ClaimManager
        Holds the acceptor and the claimant of this agent.
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
        """Update the claim view to match the members, until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            try:
                await self._reconcile()
            except ConflictError:
                self._reset()
            except StoreError as exc:
                warn(log, "claim-view-waits", reason=exc)

    async def _reconcile(self):
        desired = self._desired_members()
        if not desired or desired[0] != self._me:
            self._reset()
            return
        if self._version is None:
            await self._read_view()
        if self._committed is None:
            await self._commit_view(ClaimView(1, desired), Handover())
        await self._install_view(desired)
        if self._committed.members != desired:
            await self._change_members(desired)

    def _desired_members(self):
        members = self._owner.view.members if self._owner.view else ()
        remaining = [m for m in members if not m.draining] or members
        return tuple(sorted(ClaimMember(m.node, m.incarnation) for m in remaining))

    def _reset(self):
        self._uncovered_since = None
        self._version = self._committed = self._handover = None
        self._installed = set()

    async def _read_view(self):
        obj = await self._node.store.get(CLAIM_VIEWS, self._node.me.service)
        self._committed = msgspec.convert(obj.spec, ClaimView) if obj else None
        self._version = obj.metadata.resource_version if obj else ""

    async def _commit_view(self, view, handover):
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

    async def _install_view(self, desired):
        view = self._committed
        missing = [m for m in view.members if m in desired and m not in self._installed]
        if not missing:
            return
        for member in missing:
            if await self._fetch_view_number(member) == view.number:
                self._installed.add(member)
        missing = [m for m in missing if m not in self._installed]
        handover = await self._collect_handover(view) if missing else None
        if handover is None:
            return
        installation = InstallRequest(view, handover)
        for member in missing:
            if await self._post(member, "/claims/install", installation):
                self._installed.add(member)

    async def _collect_handover(self, view):
        if self._handover is None:
            if view.lost or not view.previous:
                self._handover = Handover()
            else:
                old = ClaimView(view.number - 1, view.previous)
                handovers = await self._seal(old)
                if old.is_covered_by(handovers):
                    self._handover = combine(handovers.values())
        return self._handover

    async def _change_members(self, desired):
        old = self._committed
        handovers = await self._seal(old)
        covered = old.is_covered_by(handovers)
        if covered:
            self._uncovered_since = None
        elif (
            await self._may_still_be_covered(old, handovers)
            or not self._has_loss_timeout_passed()
        ):
            return
        handover = combine(handovers.values()) if covered else Handover()
        view = ClaimView(old.number + 1, desired, old.members, lost=not covered)
        await self._commit_view(view, handover)
        await self._install_view(desired)

    def _has_loss_timeout_passed(self):
        # While a view is being installed, healthy members may not hold it yet.
        now = asyncio.get_running_loop().time()
        if self._uncovered_since is None:
            self._uncovered_since = now
        return now - self._uncovered_since >= CLAIM_LOSS_TIMEOUT_S

    async def _may_still_be_covered(self, view, handovers):
        """Return whether members without a handover may still provide one."""
        for member in set(view.members) - handovers.keys():
            if self._claims.address_of(member) is None:
                continue
            if self._handover is not None:
                return True  # `_install_view` sends it the view if it lacks it.
            if await self._fetch_view_number(member) in (None, view.number):
                return True  # It did not answer, or it holds the view.
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

    async def _fetch_view_number(self, member):
        """Return the number of the view that a member holds, or None on no response."""
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
        installation = msgspec.json.decode(await req.read(), type=InstallRequest)
        if not self._claims.acceptor.install(
            installation.view, installation.handover, now
        ):
            return json_response({"error": "this agent is not in that view"}, 409)
        self._claims.change_view(installation.view)
        return json_response(installation.view.number)
