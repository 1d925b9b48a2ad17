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
    without_marks,
)

CALLER, FRONT = ("100.64.0.7", 40001), ("198.18.0.1", 443)
FLOW = Flow(Address(*CALLER), Address(*FRONT))
# The packets printed on the platform's page.
OPENING = bytes.fromhex(
    "11223344 00000000 00000000 0000 a1b2c3d5 64400007 c6120001 01bb 9c41 08 0000000000"
)
RESET = bytes.fromhex(
    "00000000 00000000 00000000 0000 00000000 c6120001 64400007 9c41 01bb 02 0000000000"
)
ODD_DATAGRAMS = 1_000_000
codec = PlatformPackets()
numbers = st.integers(0, 2**32 - 1)


class PageTest(unittest.TestCase):
    def test_the_opening_packet_of_the_page_is_read(self):
        found = codec.read_caller(OPENING)
        self.assertEqual(found.flow, FLOW)
        self.assertTrue(found.opens)
        self.assertEqual((found.copy, found.sequence_number), (0, 0x11223344))

    def test_the_reset_of_the_page_is_built(self):
        self.assertEqual(codec.reset(codec.read_caller(OPENING)), RESET)


class ReadTest(unittest.TestCase):
    def test_copies_of_an_opening_packet_are_counted(self):
        for copy in range(3):
            found = codec.read_caller(packet(CALLER, FRONT, SYN, ack=copy))
            self.assertEqual((found.opens, found.copy), (True, copy))

    def test_a_later_packet_is_not_an_opening_one(self):
        for flags in (ACK, ACK | FIN, RST, SYN | ACK):
            found = codec.read_caller(packet(CALLER, FRONT, flags, ack=2))
            self.assertFalse(found.opens)
            self.assertEqual(found.copy, 0)

    def test_the_flow_of_a_targets_packet_is_that_of_its_caller(self):
        found = codec.read_target(packet(FRONT, CALLER, SYN | ACK, seq=9))
        self.assertEqual(found.flow, FLOW)
        self.assertTrue(found.accepts)
        self.assertFalse(found.returned)

    @given(flags=st.sampled_from([SYN, ACK, ACK | FIN]), token=numbers)
    def test_a_returned_packet_names_flow_and_token(self, flags, token):
        sent = codec.with_token(packet(CALLER, FRONT, flags), token)
        found = codec.read_target(returned(sent))
        self.assertTrue(found.returned)
        self.assertEqual((found.flow, found.token), (FLOW, token))
        self.assertEqual(found.opens, flags == SYN)

    def test_a_caller_cannot_use_the_fields_of_the_system(self):
        for data in (
            packet(CALLER, FRONT, SYN, echo=1),
            packet(CALLER, FRONT, SYN, pad=b"\0\0\0\0\1"),
            packet(CALLER, FRONT, SYN | BOUNCED),
        ):
            self.assertIsNone(codec.read_caller(data))

    def test_truncated_and_extended_packets_are_refused(self):
        whole = packet(CALLER, FRONT, ACK, data=b"x" * 50)
        for size in range(len(whole)):
            self.assertIsNone(codec.read_caller(whole[:size]))
            self.assertIsNone(codec.read_target(whole[:size]))
        self.assertIsNone(codec.read_caller(whole + b"x"))
        self.assertIsNone(codec.read_caller(packet(CALLER, FRONT, 0, data=b"x" * 1201)))


class PassOnTest(unittest.TestCase):
    @given(
        flags=st.sampled_from([SYN, ACK, ACK | FIN, ACK | RST]),
        seq=numbers,
        ack=numbers,
        data=st.binary(max_size=1200),
        token=numbers,
    )
    def test_a_packet_is_changed_in_echo_only(self, flags, seq, ack, data, token):
        sent = packet(CALLER, FRONT, flags, seq, ack, data)
        marked = codec.with_token(sent, token)
        self.assertEqual(without_marks(marked), sent)
        self.assertEqual(marked[:8] + marked[12:], sent[:8] + sent[12:])

    @given(ack_number=numbers, sequence_number=numbers)
    def test_a_reset_carries_what_the_caller_expects(self, ack_number, sequence_number):
        sent = packet(CALLER, FRONT, ACK, sequence_number, ack_number)
        answer = codec.reset(codec.read_caller(sent))
        self.assertEqual(int.from_bytes(answer[:4], "big"), ack_number)
        self.assertEqual(answer[4:], RESET[4:])


class OddPacketTest(unittest.TestCase):
    @settings(max_examples=300)
    @given(st.binary(max_size=1300))
    def test_any_bytes_are_read_or_refused(self, data):
        codec.read_caller(data)
        codec.read_target(data)

    def test_a_million_odd_packets_neither_crash_nor_pass_changed(self):
        rng = random.Random(20261203)
        whole = packet(CALLER, FRONT, ACK, 5, 6, rng.randbytes(40))
        accepted = 0
        for _ in range(ODD_DATAGRAMS):
            data = bytearray(whole)
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            if rng.random() < 0.2:
                del data[rng.randrange(len(data)) :]
            data = bytes(data)
            found = codec.read_caller(data)
            if found is None:
                continue
            accepted += 1
            # What may pass on has the fields that belong to the system cleared.
            assert without_marks(data) == data
            assert len(data) >= HEADER_BYTES
        self.assertGreater(accepted, ODD_DATAGRAMS // 10)
