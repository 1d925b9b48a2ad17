"""When a balancer fetches the state of another one."""

import unittest

from ryesaddle.internal.membership.fetch_schedule import (
    AGENTS_FETCH_INTERVAL_S,
    AGENTS_SETTLE_S,
    CONFIGURATION_RETRY_S,
    FetchResult,
    FetchSchedule,
)
from ryesaddle.internal.membership.transfer_slots import (
    MAX_TRANSFERS,
    TransferSlots,
)

GOSSIP_INTERVAL_S = 0.25
BOUND_S = 3.0
PEERS = [f"edge-{number}" for number in range(58)]


class FetchScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = FetchSchedule(BOUND_S)

    def fetches_agents(self, peer="edge-1", digest=1, now=0.0, is_complete=True):
        return self.schedule.fetches_agents(peer, digest, 0, is_complete, now)

    def test_a_newer_configuration_is_fetched_at_once_and_from_one_peer(self):
        fetches = [self.schedule.fetches_configuration(2, 1, 0.0) for _ in PEERS]
        self.assertEqual(sum(fetches), 1)
        self.assertTrue(fetches[0])
        self.assertFalse(FetchSchedule(BOUND_S).fetches_configuration(1, 1, 0.0))
        self.assertFalse(FetchSchedule(BOUND_S).fetches_configuration(1, 2, 0.0))

    def test_a_peer_that_does_not_answer_delays_a_configuration_only_briefly(self):
        self.assertTrue(self.schedule.fetches_configuration(2, 1, 0.0))
        self.assertTrue(
            self.schedule.fetches_configuration(2, 1, CONFIGURATION_RETRY_S)
        )

    def test_slow_transfers_do_not_add_up_on_the_link(self):
        now, started = 0.0, 0
        while now < BOUND_S:
            started += self.schedule.fetches_configuration(2, 1, now)
            now += GOSSIP_INTERVAL_S
        self.assertEqual(started, 2)

    def test_versions_that_follow_each_other_fast_are_fetched_together(self):
        now, fetches = 0.0, 0
        while now < BOUND_S:
            if self.schedule.fetches_configuration(2, 1, now):
                fetches += 1
                self.schedule.end_configuration_fetch(FetchResult.ARRIVED, now)
            now += 0.01
        self.assertLessEqual(fetches, 10)

    def test_a_busy_peer_does_not_delay_a_configuration(self):
        self.assertTrue(self.schedule.fetches_configuration(2, 1, 0.0))
        self.schedule.end_configuration_fetch(FetchResult.BUSY, 0.0)
        self.assertTrue(self.schedule.fetches_configuration(2, 1, 0.0))

    def test_a_fetch_of_agents_does_not_delay_a_configuration(self):
        self.assertTrue(self.fetches_agents(is_complete=False))
        self.assertTrue(self.schedule.fetches_configuration(2, 1, 0.0))

    def test_balancers_that_learn_of_replaced_agents_by_reports_fetch_nothing(self):
        """Each agent is known to both within two reports; the digests always differ."""
        digest, now, fetches = 0, 0.0, 0
        while now < 20.0:
            now += GOSSIP_INTERVAL_S
            digest += 1
            for number, peer in enumerate(PEERS):
                in_step = round(now / GOSSIP_INTERVAL_S + number) % 4 == 0
                own = digest if in_step else -1
                fetches += self.schedule.fetches_agents(peer, digest, own, True, now)
        self.assertEqual(fetches, 0)

    def test_a_difference_that_lasts_is_fetched_once(self):
        self.assertFalse(self.fetches_agents())
        self.assertTrue(self.fetches_agents(now=AGENTS_SETTLE_S))
        self.assertFalse(self.fetches_agents(now=AGENTS_SETTLE_S + 60))
        self.schedule.forget("edge-1")
        self.assertFalse(self.fetches_agents(now=100.0))
        self.assertTrue(self.fetches_agents(now=100.0 + AGENTS_SETTLE_S))

    def test_an_incomplete_balancer_fetches_at_once_but_not_from_all_peers(self):
        fetches = [self.fetches_agents(peer, is_complete=False) for peer in PEERS]
        self.assertEqual(sum(fetches), 1)
        now = AGENTS_FETCH_INTERVAL_S
        self.assertTrue(self.fetches_agents("edge-9", now=now, is_complete=False))


class TransferSlotsTest(unittest.TestCase):
    def setUp(self):
        self.slots = TransferSlots(1.0)

    def test_a_state_that_all_ask_for_does_not_fill_the_link_of_its_first_holder(self):
        held = [self.slots.acquire(0.0) for _ in PEERS]
        self.assertEqual(sum(slot is not None for slot in held), MAX_TRANSFERS)
        self.slots.release(held[0])
        self.assertIsNotNone(self.slots.acquire(0.0))
        self.assertIsNone(self.slots.acquire(0.0))

    def test_receivers_that_died_do_not_block_the_others(self):
        for _ in PEERS:
            self.slots.acquire(0.0)
        self.assertIsNone(self.slots.acquire(0.9))
        self.assertIsNotNone(self.slots.acquire(1.0))
