import unittest

from ryesaddle.internal.address import Address
from ryesaddle.internal.membership.contact import ContactMonitor
from ryesaddle.internal.membership.lost_contacts import (
    FORGET_AFTER_S,
    MAX_LOST_CONTACTS,
    RETRY_INTERVAL_S,
    LostContacts,
)
from ryesaddle.internal.membership.report_schedule import (
    BALANCER_EXPIRY_S,
    ReportSchedule,
)

BALANCER = Address("10.0.0.1", 7000)


class ContactMonitorTest(unittest.TestCase):
    """Guards against a process that takes no notice of a cut or of a pause."""

    def test_only_a_gap_that_is_longer_than_allowed_is_reported(self):
        contact = ContactMonitor(1.0)
        heard = [contact.record(now) for now in (100.0, 100.9, 101.9, 104.0, 104.1)]
        self.assertEqual(heard[:3], [None] * 3)
        self.assertAlmostEqual(heard[3], 2.1)
        self.assertIsNone(heard[4])


class LostContactsTest(unittest.TestCase):
    """Guards against two processes that never write to each other again."""

    def test_a_lost_address_is_tried_at_intervals_until_it_is_heard(self):
        lost = LostContacts()
        lost.add(BALANCER, 0.0)
        tried = [now for now in range(10) if lost.due(float(now))]
        self.assertEqual(tried, [2, 4, 6, 8])
        lost.discard(BALANCER)
        self.assertEqual(lost.due(20.0), [])

    def test_the_number_and_the_time_of_attempts_are_bounded(self):
        lost = LostContacts()
        for port in range(2 * MAX_LOST_CONTACTS):
            lost.add(Address("10.0.0.1", port), 0.0)
        self.assertEqual(len(lost), MAX_LOST_CONTACTS)
        self.assertEqual(lost.due(FORGET_AFTER_S + 1), [])
        self.assertEqual(len(lost), 0)

    def test_a_balancer_that_was_given_up_still_gets_reports(self):
        schedule = ReportSchedule()
        schedule.record_contact(BALANCER, 0.0)
        now = BALANCER_EXPIRY_S + 1
        schedule.remove_expired(now)
        self.assertEqual(schedule.due_reports(now), {})
        (options, addresses), *_ = schedule.due_reports(now + RETRY_INTERVAL_S).items()
        self.assertEqual(addresses, [BALANCER])
        self.assertTrue(options.wants_ack)
        # The others do not wait for its acknowledgement.
        self.assertEqual(list(schedule), [])
