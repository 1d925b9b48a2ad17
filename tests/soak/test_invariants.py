import unittest

from soak.invariants import DRAIN_PERIOD_S, InvariantChecker
from tests.support.packets import ACK, RST, SYN, packet

SERVICE_ADDRESSES = {
    "case-desk": ("198.18.0.1", 443),
    "pack-archive": ("198.18.0.2", 443),
}
ADDRESS, OTHER_ADDRESS = (
    SERVICE_ADDRESSES["case-desk"],
    SERVICE_ADDRESSES["pack-archive"],
)
CALLER = ("127.0.12.1", 10_001)
TARGET_SEQ = 900


def syn_packet(attempt=0):
    return packet(CALLER, ADDRESS, SYN, 5, attempt)


def syn_ack_packet():
    return packet(ADDRESS, CALLER, SYN | ACK, TARGET_SEQ)


def reset_packet():
    data = bytearray(packet(ADDRESS, CALLER, RST))
    data[14:18] = bytes(4)
    return bytes(data)


class CheckerCase(unittest.TestCase):
    def setUp(self):
        self.checker = InvariantChecker(SERVICE_ADDRESSES)
        for name in ("i-1", "i-2"):
            self.checker.target_started(name)
        for name in ("balancer-1", "balancer-2"):
            self.checker.balancer_started(name)
        self.checker.configuration_written(1, SERVICE_ADDRESSES)

    def open_flow(self):
        self.checker.caller_sent(syn_packet(), "balancer-1")
        self.checker.target_received("i-1", "case-desk", syn_packet(), 1.0)
        self.checker.target_sent(syn_ack_packet())
        self.checker.caller_received(syn_ack_packet(), "agent-1", 1.0)
        self.checker.caller_sent(
            packet(CALLER, ADDRESS, ACK, 6, TARGET_SEQ), "balancer-1"
        )
        self.checker.flow_opened("i-1", CALLER)

    def invariants_violated(self):
        return [violation.invariant for violation in self.checker.violations]


class FlowTest(CheckerCase):
    def test_a_reset_of_a_flow_that_its_target_holds_is_detected(self):
        self.open_flow()
        self.assertEqual(self.invariants_violated(), [])
        self.checker.caller_received(reset_packet(), "balancer-1", 2.0)
        self.assertEqual(self.invariants_violated(), ["flow"])

    def test_a_flow_whose_target_has_restarted_may_be_reset(self):
        self.open_flow()
        self.checker.target_started("i-1")
        self.checker.caller_received(reset_packet(), "balancer-1", 2.0)
        self.assertEqual(self.invariants_violated(), [])

    def test_a_flow_whose_route_was_dropped_may_be_reset(self):
        self.open_flow()
        self.checker.configuration_written(2, ["pack-archive"])
        self.checker.caller_received(reset_packet(), "balancer-1", 2.0)
        self.assertEqual(self.invariants_violated(), [])


class PacketTest(CheckerCase):
    def test_a_packet_that_no_caller_sent_is_detected(self):
        self.checker.target_received("i-1", "case-desk", syn_packet(), 1.0)
        self.assertEqual(self.invariants_violated(), ["unasked"])

    def test_a_packet_that_no_target_sent_is_detected(self):
        self.open_flow()
        changed = packet(ADDRESS, CALLER, ACK, 7, 1, b"other data")
        self.checker.caller_received(changed, "agent-1", 2.0)
        self.assertEqual(self.invariants_violated(), ["mixed"])

    def test_a_packet_for_another_caller_is_detected(self):
        self.checker.caller_received(syn_ack_packet(), "agent-1", 2.0)
        self.assertEqual(self.invariants_violated(), ["mixed"])

    def test_a_flow_at_a_target_of_another_service_is_detected(self):
        self.checker.caller_sent(syn_packet(), "balancer-1")
        self.checker.target_received("i-2", "pack-archive", syn_packet(), 1.0)
        self.assertEqual(self.invariants_violated(), ["route"])

    def test_a_search_may_reach_a_target_of_another_service(self):
        self.open_flow()
        later = packet(CALLER, ADDRESS, ACK, 8)
        self.checker.caller_sent(later, "balancer-1")
        self.checker.target_received("i-2", "pack-archive", later, 1.0)
        self.assertEqual(self.invariants_violated(), [])


class DrainTest(CheckerCase):
    def test_a_new_flow_at_a_draining_target_is_detected_after_the_drain_period(self):
        self.checker.caller_sent(syn_packet(), "balancer-1")
        self.checker.drain_acknowledged("i-1", 1.0)
        self.checker.target_received(
            "i-1", "case-desk", syn_packet(), 1.0 + DRAIN_PERIOD_S
        )
        self.assertEqual(self.invariants_violated(), [])
        self.checker.target_received(
            "i-1", "case-desk", syn_packet(), 1.1 + DRAIN_PERIOD_S
        )
        self.assertEqual(self.invariants_violated(), ["drain"])


class ConfigurationTest(CheckerCase):
    def setUp(self):
        super().setUp()
        self.checker.configuration_written(2, ["pack-archive"])
        self.checker.caller_sent(syn_packet(), "balancer-1")
        self.checker.caller_received(reset_packet(), "balancer-1", 1.0)
        self.checker.flows.clear()

    def accept_flow_at(self, balancer):
        self.checker.caller_sent(syn_packet(), balancer)
        self.checker.target_sent(syn_ack_packet())
        self.checker.caller_received(syn_ack_packet(), "agent-1", 2.0)

    def test_a_balancer_that_goes_back_to_an_older_version_is_detected(self):
        self.accept_flow_at("balancer-1")
        self.assertEqual(self.invariants_violated(), ["configuration"])

    def test_another_or_a_restarted_balancer_may_use_an_older_version(self):
        self.accept_flow_at("balancer-2")
        self.checker.flows.clear()
        self.checker.balancer_started("balancer-1")
        self.accept_flow_at("balancer-1")
        self.assertEqual(self.invariants_violated(), [])

    def test_a_restored_route_may_be_used(self):
        self.checker.configuration_written(3, SERVICE_ADDRESSES)
        self.accept_flow_at("balancer-1")
        self.assertEqual(self.invariants_violated(), [])
