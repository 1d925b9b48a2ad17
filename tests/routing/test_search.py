import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.search import (
    ANSWER_TIMEOUT_S,
    FIRST_BATCH,
    IDLE_SEARCH_TIMEOUT_S,
    MAX_BATCH,
    MAX_QUEUED_PACKETS,
    MAX_RESUMED_SEARCHES,
    PROBE_BURST,
    PROBES_PER_S,
    QUERY_BURST,
    UNTHROTTLED_PROBES,
    AwaitAnswers,
    Inconclusive,
    NotFound,
    ProbeAgent,
    QueryAgents,
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
MANY_MEMBERS = [member(number) for number in range(1_000)]


class SearchesTest(unittest.TestCase):
    def setUp(self):
        self.searches = Searches()

    def add(self, number=1, now=0.0):
        return self.searches.add(Packet(flow(number)), b"packet", now)

    def next_step(self, members=MEMBERS, complete=True, now=0.0, number=1):
        return self.searches.next_step(flow(number), members, complete, now)

    def answer(self, step, uncertain=False, number=1):
        """Give the same answer for each agent of a step.

        Returns whether the next step is due.
        """
        if isinstance(step, ProbeAgent):
            return self.searches.record_refusal(flow(number), step.node)
        record = self.searches.record_refusal
        if uncertain:
            record = self.searches.record_uncertain
        return [record(flow(number), node) for node in step.nodes][-1]

    def queried_nodes(self, members, uncertain=False, number=1):
        """Answer every query; return the nodes of each batch and the last step."""
        batches = []
        while isinstance(
            step := self.next_step(members, number=number), QueryAgents | ProbeAgent
        ):
            if isinstance(step, QueryAgents):
                batches.append(step.nodes)
            self.answer(step, uncertain, number)
        return batches, step

    def test_agents_are_queried_once_in_the_given_order(self):
        self.add()
        batches, step = self.queried_nodes(MEMBERS)
        names = [name for batch in batches for name in batch]
        self.assertEqual(names, [m.node for m in MEMBERS])
        self.assertEqual(step, NotFound())
        self.assertEqual(len(self.searches), 0)

    def test_the_number_of_rounds_grows_with_the_logarithm_of_the_agents(self):
        self.add()
        batches, _ = self.queried_nodes(MANY_MEMBERS)
        sizes = [len(batch) for batch in batches]
        self.assertEqual(sizes[:4], [FIRST_BATCH, 16, 32, 64])
        self.assertLessEqual(max(sizes), MAX_BATCH)
        self.assertLess(len(sizes), 20)

    def test_the_next_step_is_due_after_the_last_answer_of_a_batch(self):
        self.add()
        step = self.next_step(MEMBERS[:3])
        due = [self.searches.record_refusal(flow(), node) for node in step.nodes]
        self.assertEqual(due, [False, False, True])
        self.assertFalse(self.searches.record_refusal(flow(2), "side-0"))

    def test_only_agents_that_are_uncertain_are_probed(self):
        self.add()
        self.next_step(MEMBERS[:4])
        for number in (0, 3):
            self.searches.record_refusal(flow(), f"side-{number}")
        for number in (1, 2):
            self.searches.record_uncertain(flow(), f"side-{number}")
        for number in (1, 2):
            step = self.next_step(MEMBERS[:4])
            self.assertEqual(step, ProbeAgent(f"side-{number}", number - 1))
            self.assertTrue(self.answer(step))
        self.assertEqual(self.next_step(MEMBERS[:4]), NotFound())

    def test_no_agent_is_probed_before_all_have_been_queried(self):
        # On trouble-1 of the large deployment, flows that an agent knew were found
        # only after 8, 24 or 56 foreign targets had been sent a packet.
        self.add()
        queried = []
        while isinstance(step := self.next_step(MANY_MEMBERS), QueryAgents):
            queried.extend(step.nodes)
            self.answer(step, uncertain=True)
        self.assertEqual(len(queried), len(MANY_MEMBERS))
        self.assertEqual(step, ProbeAgent("side-0", 0))

    def test_the_result_is_inconclusive_while_the_member_list_may_be_incomplete(self):
        self.add()
        self.answer(self.next_step(MEMBERS[:4]))
        self.assertEqual(
            self.next_step(MEMBERS[:4], complete=False), Inconclusive("agents-unknown")
        )
        self.assertEqual(
            self.next_step([], complete=True), Inconclusive("agents-unknown")
        )

    def test_an_agent_that_does_not_answer_is_probed_last_and_queried_again_later(self):
        """An agent of an older version does not answer queries, but probes."""
        self.add()
        self.next_step(MEMBERS[:2])
        self.searches.record_refusal(flow(), "side-1")
        self.assertEqual(self.searches.expire_queries(ANSWER_TIMEOUT_S / 2), [])
        self.assertEqual(self.searches.expire_queries(ANSWER_TIMEOUT_S), [flow()])
        now = ANSWER_TIMEOUT_S
        self.assertEqual(self.next_step(MEMBERS[:2], now=now), ProbeAgent("side-0", 0))
        now += ANSWER_TIMEOUT_S
        self.assertEqual(self.searches.expire_queries(now), [flow()])
        self.assertEqual(
            self.next_step(MEMBERS[:2], now=now), Inconclusive("agents-silent")
        )
        self.add(now=now)
        self.assertEqual(self.next_step(MEMBERS[:2], now=now), QueryAgents(("side-0",)))

    def test_a_refusal_after_the_timeout_counts(self):
        self.add()
        self.next_step(MEMBERS[:2])
        self.searches.expire_queries(ANSWER_TIMEOUT_S)
        self.next_step(MEMBERS[:2], now=ANSWER_TIMEOUT_S)
        self.assertFalse(self.searches.record_refusal(flow(), "side-1"))
        self.assertTrue(self.searches.record_refusal(flow(), "side-0"))
        self.assertEqual(self.next_step(MEMBERS[:2], now=0.2), NotFound())

    def test_packets_are_queued_up_to_a_limit_during_a_search(self):
        self.assertTrue(self.add())
        self.next_step()
        for _ in range(2 * MAX_QUEUED_PACKETS):
            self.assertFalse(self.add())
        search = self.searches.finish(flow())
        self.assertEqual(len(search.packets), MAX_QUEUED_PACKETS)
        self.assertIsNone(self.searches.finish(flow()))

    def test_each_agent_is_asked_once_however_often_the_caller_sends(self):
        asked = []
        for _ in range(5):
            self.add()
            while isinstance(step := self.next_step(complete=False), QueryAgents):
                asked.extend(step.nodes)
                self.answer(step)
        self.assertEqual(asked, [m.node for m in MEMBERS])

    def count_probes(self, number):
        """Return how many uncertain agents are probed until a search ends or waits."""
        self.add(number)
        count = 0
        while isinstance(
            step := self.next_step(MEMBERS[:FIRST_BATCH], number=number),
            QueryAgents | ProbeAgent,
        ):
            count += isinstance(step, ProbeAgent)
            self.answer(step, uncertain=True, number=number)
        return count

    def test_only_probes_beyond_the_first_agents_are_rate_limited(self):
        probed = [self.count_probes(number) for number in range(1_000)]
        self.assertEqual(min(probed), UNTHROTTLED_PROBES)
        self.assertEqual(sum(probed), 1_000 * UNTHROTTLED_PROBES + PROBE_BURST)

    def test_only_queries_beyond_the_first_batch_are_rate_limited(self):
        queried = []
        for number in range(1_000):
            self.add(number)
            batches, _ = self.queried_nodes(MANY_MEMBERS, number=number)
            queried.append(sum(len(batch) for batch in batches))
        self.assertEqual(min(queried), FIRST_BATCH)
        self.assertLessEqual(sum(queried), 1_000 * FIRST_BATCH + QUERY_BURST)

    def test_a_throttled_search_keeps_its_packets_and_continues_by_itself(self):
        for number in range(1_000):
            self.count_probes(number)
        members = MEMBERS[:FIRST_BATCH]
        self.assertEqual(self.next_step(members, number=999), AwaitAnswers())
        self.assertEqual(len(self.searches[flow(999)].packets), 1)
        interval_s, checks, continued = 0.05, 80, set()
        for check in range(checks):
            now = 1.0 + check * interval_s
            due = self.searches.expire_queries(now)
            self.assertLessEqual(len(due), MAX_RESUMED_SEARCHES)
            for found in due:
                step = self.next_step(members, now=now, number=found.caller.port)
                if isinstance(step, ProbeAgent):
                    self.searches.finish(found)
                    continued.add(found)
        permitted = PROBES_PER_S * (1.0 + (checks - 1) * interval_s)
        self.assertAlmostEqual(len(continued), permitted, delta=1)

    def test_a_throttled_search_of_an_idle_caller_is_dropped(self):
        for number in range(1_000):
            self.count_probes(number)
        self.assertEqual(self.searches.expire_queries(IDLE_SEARCH_TIMEOUT_S), [])
        self.assertEqual(len(self.searches), 0)

    def test_throttled_searches_with_the_least_effort_continue_first(self):
        for number in range(100):
            self.add(number)
            self.queried_nodes(MANY_MEMBERS, number=number)
        waiting = [flow(n) for n in range(100) if flow(n) in self.searches]
        efforts = sorted(self.searches[found].effort for found in waiting)
        self.assertGreater(len(set(efforts)), 1)
        due = self.searches.expire_queries(0.0)
        self.assertEqual(
            [self.searches[found].effort for found in due],
            efforts[:MAX_RESUMED_SEARCHES],
        )

    def test_the_search_of_an_idle_caller_is_dropped(self):
        self.add()
        self.answer(self.next_step(MEMBERS[:1]))
        self.next_step(MEMBERS[:1], complete=False)
        self.searches.expire_queries(IDLE_SEARCH_TIMEOUT_S)
        self.assertEqual(len(self.searches), 0)

    @given(
        holder=st.integers(0, 9) | st.none(),
        knows_flow=st.booleans(),
        certain=st.lists(st.booleans(), min_size=10, max_size=10),
        lost=st.lists(st.booleans(), max_size=80),
        complete=st.booleans(),
    )
    def test_a_flow_that_an_agent_holds_is_never_reported_as_not_found(
        self, holder, knows_flow, certain, lost, complete
    ):
        """Answers are lost at random, and the caller sends again after each pause."""
        searches, now = Searches(), 0.0

        def is_lost():
            return bool(lost) and lost.pop()

        for _ in range(6):
            now += 1.0
            searches.add(Packet(flow()), b"", now)
            for _ in range(4 * len(MEMBERS)):
                match searches.next_step(flow(), MEMBERS, complete, now):
                    case NotFound():
                        self.assertIsNone(holder)
                        self.assertTrue(complete)
                        return
                    case Inconclusive():
                        break
                    case AwaitAnswers():
                        now += ANSWER_TIMEOUT_S
                        searches.expire_queries(now)
                    case ProbeAgent(node=node):
                        if is_lost():
                            continue
                        if node == f"side-{holder}":
                            return
                        searches.record_refusal(flow(), node)
                    case QueryAgents(nodes=nodes):
                        for node in nodes:
                            if is_lost():
                                continue
                            number = int(node.removeprefix("side-"))
                            if number == holder and knows_flow:
                                return
                            if number != holder and certain[number]:
                                searches.record_refusal(flow(), node)
                            else:
                                searches.record_uncertain(flow(), node)
