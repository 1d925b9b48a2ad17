import types
import unittest
from unittest import mock

import msgspec

from ryesaddle.daemons.quic.views import ClaimViewCoordinator
from ryesaddle.internal.claims.handover import Handover
from ryesaddle.internal.claims.identity import ClaimMember
from ryesaddle.internal.claims.view import ClaimView
from ryesaddle.internal.routing.view import ServiceView
from ryesaddle.internal.store.object import new_object
from tests.support.flows import SERVICE, member

ME, OTHER, DEAD = (ClaimMember(name, 1) for name in ("a", "b", "x"))


class ClaimViewCoordinatorTest(unittest.IsolatedAsyncioTestCase):
    def coordinate(self, number_of_other):
        """Return the coordinator of a view that was never installed.

        Its claims are with a member that is gone; ``number_of_other`` is the view
        that the other member says it holds, None if it does not answer.
        """
        self.written = []
        committed = ClaimView(2, (ME, OTHER), previous=(DEAD,))
        held = new_object("claimviews", SERVICE, msgspec.to_builtins(committed), "7")

        async def write(kind, name, spec, version):
            self.written.append(msgspec.convert(spec, ClaimView))
            return new_object(kind, name, spec, "8")

        async def get(address, path):
            number = 0 if address == "control-a" else number_of_other
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
                get=mock.AsyncMock(return_value=held), write=write
            ),
            control=types.SimpleNamespace(
                get=get, post=mock.AsyncMock(return_value=None)
            ),
        )
        return ClaimViewCoordinator(node, types.SimpleNamespace(view=view), claims)

    async def test_a_view_that_can_never_be_installed_is_given_up_as_lost(self):
        views = self.coordinate(number_of_other=0)
        await views._advance()
        self.assertEqual(self.written, [], "a view that spreads may lack members")
        with mock.patch("ryesaddle.daemons.quic.views.LOST_AFTER_S", 0.0):
            await views._advance()
        self.assertEqual([(v.number, v.lost) for v in self.written], [(3, True)])

    async def test_claims_of_members_that_are_gone_are_lost_though_once_handed_over(
        self,
    ):
        views = self.coordinate(number_of_other=0)
        await views._read()
        views._committed = ClaimView(2, (DEAD,))
        views._handover = Handover()
        with mock.patch("ryesaddle.daemons.quic.views.LOST_AFTER_S", 0.0):
            await views._change((ME, OTHER))
        self.assertEqual([(v.number, v.lost) for v in self.written], [(3, True)])

    async def test_a_member_that_does_not_answer_is_waited_for(self):
        await self.coordinate(number_of_other=None)._advance()
        self.assertEqual(self.written, [])

    async def test_a_member_that_holds_the_view_is_waited_for(self):
        await self.coordinate(number_of_other=2)._advance()
        self.assertEqual(self.written, [])
