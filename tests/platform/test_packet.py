import random
import unittest

from hypothesis import given, settings, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.routing.packet import Flow
from ryesaddle.platform.packet import HEADER_BYTES, PlatformPackets
from tests.support.packets import (
    ACK,
    BOUNCED,
    FIN,
    RST,
    SYN,
    packet,
    returned,
    without_mutable_fields,
)

CALLER, FRONT = ("100.64.0.7", 40001), ("198.18.0.1", 443)
FLOW = Flow(Address(*CALLER), Address(*FRONT))
# The examples in the platform's protocol specification.
OPENING = bytes.fromhex(
    "11223344 00000000 00000000 0000 a1b2c3d5 64400007 c6120001 01bb 9c41 08 0000000000"
)
RESET = bytes.fromhex(
    "00000000 00000000 00000000 0000 00000000 c6120001 64400007 9c41 01bb 02 0000000000"
)
MUTATED_DATAGRAMS = 1_000_000
codec = PlatformPackets()
numbers = st.integers(0, 2**32 - 1)


class SpecificationTest(unittest.TestCase):
    def test_opening_packet_of_the_specification_is_parsed(self):
        found = codec.read_caller(OPENING)
        self.assertEqual(found.flow, FLOW)
        self.assertTrue(found.opens)
        self.assertEqual((found.copy, found.sequence_number), (0, 0x11223344))

    def test_reset_of_the_specification_is_built(self):
        self.assertEqual(codec.reset(codec.read_caller(OPENING)), RESET)


class ReadTest(unittest.TestCase):
    def test_copy_number_of_an_opening_packet_is_read(self):
        for copy in range(3):
            found = codec.read_caller(packet(CALLER, FRONT, SYN, ack=copy))
            self.assertEqual((found.opens, found.copy), (True, copy))

    def test_later_packets_do_not_open_a_flow(self):
        for flags in (ACK, ACK | FIN, RST, SYN | ACK):
            found = codec.read_caller(packet(CALLER, FRONT, flags, ack=2))
            self.assertFalse(found.opens)
            self.assertEqual(found.copy, 0)

    def test_packet_of_a_target_belongs_to_the_flow_of_its_caller(self):
        found = codec.read_target(packet(FRONT, CALLER, SYN | ACK, seq=9))
        self.assertEqual(found.flow, FLOW)
        self.assertTrue(found.accepts)
        self.assertFalse(found.returned)

    @given(flags=st.sampled_from([SYN, ACK, ACK | FIN]), token=numbers)
    def test_returned_packet_holds_its_flow_and_token(self, flags, token):
        sent = codec.with_token(packet(CALLER, FRONT, flags), token)
        found = codec.read_target(returned(sent))
        self.assertTrue(found.returned)
        self.assertEqual((found.flow, found.token), (FLOW, token))
        self.assertEqual(found.opens, flags == SYN)

    def test_callers_cannot_set_the_reserved_fields(self):
        for data in (
            packet(CALLER, FRONT, SYN, echo=1),
            packet(CALLER, FRONT, SYN, pad=b"\0\0\0\0\1"),
            packet(CALLER, FRONT, SYN | BOUNCED),
        ):
            self.assertIsNone(codec.read_caller(data))

    def test_truncated_and_extended_packets_are_rejected(self):
        complete = packet(CALLER, FRONT, ACK, data=b"x" * 50)
        for size in range(len(complete)):
            self.assertIsNone(codec.read_caller(complete[:size]))
            self.assertIsNone(codec.read_target(complete[:size]))
        self.assertIsNone(codec.read_caller(complete + b"x"))
        self.assertIsNone(codec.read_caller(packet(CALLER, FRONT, 0, data=b"x" * 1201)))


class ForwardingTest(unittest.TestCase):
    @given(
        flags=st.sampled_from([SYN, ACK, ACK | FIN, ACK | RST]),
        seq=numbers,
        ack=numbers,
        data=st.binary(max_size=1200),
        token=numbers,
    )
    def test_token_changes_only_the_echo_field(self, flags, seq, ack, data, token):
        sent = packet(CALLER, FRONT, flags, seq, ack, data)
        with_token = codec.with_token(sent, token)
        self.assertEqual(without_mutable_fields(with_token), sent)
        self.assertEqual(with_token[:8] + with_token[12:], sent[:8] + sent[12:])

    @given(ack_number=numbers, sequence_number=numbers)
    def test_reset_has_the_sequence_number_that_the_caller_expects(
        self, ack_number, sequence_number
    ):
        sent = packet(CALLER, FRONT, ACK, sequence_number, ack_number)
        answer = codec.reset(codec.read_caller(sent))
        self.assertEqual(int.from_bytes(answer[:4], "big"), ack_number)
        self.assertEqual(answer[4:], RESET[4:])


class MalformedPacketTest(unittest.TestCase):
    @settings(max_examples=300)
    @given(st.binary(max_size=1300))
    def test_arbitrary_bytes_raise_no_error(self, data):
        codec.read_caller(data)
        codec.read_target(data)

    def test_mutated_packets_are_rejected_or_have_no_reserved_field_set(self):
        rng = random.Random(20261203)
        complete = packet(CALLER, FRONT, ACK, 5, 6, rng.randbytes(40))
        accepted = 0
        for _ in range(MUTATED_DATAGRAMS):
            data = bytearray(complete)
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            if rng.random() < 0.2:
                del data[rng.randrange(len(data)) :]
            data = bytes(data)
            found = codec.read_caller(data)
            if found is None:
                continue
            accepted += 1
            # Only packets in which the load balancer's own fields are 0 may pass.
            assert without_mutable_fields(data) == data
            assert len(data) >= HEADER_BYTES
        self.assertGreater(accepted, MUTATED_DATAGRAMS // 10)
