import unittest
from itertools import pairwise
from unittest import mock

import msgspec
from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.lookup_batches import MAX_BATCH_BYTES, LookupBatches
from ryesaddle.internal.routing.member import Member
from ryesaddle.internal.routing.packet import Flow, Packet
from ryesaddle.internal.routing.search import (
    ANSWER_TIMEOUT_S,
    COST_BURST_US,
    COST_PER_S_US,
    FIRST_BATCH,
    IDLE_SEARCH_TIMEOUT_S,
    LOOKUP_COST_US,
    LOOKUP_TIMEOUT_S,
    MAX_QUEUED_PACKETS,
    MAX_RESUMED_SEARCHES,
    PROBE_BURST,
    QUERY_COST_US,
    RETRY_INTERVAL_S,
    UNTHROTTLED_PROBES,
    AwaitAnswers,
    Inconclusive,
    LookUp,
    NotFound,
    PresumeHolder,
    ProbeAgent,
    QueryAgents,
    Searches,
)
from ryesaddle.internal.wire.passthrough import LookupItem

FRONT = Address("198.18.0.1", 443)


def flow(number=1):
    return Flow(Address("100.64.0.7", number), FRONT)


def member(number, target="i"):
    address = Address("10.0.0.1", 7_000 + number)
    return Member(
        node=f"side-{number}",
        incarnation=0,
        address=address,
        control=address,
        data_centre="dc",
        target=target,
    )


MEMBERS = [member(number) for number in range(10)]
MANY_MEMBERS = [member(number) for number in range(1_000)]


def names(members):
    return tuple(m.node for m in members)


class SearchesCase(unittest.TestCase):
    def setUp(self):
        self.searches = Searches()

    def add(self, number=1, now=0.0):
        return self.searches.add(Packet(flow(number)), b"packet", now)

    def next_step(self, members=MEMBERS, complete=True, now=0.0, number=1, **kwargs):
        return self.searches.next_step(flow(number), members, complete, now, **kwargs)

    def answer(self, step, uncertain=False, number=1):
        """Give the same answer for each agent of a step.

        Agents that cannot tell have their target asked if they are sent a packet.
        Returns whether the next step is due.
        """
        if isinstance(step, ProbeAgent):
            return self.searches.record_refusal(flow(number), step.node)
        record = self.searches.record_refusal
        if uncertain and isinstance(step, QueryAgents):
            record = self.searches.record_uncertain
        return [record(flow(number), node) for node in step.nodes][-1]

    def steps(self, members, uncertain=False, number=1, now=0.0, **kwargs):
        """Answer each step; return all steps, including the last one."""
        steps = []
        while True:
            steps.append(self.next_step(members, number=number, now=now, **kwargs))
            if not isinstance(steps[-1], QueryAgents | LookUp | ProbeAgent):
                return steps
            self.answer(steps[-1], uncertain, number)


