import unittest

from soak.ledger import DRAIN_S, Ledger
from tests.support.packets import ACK, RST, SYN, packet

FRONTS = {"case-desk": ("198.18.0.1", 443), "pack-archive": ("198.18.0.2", 443)}
FRONT, OTHER = FRONTS["case-desk"], FRONTS["pack-archive"]
CALLER = ("127.0.12.1", 10_001)
NUMBER = 900


def opening(copy=0):
    return packet(CALLER, FRONT, SYN, 5, copy)


def accepting():
    return packet(FRONT, CALLER, SYN | ACK, NUMBER)


def reset():
    data = bytearray(packet(FRONT, CALLER, RST))
    data[14:18] = bytes(4)
    return bytes(data)


class LedgerCase(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger(FRONTS)
        for name in ("i-1", "i-2"):
            self.ledger.target_started(name)
        for name in ("edge-1", "edge-2"):
            self.ledger.balancer_started(name)
        self.ledger.configured(1, FRONTS)

    def open_flow(self):
        self.ledger.caller_sent(opening(), "edge-1")
        self.ledger.target_received("i-1", "case-desk", opening(), 1.0)
        self.ledger.target_sent(accepting())
        self.ledger.caller_received(accepting(), "side-1", 1.0)
        self.ledger.caller_sent(packet(CALLER, FRONT, ACK, 6, NUMBER), "edge-1")
        self.ledger.opened("i-1", CALLER)

    def broken(self):
        return [violation.promise for violation in self.ledger.violations]


class FlowTest(LedgerCase):
    def test_a_reset_of_a_flow_that_its_target_holds_is_noticed(self):
        self.open_flow()
        self.assertEqual(self.broken(), [])
        self.ledger.caller_received(reset(), "edge-1", 2.0)
        self.assertEqual(self.broken(), ["flow"])

    def test_a_flow_whose_target_has_started_again_may_be_reset(self):
        self.open_flow()
        self.ledger.target_started("i-1")
        self.ledger.caller_received(reset(), "edge-1", 2.0)
        self.assertEqual(self.broken(), [])

    def test_a_flow_whose_route_was_dropped_may_be_reset(self):
        self.open_flow()
        self.ledger.configured(2, ["pack-archive"])
        self.ledger.caller_received(reset(), "edge-1", 2.0)
        self.assertEqual(self.broken(), [])


class PacketTest(LedgerCase):
    def test_a_packet_that_no_caller_sent_is_noticed(self):
        self.ledger.target_received("i-1", "case-desk", opening(), 1.0)
        self.assertEqual(self.broken(), ["unasked"])

    def test_a_packet_that_no_target_sent_is_noticed(self):
        self.open_flow()
        changed = packet(FRONT, CALLER, ACK, 7, 1, b"other data")
        self.ledger.caller_received(changed, "side-1", 2.0)
        self.assertEqual(self.broken(), ["mixed"])

    def test_a_packet_for_another_caller_is_noticed(self):
        self.ledger.caller_received(accepting(), "side-1", 2.0)
        self.assertEqual(self.broken(), ["mixed"])

    def test_a_flow_at_a_target_of_another_service_is_noticed(self):
        self.ledger.caller_sent(opening(), "edge-1")
        self.ledger.target_received("i-2", "pack-archive", opening(), 1.0)
        self.assertEqual(self.broken(), ["route"])


class DrainTest(LedgerCase):
    def test_a_new_flow_at_a_target_that_drains_is_noticed_after_its_time(self):
        self.ledger.caller_sent(opening(), "edge-1")
        self.ledger.drain_acknowledged("i-1", 1.0)
        self.ledger.target_received("i-1", "case-desk", opening(), 1.0 + DRAIN_S)
        self.assertEqual(self.broken(), [])
        self.ledger.target_received("i-1", "case-desk", opening(), 1.1 + DRAIN_S)
        self.assertEqual(self.broken(), ["drain"])


class ConfigurationTest(LedgerCase):
    def setUp(self):
        super().setUp()
        self.ledger.configured(2, ["pack-archive"])
        self.ledger.caller_sent(opening(), "edge-1")
        self.ledger.caller_received(reset(), "edge-1", 1.0)
        self.ledger.flows.clear()

    def accept_by(self, balancer):
        self.ledger.caller_sent(opening(), balancer)
        self.ledger.target_sent(accepting())
        self.ledger.caller_received(accepting(), "side-1", 2.0)

    def test_a_balancer_that_goes_back_is_noticed(self):
        self.accept_by("edge-1")
        self.assertEqual(self.broken(), ["configuration"])

    def test_another_balancer_and_another_run_may_be_behind(self):
        self.accept_by("edge-2")
        self.ledger.flows.clear()
        self.ledger.balancer_started("edge-1")
        self.accept_by("edge-1")
        self.assertEqual(self.broken(), [])

    def test_a_route_that_is_back_may_be_used(self):
        self.ledger.configured(3, FRONTS)
        self.accept_by("edge-1")
        self.assertEqual(self.broken(), [])
