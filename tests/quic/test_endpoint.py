import tempfile
import unittest

from hypothesis import given, strategies as st

from ryesaddle.internal.address import Address
from ryesaddle.internal.quic.endpoint import Endpoint, make_configuration
from ryesaddle.internal.quic.packet import read_packet
from ryesaddle.internal.quic.reset import MIN_RESET_BYTES, ResetTokens
from tests.support.certificates import write_certificate

CALLER, BALANCER = Address("10.0.0.1", 1), Address("10.0.0.2", 2)
tokens = ResetTokens(b"k" * 32)
flow_ids = st.binary(min_size=8, max_size=8)


class EndpointTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        with tempfile.TemporaryDirectory() as folder:
            cls.cfg = make_configuration(*write_certificate(folder))

    @given(st.binary(max_size=1_500))
    def test_random_datagrams_raise_no_error(self, random_bytes):
        info = read_packet(random_bytes)
        if info is None:
            return
        endpoint = Endpoint(self.cfg, tokens)
        flow = endpoint.open(info, CALLER, BALANCER, 0.0)
        flow.receive(random_bytes, CALLER, BALANCER, 0.0)
        self.assertEqual(list(flow.events()), [])

    @given(st.binary(min_size=1_193, max_size=1_193))
    def test_random_initial_packets_yield_no_events(self, random_bytes):
        payload = b"\xc0\x00\x00\x00\x01\x08\x00" + random_bytes
        endpoint = Endpoint(self.cfg, tokens)
        info = read_packet(payload)
        if info is None:
            return
        flow = endpoint.open(info, CALLER, BALANCER, 0.0)
        flow.receive(payload, CALLER, BALANCER, 0.0)
        self.assertEqual(list(flow.events()), [])

    @given(flow_ids, st.integers(0, 1_500))
    def test_reset_is_shorter_than_the_answered_datagram_and_ends_with_the_token(
        self, flow_id, length
    ):
        reset = tokens.build_reset(flow_id, length)
        if length <= MIN_RESET_BYTES:
            self.assertIsNone(reset)
            return
        self.assertLess(len(reset), length)
        self.assertTrue(reset.endswith(tokens.token(flow_id)))
        self.assertEqual(reset[0] & 0xC0, 0x40)

    def test_every_agent_derives_the_same_token(self):
        flow_id = b"12345678"
        other = ResetTokens(b"k" * 32)
        self.assertEqual(tokens.token(flow_id), other.token(flow_id))
        self.assertNotEqual(tokens.token(flow_id), tokens.token(b"87654321"))

    def test_unsupported_version_causes_version_negotiation(self):
        payload = b"\xc0\x0a\x0a\x0a\x0a\x08" + bytes(8) + b"\x08" + bytes(1_200)
        info = read_packet(payload)
        answer = Endpoint(self.cfg, tokens).negotiate_version(info)
        self.assertIsNotNone(answer)
        self.assertEqual(answer[1:5], bytes(4))