class SearchesTest(SearchesCase):
    def test_each_agent_is_asked_once_and_the_likely_ones_first(self):
        self.add()
        first, rest = names(MEMBERS[:FIRST_BATCH]), names(MEMBERS[FIRST_BATCH:])
        self.assertEqual(
            self.steps(MEMBERS), [QueryAgents(first), LookUp(rest), NotFound()]
        )
        self.assertEqual(len(self.searches), 0)

    def test_two_rounds_are_enough_for_any_number_of_agents(self):
        # A search with sequential probes took minutes at 1,000 agents that cannot tell.
        for uncertain in (False, True):
            self.add()
            steps = self.steps(MANY_MEMBERS, uncertain)
            self.assertEqual(
                [type(step) for step in steps], [QueryAgents, LookUp, NotFound]
            )

    def test_the_next_step_is_due_after_the_last_answer_of_a_round(self):
        self.add()
        step = self.next_step(MEMBERS[:3])
        due = [self.searches.record_refusal(flow(), node) for node in step.nodes]
        self.assertEqual(due, [False, False, True])
        self.assertFalse(self.searches.record_refusal(flow(2), "side-0"))

    def test_only_agents_that_cannot_tell_are_sent_a_packet(self):
        self.add()
        self.next_step(MEMBERS[:4])
        for number in (0, 3):
            self.searches.record_refusal(flow(), f"side-{number}")
        for number in (1, 2):
            self.searches.record_uncertain(flow(), f"side-{number}")
        step = self.next_step(MEMBERS[:4])
        self.assertEqual(step, LookUp(("side-1", "side-2")))
        self.assertTrue(self.answer(step))
        self.assertEqual(self.next_step(MEMBERS[:4]), NotFound())

    def test_no_target_is_sent_a_packet_before_the_likely_agents_have_answered(self):
        # On trouble-1 of the large deployment, flows that an agent knew were found
        # only after 8, 24 or 56 foreign targets had been sent a packet.
        self.add()
        step = self.next_step(MANY_MEMBERS)
        for node in step.nodes[:-1]:
            self.searches.record_uncertain(flow(), node)
            self.assertEqual(self.next_step(MANY_MEMBERS), AwaitAnswers())

    def test_a_late_answer_to_a_query_does_not_stand_for_an_answer_to_a_lookup(self):
        """Guards against a second lookup to an agent that still asks its target."""
        self.add()
        self.next_step(MEMBERS[:1])
        self.searches.expire_queries(ANSWER_TIMEOUT_S)
        self.next_step(MEMBERS[:1], now=ANSWER_TIMEOUT_S)
        self.assertFalse(self.searches.record_uncertain(flow(), "side-0"))
        step = self.next_step(MEMBERS[:1], now=ANSWER_TIMEOUT_S)
        self.assertEqual(step, AwaitAnswers())

    def test_the_result_is_inconclusive_while_the_member_list_may_be_incomplete(self):
        self.add()
        self.answer(self.next_step(MEMBERS[:4]))
        self.assertEqual(
            self.next_step(MEMBERS[:4], complete=False), Inconclusive("agents-unknown")
        )
        self.add(2)
        step = self.next_step([], complete=True, number=2)
        self.assertEqual(step, Inconclusive("agents-unknown"))
        # The list may be complete before the next attempt.
        self.assertEqual(self.next_step(MEMBERS[:4]), NotFound())

    def test_agents_that_could_not_tell_are_asked_again_without_a_further_packet(self):
        self.add()
        self.next_step(MEMBERS[:2])
        self.searches.record_refusal(flow(), "side-1")
        self.searches.record_uncertain(flow(), "side-0")
        asked, now = [], 0.0
        while flow() in self.searches:
            step = self.next_step(MEMBERS[:2], now=now)
            if isinstance(step, LookUp):
                self.assertEqual(step.nodes, ("side-0",))
                asked.append(now)
                self.searches.record_unanswered(flow(), "side-0")
            else:
                now = round(now + 0.01, 2)
                self.searches.expire_queries(now)
        gaps = [after - before for before, after in pairwise(asked)]
        self.assertAlmostEqual(min(gaps), RETRY_INTERVAL_S, delta=0.001)
        self.assertAlmostEqual(max(gaps), RETRY_INTERVAL_S, delta=0.011)
        self.assertEqual(now, IDLE_SEARCH_TIMEOUT_S)
        [(abandoned, _)] = self.searches.pop_abandoned()
        self.assertEqual(abandoned, flow())

    def test_an_agent_of_an_older_version_is_probed_instead_of_asked(self):
        """It answers queries and probes, but ignores lookups."""
        self.add()
        self.next_step(MEMBERS[:2])
        self.searches.record_refusal(flow(), "side-1")
        self.searches.record_uncertain(flow(), "side-0")
        step = self.next_step(MEMBERS[:2], answers_lookups=lambda node: False)
        self.assertEqual(step, ProbeAgent("side-0", 0))
        self.assertTrue(self.searches.record_refusal(flow(), "side-0"))
        self.assertEqual(self.next_step(MEMBERS[:2]), NotFound())

    def test_an_agent_that_does_not_answer_a_lookup_is_asked_again_and_not_probed(self):
        """Guards against probes, one after the other, of busy agents.

        On trouble-1 of the tender portal 2,522 flows waited for the rate limit of
        probes, because agents needed longer than 0.1 s for all lookups.
        """
        self.add()
        self.next_step(MEMBERS[:1])
        now = ANSWER_TIMEOUT_S
        self.searches.expire_queries(now)
        self.assertEqual(self.next_step(MEMBERS[:1], now=now), LookUp(("side-0",)))
        now += LOOKUP_TIMEOUT_S / 2
        self.assertEqual(self.searches.expire_queries(now), [])
        now += LOOKUP_TIMEOUT_S / 2
        self.assertEqual(self.searches.expire_queries(now), [flow()])
        step = self.next_step(MEMBERS[:1], now=now)
        self.assertEqual(step, Inconclusive("agents-silent"))
        now += RETRY_INTERVAL_S
        self.assertEqual(self.searches.expire_queries(now), [flow()])
        self.assertEqual(self.next_step(MEMBERS[:1], now=now), LookUp(("side-0",)))

    def test_a_missing_answer_that_counts_as_a_refusal_is_detected(self):
        def expire_answers(search, now):
            due = original(search, now)
            for node in search.unanswered:
                search.refused_by[node] = search.targets[node]
            return due

        original = Searches._expire_answers
        mutation = staticmethod(expire_answers)
        patch = mock.patch.object(Searches, "_expire_answers", mutation)
        with patch, self.assertRaises(AssertionError):
            self.test_an_agent_that_does_not_answer_a_lookup_is_asked_again_and_not_probed()

    def test_a_refusal_after_the_timeout_counts(self):
        self.add()
        self.next_step(MEMBERS[:2])
        self.searches.expire_queries(ANSWER_TIMEOUT_S)
        self.next_step(MEMBERS[:2], now=ANSWER_TIMEOUT_S)
        self.assertFalse(self.searches.record_refusal(flow(), "side-1"))
        self.assertTrue(self.searches.record_refusal(flow(), "side-0"))
        self.assertEqual(self.next_step(MEMBERS[:2], now=0.2), NotFound())

    def test_a_refusal_counts_only_for_the_target_that_was_asked(self):
        """The host of an agent was given to another target during the search."""
        self.add()
        self.answer(self.next_step(MEMBERS[:2]))
        replaced = [MEMBERS[0], member(1, "i-new")]
        self.assertEqual(self.next_step(replaced), LookUp(("side-1",)))

    def test_the_only_agent_that_presumes_is_taken_for_the_holder(self):
        self.add()
        self.next_step(MEMBERS[:3])
        for number in range(3):
            self.searches.record_uncertain(flow(), f"side-{number}")
        self.next_step(MEMBERS[:3])
        self.searches.record_refusal(flow(), "side-0")
        self.assertFalse(self.searches.record_presumed(flow(), "side-1"))
        self.assertTrue(self.searches.record_refusal(flow(), "side-2"))
        self.assertEqual(self.next_step(MEMBERS[:3]), PresumeHolder("side-1"))

    def test_a_late_refusal_of_the_presumed_holder_ends_the_search(self):
        """Busy targets returned packets late in a trial on real processes."""
        self.add()
        self.next_step(MEMBERS[:1])
        self.searches.record_uncertain(flow(), "side-0")
        self.next_step(MEMBERS[:1])
        self.assertTrue(self.searches.record_presumed(flow(), "side-0"))
        self.assertEqual(self.next_step(MEMBERS[:1]), PresumeHolder("side-0"))
        self.assertEqual(self.next_step(MEMBERS[:1]), AwaitAnswers())
        self.assertTrue(self.searches.record_refusal(flow(), "side-0"))
        self.assertEqual(self.next_step(MEMBERS[:1]), NotFound())

    def test_the_search_goes_on_if_the_presumed_holder_is_gone_or_silent(self):
        """A packet is queued only if the agent of its flow is not known or alive."""
        self.add()
        self.next_step(MEMBERS[:1])
        self.searches.record_uncertain(flow(), "side-0")
        self.next_step(MEMBERS[:1])
        self.searches.record_presumed(flow(), "side-0")
        self.next_step(MEMBERS[:1])
        self.add()
        self.assertEqual(self.next_step(MEMBERS[:2]), LookUp(("side-0", "side-1")))

    def test_nothing_is_presumed_if_another_agent_presumes_too_or_cannot_tell(self):
        for record in (self.searches.record_presumed, self.searches.record_unanswered):
            self.add()
            self.next_step(MEMBERS[:2])
            for number in range(2):
                self.searches.record_uncertain(flow(), f"side-{number}")
            self.next_step(MEMBERS[:2])
            self.searches.record_presumed(flow(), "side-0")
            self.assertTrue(record(flow(), "side-1"))
            step = self.next_step(MEMBERS[:2])
            self.assertEqual(step, Inconclusive("agents-silent"))
            self.searches.finish(flow())

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
        for attempt in range(5):
            now = float(attempt)
            self.add(now=now)
            while isinstance(
                step := self.next_step(complete=False, now=now), QueryAgents | LookUp
            ):
                asked.extend(step.nodes)
                self.answer(step)
        self.assertEqual(asked, [m.node for m in MEMBERS])

    def test_the_search_of_an_idle_caller_is_dropped(self):
        self.add()
        self.answer(self.next_step(MEMBERS[:1]))
        self.next_step(MEMBERS[:1], complete=False)
        self.searches.expire_queries(IDLE_SEARCH_TIMEOUT_S)
        self.assertEqual(len(self.searches), 0)

    def test_refusals_of_an_earlier_flow_of_the_port_do_not_end_the_next_one(self):
        def add(ack_number):
            packet = Packet(flow(), has_data=True, ack_number=ack_number)
            self.searches.add(packet, b"packet", 0.0)

        add(5_000)
        self.answer(self.next_step())
        add(900_000)
        self.assertIsInstance(self.next_step(), QueryAgents)
        self.assertEqual(self.searches[flow()].refused_by, {})


