import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.search import (
    IDLE_SEARCH_TIMEOUT_S,
    MAX_QUEUED_PACKETS,
    QUERY_BURST,
    QUERY_TIMEOUT_S,
    UNTHROTTLED_QUERIES,
    Inconclusive,
    NotFound,
    QueryAgent,
    Searches,
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

    def next_step(self, members=MEMBERS, complete=True, now=0.0):
        return self.searches.next_step(flow(), members, complete, now)

    def refuse_all(self, members, now=0.0):
        for _ in members:
            decision = self.next_step(now=now, members=members)
            self.assertIsInstance(decision, QueryAgent)
            self.searches.record_refusal(flow(), decision.node)

    def test_agents_are_queried_in_the_given_order(self):
        self.add()
        for number in range(3):
            self.assertEqual(self.next_step(), QueryAgent(f"side-{number}", number))
            self.assertTrue(self.searches.record_refusal(flow(), f"side-{number}"))

    def test_a_flow_that_every_agent_refuses_is_not_found(self):
        self.add()
        self.refuse_all(MEMBERS[:4])
        self.assertEqual(self.next_step(MEMBERS[:4]), NotFound())
        self.assertEqual(len(self.searches), 0)

    def test_the_result_is_inconclusive_while_the_member_list_may_be_incomplete(self):
        self.add()
        self.refuse_all(MEMBERS[:4])
        self.assertEqual(
            self.next_step(MEMBERS[:4], complete=False), Inconclusive("agents-unknown")
        )
        self.assertEqual(
            self.next_step([], complete=True), Inconclusive("agents-unknown")
        )

    def test_an_agent_that_does_not_answer_is_skipped_and_queried_again_later(self):
        self.add()
        self.next_step(MEMBERS[:2])
        self.assertEqual(self.searches.expire_queries(QUERY_TIMEOUT_S / 2), [])
        self.assertEqual(self.searches.expire_queries(QUERY_TIMEOUT_S), [flow()])
        self.assertEqual(self.next_step(MEMBERS[:2]), QueryAgent("side-1", 1))
        self.searches.record_refusal(flow(), "side-1")
        self.assertEqual(self.next_step(MEMBERS[:2]), Inconclusive("agents-silent"))
        self.add()
        self.assertEqual(self.next_step(MEMBERS[:2]), QueryAgent("side-0", 1))

    def test_a_refusal_after_the_timeout_counts(self):
        self.add()
        self.next_step(MEMBERS[:2])
        self.searches.expire_queries(QUERY_TIMEOUT_S)
        self.next_step(MEMBERS[:2])
        self.assertFalse(self.searches.record_refusal(flow(), "side-0"))
        self.assertTrue(self.searches.record_refusal(flow(), "side-1"))
        self.assertEqual(self.next_step(MEMBERS[:2]), NotFound())

    def test_packets_are_queued_up_to_a_limit_during_a_search(self):
        self.assertTrue(self.add())
        self.next_step()
        for _ in range(2 * MAX_QUEUED_PACKETS):
            self.assertFalse(self.add())
        search = self.searches.finish(flow())
        self.assertEqual(len(search.packets), MAX_QUEUED_PACKETS)
        self.assertIsNone(self.searches.finish(flow()))

    def test_each_agent_is_queried_once_however_often_the_caller_sends(self):
        asked = []
        for _ in range(5):
            self.add()
            while isinstance(decision := self.next_step(complete=False), QueryAgent):
                asked.append(decision.node)
                self.searches.record_refusal(flow(), decision.node)
        self.assertEqual(asked, [m.node for m in MEMBERS])

    def count_queries(self, number):
        """Return how many agents are queried until a search ends or pauses."""
        self.add(number)
        for count in range(len(MEMBERS) + 1):
            decision = self.searches.next_step(flow(number), MEMBERS, True, 0.0)
            if not isinstance(decision, QueryAgent):
                return count
            self.searches.record_refusal(flow(number), decision.node)
        raise AssertionError("search queried more agents than there are")

    def test_only_queries_beyond_the_first_agents_are_rate_limited(self):
        asked = [self.count_queries(number) for number in range(1_000)]
        self.assertEqual(min(asked), UNTHROTTLED_QUERIES)
        self.assertEqual(sum(asked), 1_000 * UNTHROTTLED_QUERIES + QUERY_BURST)

    def test_the_search_of_an_idle_caller_is_dropped(self):
        self.add()
        self.next_step(MEMBERS[:1])
        self.searches.record_refusal(flow(), "side-0")
        self.next_step(MEMBERS[:1], complete=False)
        self.searches.expire_queries(IDLE_SEARCH_TIMEOUT_S)
        self.assertEqual(len(self.searches), 0)

    @given(
        holder=st.integers(0, 9) | st.none(),
        lost=st.lists(st.booleans(), max_size=40),
        complete=st.booleans(),
    )
    def test_a_flow_that_an_agent_holds_is_never_reported_as_not_found(
        self, holder, lost, complete
    ):
        """Answers are lost at random, and the caller sends again after each pause."""
        searches, now = Searches(), 0.0
        for _ in range(6):
            now += 1.0
            searches.add(Packet(flow()), b"", "case-desk", now)
            for _ in range(2 * len(MEMBERS)):
                decision = searches.next_step(flow(), MEMBERS, complete, now)
                if isinstance(decision, NotFound):
                    self.assertIsNone(holder)
                    self.assertTrue(complete)
                    return
                if isinstance(decision, Inconclusive):
                    break
                if lost and lost.pop():
                    now += QUERY_TIMEOUT_S
                    searches.expire_queries(now)
                elif decision.node == f"side-{holder}":
                    searches.finish(flow())
                    return
                else:
                    searches.record_refusal(flow(), decision.node)
