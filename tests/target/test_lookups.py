import unittest

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.internal.target.lookups import (
    MAX_ASKED,
    MAX_RESULT_FLOWS,
    MAX_WAITING,
    FlowLookups,
)
from ryesaddle.internal.wire.passthrough import encode_message

FRONT = Address("198.18.0.1", 443)
BALANCER, OTHER = Address("10.0.1.1", 7000), Address("10.0.1.2", 7000)
DELAY_S = 0.02


def flow(number):
    return Flow(Address("100.64.0.7", 10_000 + number), FRONT)


class FlowLookupsTest(unittest.TestCase):
    def setUp(self):
        self.lookups = FlowLookups()

    def add(self, *numbers, balancer=BALANCER):
        for number in numbers:
            self.lookups.add(flow(number), b"packet", balancer)

    def ask(self, now=0.0):
        """Send packets to the target as far as permitted; return their flows."""
        asked = []
        while (found := self.lookups.next_waiting()) is not None:
            asked.append(found[0])
            # The port is the token, since the flows of these tests differ in it.
            self.lookups.record_asked(found[0], found[0].port, now)
        return asked

    def results(self):
        """Return the flows of each verdict for each balancer."""
        found = {}
        for balancer, result in self.lookups.pop_results("side-1"):
            for verdict in ("held", "absent", "unsure", "presumed"):
                for answer in getattr(result, verdict):
                    address = Flow(answer.caller, answer.front)
                    found.setdefault((balancer, verdict), []).append(address)
        return found

    def test_a_returned_packet_answers_all_balancers(self):
        self.add(1)
        self.add(1, balancer=OTHER)
        self.assertEqual(self.ask(), [flow(1)])
        self.assertTrue(self.lookups.record_return(flow(1).port, flow(1)))
        self.assertEqual(
            self.results(),
            {(BALANCER, "absent"): [flow(1)], (OTHER, "absent"): [flow(1)]},
        )
        self.assertEqual(len(self.lookups), 0)

    def test_a_returned_packet_of_another_flow_or_token_answers_nothing(self):
        """Guards against a reset of a held flow by a late or forged packet."""
        self.add(1, 2)
        self.assertFalse(self.lookups.record_return(0, flow(2)))
        self.ask()
        self.assertFalse(self.lookups.record_return(flow(1).port, flow(2)))
        self.lookups.expire(DELAY_S, DELAY_S, True)
        self.results()
        self.assertFalse(self.lookups.record_return(flow(1).port, flow(1)))
        self.assertEqual(self.results(), {})

    def test_a_packet_that_is_kept_is_presumed_only_if_the_target_appears_to_run(self):
        for presumes, verdict in ((True, "presumed"), (False, "unsure")):
            self.add(1)
            self.ask(now=1.0)
            self.lookups.expire(1.0 + DELAY_S / 2, DELAY_S, presumes)
            self.assertEqual(self.results(), {})
            self.lookups.expire(1.0 + DELAY_S, DELAY_S, presumes)
            self.assertEqual(self.results(), {(BALANCER, verdict): [flow(1)]})

    def test_flows_are_asked_for_again_when_another_run_of_the_target_starts(self):
        """The packet was lost with the run that it was sent to."""
        self.add(1, 2)
        self.ask()
        self.lookups.ask_again()
        self.assertFalse(self.lookups.record_return(flow(1).port, flow(1)))
        self.assertEqual(self.ask(), [flow(1), flow(2)])

    def test_the_target_is_asked_about_a_bounded_number_of_flows_at_a_time(self):
        self.add(*range(2 * MAX_ASKED))
        self.assertEqual(len(self.ask()), MAX_ASKED)
        self.lookups.record_return(flow(0).port, flow(0))
        self.assertEqual(self.ask(), [flow(MAX_ASKED)])

    def test_flows_beyond_the_limit_are_answered_as_unsure(self):
        self.add(*range(MAX_WAITING + 1))
        self.assertEqual(self.results(), {(BALANCER, "unsure"): [flow(MAX_WAITING)]})

    def test_results_fit_into_a_datagram(self):
        self.add(*range(100))
        for number in range(100):
            self.lookups.resolve(flow(number), "absent")
        results = [result for _, result in self.lookups.pop_results("side-1")]
        self.assertEqual(len(results), -(-100 // MAX_RESULT_FLOWS))
        self.assertLess(max(len(encode_message(r)) for r in results), 1_200)