class RateLimitTest(SearchesCase):
    """Thousands of flows whose targets have ended are searched at once."""

    def spend(self, members, now=0.0, count=10_000):
        """Search for flows at agents that cannot tell; return the cost of all steps.

        No answer to a lookup arrives.
        """
        cost = 0
        for number in range(count):
            self.add(number, now)
            cost += self.cost_of(members, number, now)
        return cost

    def cost_of(self, members, number, now):
        step = self.next_step(members, number=number, now=now)
        if isinstance(step, LookUp):
            return len(step.nodes) * LOOKUP_COST_US
        if not isinstance(step, QueryAgents):
            return 0
        self.answer(step, True, number)
        cost = len(step.nodes) * QUERY_COST_US
        return cost + self.cost_of(members, number, now)

    def test_the_cost_of_all_searches_is_bounded(self):
        largest_step = len(MEMBERS) * QUERY_COST_US
        cost = self.spend(MEMBERS)
        self.assertLessEqual(cost, COST_BURST_US + largest_step)
        self.assertGreater(cost, 0.9 * COST_BURST_US)
        for second in range(1, 11):
            for check in range(1, 21):
                now = second - 1 + 0.05 * check
                for number in range(10_000):
                    if flow(number) in self.searches:
                        self.searches[flow(number)].last_packet_at = now
                due = self.searches.expire_queries(now)
                for found in due:
                    cost += self.cost_of(MEMBERS, found.caller.port, now)
        self.assertLessEqual(cost, COST_BURST_US + 10 * COST_PER_S_US + largest_step)

    def test_a_search_among_more_agents_than_the_burst_covers_proceeds(self):
        """Its cost delays the searches after it, so that the mean rate holds."""
        agents = [member(n) for n in range(2 * COST_BURST_US // LOOKUP_COST_US)]
        self.add()
        steps = self.steps(agents, True)
        self.assertEqual(
            [type(step) for step in steps], [QueryAgents, LookUp, NotFound]
        )
        self.add(2)
        self.assertEqual(self.next_step(agents, number=2), AwaitAnswers())

    def test_agents_that_join_are_asked_without_delay_once_a_target_got_a_packet(self):
        """Rule FLOW: its own target must not be left out while others get packets."""
        number = 5_000
        self.add(number)
        self.answer(self.next_step(number=number), uncertain=True, number=number)
        step = self.next_step(number=number)
        self.assertIsInstance(step, LookUp)
        for node in step.nodes:
            self.searches.record_unanswered(flow(number), node)
        self.spend(MEMBERS, count=3_000)
        joined = [*MEMBERS, member(10)]
        step = self.next_step(joined, number=number)
        self.assertEqual(step, LookUp(("side-10",)))

    def test_a_throttled_search_keeps_its_packets_and_continues_by_itself(self):
        self.spend(MEMBERS, count=3_000)
        waiting = [n for n in range(3_000) if self.searches[flow(n)].throttled]
        number = min(waiting, key=lambda n: self.searches[flow(n)].effort)
        self.assertEqual(len(self.searches[flow(number)].packets), 1)
        self.assertIn(flow(number), self.searches.expire_queries(0.05))
        step = self.next_step(number=number, now=0.05)
        self.assertIsInstance(step, QueryAgents)

    def test_throttled_searches_with_the_least_effort_continue_first(self):
        self.spend(MEMBERS, count=3_000)
        throttled = [s for _, s in self.searches._searches.items() if s.throttled]
        efforts = sorted(search.effort for search in throttled)
        due = self.searches.expire_queries(0.05)
        self.assertEqual(
            [self.searches[found].effort for found in due],
            efforts[:MAX_RESUMED_SEARCHES],
        )

    def test_a_throttled_search_of_an_idle_caller_is_dropped(self):
        self.spend(MEMBERS, count=3_000)
        self.searches.expire_queries(IDLE_SEARCH_TIMEOUT_S - 0.1)
        self.searches.expire_queries(IDLE_SEARCH_TIMEOUT_S)
        self.assertFalse([s for s in self.searches._searches.values() if s.throttled])

    def count_probes(self, number, members):
        """Return how many agents of an older version are probed in one search."""
        self.add(number)
        search = self.searches[flow(number)]
        search.first_round_over = True
        steps = self.steps(members, number=number, answers_lookups=lambda node: False)
        return sum(isinstance(step, ProbeAgent) for step in steps)

    def test_only_probes_beyond_the_first_agents_are_rate_limited(self):
        members = MEMBERS[:FIRST_BATCH]
        probed = [self.count_probes(number, members) for number in range(1_000)]
        self.assertEqual(min(probed), UNTHROTTLED_PROBES)
        self.assertEqual(sum(probed), 1_000 * UNTHROTTLED_PROBES + PROBE_BURST)


class LookupBatchesTest(unittest.TestCase):
    def test_lookups_for_one_agent_share_datagrams_of_bounded_size(self):
        batches, sent = LookupBatches(), []
        items = [LookupItem(*flow(n), b"x" * 300) for n in range(9)]
        for item in items:
            if full := batches.add("side-1", item):
                sent.append(full)
        sent.extend(rest for _, rest in batches.pop_all())
        self.assertEqual([item for batch in sent for item in batch], items)
        self.assertEqual([len(batch) for batch in sent], [3, 3, 3])
        self.assertEqual(batches.pop_all(), [])

    def test_a_packet_of_the_greatest_size_is_sent_alone(self):
        batches = LookupBatches()
        large = LookupItem(*flow(), b"x" * (MAX_BATCH_BYTES + 36))
        self.assertEqual(batches.add("side-1", large), ())
        self.assertEqual(batches.add("side-1", large), (large,))


class TruthTest(unittest.TestCase):
    @given(
        holder=st.integers(0, 9) | st.none(),
        knows_flow=st.booleans(),
        certain=st.lists(st.booleans(), min_size=10, max_size=10),
        presumes=st.lists(st.booleans(), min_size=10, max_size=10),
        older=st.lists(st.booleans(), min_size=10, max_size=10),
        lost=st.lists(st.booleans(), max_size=80),
        replaced=st.lists(st.integers(0, 9), max_size=3),
        complete=st.booleans(),
    )
    def test_a_flow_that_an_agent_holds_is_never_reported_as_not_found(
        self, holder, knows_flow, certain, presumes, older, lost, replaced, complete
    ):
        """Answers are lost at random, and the caller sends again after each pause.

        Some agents are of an older version, some cannot tell, and targets without the
        flow are replaced in between.
        """
        searches, now = Searches(), 0.0
        members = list(MEMBERS)

        def is_lost():
            return bool(lost) and lost.pop()

        def answers_lookups(node):
            return not older[int(node.removeprefix("side-"))]

        def answer_lookup(number):
            node = f"side-{number}"
            if number == holder:
                if knows_flow:
                    return True
                record = searches.record_unanswered
                if presumes[number]:
                    record = searches.record_presumed
                record(flow(), node)
            elif certain[number]:
                searches.record_refusal(flow(), node)
            else:
                searches.record_unanswered(flow(), node)
            return False

        for _ in range(6):
            now += 1.0
            searches.add(Packet(flow()), b"", now)
            for _ in range(4 * len(MEMBERS)):
                if replaced and replaced[-1] != holder:
                    number = replaced.pop()
                    members[number] = msgspec.structs.replace(
                        members[number], target=f"i-{number}"
                    )
                step = searches.next_step(
                    flow(), members, complete, now, answers_lookups
                )
                match step:
                    case NotFound():
                        self.assertIsNone(holder)
                        self.assertTrue(complete)
                        return
                    case PresumeHolder(node=node):
                        self.assertEqual(node, f"side-{holder}")
                        return
                    case Inconclusive():
                        break
                    case AwaitAnswers():
                        now += ANSWER_TIMEOUT_S
                        searches.expire_queries(now)
                        if flow() not in searches:
                            break
                    case ProbeAgent(node=node):
                        if is_lost():
                            continue
                        if node == f"side-{holder}":
                            return
                        searches.record_refusal(flow(), node)
                    case LookUp(nodes=nodes):
                        for node in nodes:
                            number = int(node.removeprefix("side-"))
                            if is_lost() or older[number]:
                                continue
                            if answer_lookup(number):
                                return
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
