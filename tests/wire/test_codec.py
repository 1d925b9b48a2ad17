import unittest

from hypothesis import given, strategies as st

from ryesaddle.errors import WireError
from ryesaddle.internal.address import Address
from ryesaddle.internal.wire.codec import Codec
from ryesaddle.internal.wire.message import Answer, Control, Datagram, Forward

names = st.text(min_size=1, max_size=20)
addresses = st.builds(
    Address, st.ip_addresses(v=4).map(str), st.integers(min_value=0, max_value=65535)
)
payloads = st.binary(max_size=1_500)
forwards = st.builds(
    Forward,
    service=names,
    caller=addresses,
    balancer=addresses,
    agent=names,
    incarnation=st.integers(0, 2**64 - 1),
    payload=payloads,
    visited=st.lists(names, max_size=4).map(tuple),
    pending=st.lists(names, max_size=4).map(tuple),
    offer_load=st.integers(-1, 2**31 - 1),
    returned=st.booleans(),
)
bodies = forwards | st.builds(Answer, names, addresses, payloads)
datagrams = st.builds(
    Datagram, names, st.integers(0, 2**64 - 1), bodies | st.builds(Control, payloads)
)
codec = Codec(b"k" * 16)


class CodecTest(unittest.TestCase):
    @given(datagrams)
    def test_decoding_reverses_encoding(self, datagram):
        self.assertEqual(codec.decode(codec.encode(datagram)), datagram)

    @given(datagrams, st.data())
    def test_truncated_datagrams_are_rejected(self, datagram, data):
        encoded = codec.encode(datagram)
        length = data.draw(st.integers(0, len(encoded) - 1))
        with self.assertRaises(WireError):
            codec.decode(encoded[:length])

    @given(datagrams, st.data())
    def test_modified_datagrams_are_rejected(self, datagram, data):
        encoded = bytearray(codec.encode(datagram))
        encoded[data.draw(st.integers(0, len(encoded) - 1))] ^= data.draw(
            st.integers(1, 255)
        )
        with self.assertRaises(WireError):
            codec.decode(bytes(encoded))

    @given(datagrams)
    def test_datagrams_with_another_key_are_rejected(self, datagram):
        with self.assertRaises(WireError):
            codec.decode(Codec(b"x" * 16).encode(datagram))

    @given(st.binary(max_size=200))
    def test_random_bytes_with_a_valid_tag_are_rejected(self, body):
        with self.assertRaises(WireError):
            codec.decode(body + codec._tag(body))
