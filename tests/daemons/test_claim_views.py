import types
import unittest
from unittest import mock

import msgspec

from ryesaddle.daemons.quic.claim_views import ClaimViewCoordinator
from ryesaddle.internal.claims.handover import Handover
from ryesaddle.internal.claims.identity import ClaimMember
from ryesaddle.internal.claims.view import ClaimView
from ryesaddle.internal.routing.view import ServiceView
from ryesaddle.internal.store.object import new_object
from tests.support.flows import SERVICE, member

ME, OTHER, DEAD = (ClaimMember(name, 1) for name in ("a", "b", "x"))


class ClaimViewCoordinatorTest(unittest.IsolatedAsyncioTestCase):
    def create_coordinator(self, other_view_number):
        """Return the coordinator of a view that was never installed.

        The only member of the previous view is gone. ``other_view_number`` is the
        number of the view that the other member reports, None if it is silent.
        """
        self.written = []
        committed = ClaimView(2, (ME, OTHER), previous=(DEAD,))
        stored = new_object("claimviews", SERVICE, msgspec.to_builtins(committed), "7")

        async def write(kind, name, spec, version):
            self.written.append(msgspec.convert(spec, ClaimView))
            return new_object(kind, name, spec, "8")

        async def get(address, path):
            number = 0 if address == "control-a" else other_view_number
            return None if number is None else str(number).encode()

        view = ServiceView(SERVICE, 1, (member("a"), member("b"), member("c")))
        claims = types.SimpleNamespace(
            claimant=types.SimpleNamespace(me=ME),
            address_of=lambda m, field="": None if m == DEAD else f"control-{m.node}",
        )
        node = types.SimpleNamespace(
            me=member("a"),
            server=mock.Mock(),
            store=types.SimpleNamespace(
                get=mock.AsyncMock(return_value=stored), write=write
            ),
            control=types.SimpleNamespace(
                get=get, post=mock.AsyncMock(return_value=None)
            ),
        )
        return ClaimViewCoordinator(node, types.SimpleNamespace(view=view), claims)

    async def test_claims_are_lost_when_their_view_can_never_be_installed(self):
        coordinator = self.create_coordinator(other_view_number=0)
        await coordinator._reconcile()
        self.assertEqual(
            self.written, [], "members may not hold a view that is being installed"
        )
        with mock.patch("ryesaddle.daemons.quic.claim_views.CLAIM_LOSS_TIMEOUT_S", 0.0):
            await coordinator._reconcile()
        self.assertEqual([(v.number, v.lost) for v in self.written], [(3, True)])

    async def test_claims_are_lost_with_their_members_despite_an_earlier_handover(
        self,
    ):
        coordinator = self.create_coordinator(other_view_number=0)
        await coordinator._read_view()
        coordinator._committed = ClaimView(2, (DEAD,))
        coordinator._handover = Handover()
        with mock.patch("ryesaddle.daemons.quic.claim_views.CLAIM_LOSS_TIMEOUT_S", 0.0):
            await coordinator._change_members((ME, OTHER))
        self.assertEqual([(v.number, v.lost) for v in self.written], [(3, True)])

    async def test_a_member_that_does_not_answer_is_waited_for(self):
        await self.create_coordinator(other_view_number=None)._reconcile()
        self.assertEqual(self.written, [])

    async def test_a_member_that_holds_the_view_is_waited_for(self):
        await self.create_coordinator(other_view_number=2)._reconcile()
        self.assertEqual(self.written, [])
