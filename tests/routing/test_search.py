import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.search import (
    ANSWER_S,
    FORGET_S,
    FREE_QUESTIONS,
    MAX_PACKETS,
    QUESTION_BURST,
    Ask,
    Nowhere,
    Searches,
    Unknown,
)

FRONT = Address("198.18.0.1", 443)


def flow(number=1):
    return Flow(Address("100.64.0.7", number), FRONT)


def member(number):
    address = Address("10.0.0.1", 7_000 + number)
    return Member(
        node=f"side-{number}",
        incarnation=0,
        address=address,
        control=address,
        data_centre="dc",
    )


MEMBERS = [member(number) for number in range(10)]


class SearchesTest(unittest.TestCase):
    def setUp(self):
        self.searches = Searches()

    def add(self, number=1, now=0.0):
        return self.searches.add(Packet(flow(number)), b"packet", "case-desk", now)

    def ask(self, members=MEMBERS, complete=True, now=0.0):
        return self.searches.next(flow(), members, complete, now)

    def refuse_all(self, members, now=0.0):
        for _ in members:
            decision = self.ask(now=now, members=members)
            self.assertIsInstance(decision, Ask)
            self.searches.refused(flow(), decision.node)

    def test_agents_are_asked_in_their_order(self):
        self.add()
        for number in range(3):
            self.assertEqual(self.ask(), Ask(f"side-{number}", number))
            self.assertTrue(self.searches.refused(flow(), f"side-{number}"))

    def test_a_flow_that_all_refuse_is_nowhere(self):
        self.add()
        self.refuse_all(MEMBERS[:4])
        self.assertEqual(self.ask(MEMBERS[:4]), Nowhere())
        self.assertEqual(len(self.searches), 0)

    def test_a_flow_is_not_nowhere_while_agents_may_be_unknown(self):
        self.add()
        self.refuse_all(MEMBERS[:4])
        self.assertEqual(
            self.ask(MEMBERS[:4], complete=False), Unknown("agents-unknown")
        )
        self.assertEqual(self.ask([], complete=True), Unknown("agents-unknown"))

    def test_a_silent_agent_is_passed_over_and_asked_again_later(self):
        self.add()
        self.ask(MEMBERS[:2])
        self.assertEqual(self.searches.overdue(ANSWER_S / 2), [])
        self.assertEqual(self.searches.overdue(ANSWER_S), [flow()])
        self.assertEqual(self.ask(MEMBERS[:2]), Ask("side-1", 1))
        self.searches.refused(flow(), "side-1")
        self.assertEqual(self.ask(MEMBERS[:2]), Unknown("agents-silent"))
        self.add()
        self.assertEqual(self.ask(MEMBERS[:2]), Ask("side-0", 1))

    def test_a_late_answer_still_counts(self):
        self.add()
        self.ask(MEMBERS[:2])
        self.searches.overdue(ANSWER_S)
        self.ask(MEMBERS[:2])
        self.assertFalse(self.searches.refused(flow(), "side-0"))
        self.assertTrue(self.searches.refused(flow(), "side-1"))
        self.assertEqual(self.ask(MEMBERS[:2]), Nowhere())

    def test_packets_that_come_meanwhile_wait(self):
        self.assertTrue(self.add())
        self.ask()
        for _ in range(2 * MAX_PACKETS):
            self.assertFalse(self.add())
        search = self.searches.held(flow())
        self.assertEqual(len(search.packets), MAX_PACKETS)
        self.assertIsNone(self.searches.held(flow()))

    def test_each_agent_is_asked_once_however_often_the_caller_sends(self):
        asked = []
        for _ in range(5):
            self.add()
            while isinstance(decision := self.ask(complete=False), Ask):
                asked.append(decision.node)
                self.searches.refused(flow(), decision.node)
        self.assertEqual(asked, [m.node for m in MEMBERS])

    def questions(self, number):
        """Ask for one flow until the search ends or pauses; return how often."""
        self.add(number)
        for count in range(len(MEMBERS) + 1):
            decision = self.searches.next(flow(number), MEMBERS, True, 0.0)
            if not isinstance(decision, Ask):
                return count
            self.searches.refused(flow(number), decision.node)
        raise AssertionError("search does not end")

    def test_far_searches_share_a_bounded_rate_and_near_ones_are_free(self):
        asked = [self.questions(number) for number in range(1_000)]
        self.assertEqual(min(asked), FREE_QUESTIONS)
        self.assertEqual(sum(asked), 1_000 * FREE_QUESTIONS + QUESTION_BURST)

    def test_a_search_that_nobody_needs_is_forgotten(self):
        self.add()
        self.ask(MEMBERS[:1])
        self.searches.refused(flow(), "side-0")
        self.ask(MEMBERS[:1], complete=False)
        self.searches.overdue(FORGET_S)
        self.assertEqual(len(self.searches), 0)

    @given(
        holder=st.integers(0, 9) | st.none(),
        lost=st.lists(st.booleans(), max_size=40),
        complete=st.booleans(),
    )
    def test_a_held_flow_is_never_nowhere(self, holder, lost, complete):
        """Answers are lost at random; the caller sends again each time."""
        searches, now = Searches(), 0.0
        for _ in range(6):
            now += 1.0
            searches.add(Packet(flow()), b"", "case-desk", now)
            for _ in range(2 * len(MEMBERS)):
                decision = searches.next(flow(), MEMBERS, complete, now)
                if isinstance(decision, Nowhere):
                    self.assertIsNone(holder)
                    self.assertTrue(complete)
                    return
                if isinstance(decision, Unknown):
                    break
                if lost and lost.pop():
                    now += ANSWER_S
                    searches.overdue(now)
                elif decision.node == f"side-{holder}":
                    searches.held(flow())
                    return
                else:
                    searches.refused(flow(), decision.node)
