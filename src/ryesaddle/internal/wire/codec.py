"""Encodes, authenticates and decodes datagrams between processes."""

import hashlib
import hmac
from pathlib import Path

import capnp

from ryesaddle.errors import WireError
from ryesaddle.internal.address import Address
from ryesaddle.internal.wire.message import Answer, Control, Datagram, Forward

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("datagram.capnp")))

TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 60_000


class Codec:
    """Encodes and decodes datagrams, authenticated with the key of all members.

    Parameters
    ----------
    key : bytes
        Shared secret, 16 to 64 bytes, for keyed BLAKE2b (RFC 7693).
    """

    def __init__(self, key):
        self._key = key

    def encode(self, datagram):
        """Return ``datagram`` as bytes, followed by its authentication tag."""
        msg = _SCHEMA.Datagram.new_message()
        msg.sender = datagram.sender
        msg.incarnation = datagram.incarnation
        match datagram.body:
            case Forward() as body:
                _encode_forward(msg.init("forward"), body)
            case Answer() as body:
                answer = msg.init("answer")
                answer.service = body.service
                _encode_address(answer.caller, body.caller)
                answer.payload = body.payload
            case Control(body=body):
                msg.control = body
        data = msg.to_bytes()
        return data + self._tag(data)

    def decode(self, data):
        """Return the `Datagram` in ``data``.

        Raises
        ------
        WireError
            If the datagram is too short or too long, its authentication tag is
            wrong, or it does not follow the schema.
        """
        if not TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise WireError("Datagram is too short or too long; check the sender.")
        body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not hmac.compare_digest(self._tag(body), tag):
            raise WireError(
                "Datagram has a wrong authentication tag; check that all members "
                "use the same peer_key_file."
            )
        try:
            with _SCHEMA.Datagram.from_bytes(body) as msg:
                return _decode_datagram(msg)
        except (capnp.KjException, ValueError) as exc:
            raise WireError(
                "Datagram does not follow the schema; upgrade the older process."
            ) from exc

    def _tag(self, data):
        return hashlib.blake2b(data, key=self._key, digest_size=TAG_BYTES).digest()


def _decode_datagram(msg):
    match msg.which():
        case "forward":
            body = _decode_forward(msg.forward)
        case "answer":
            answer = msg.answer
            body = Answer(
                answer.service, _decode_address(answer.caller), bytes(answer.payload)
            )
        case _:
            body = Control(bytes(msg.control))
    return Datagram(msg.sender, msg.incarnation, body)


def _encode_forward(fwd, body):
    fwd.service = body.service
    _encode_address(fwd.caller, body.caller)
    _encode_address(fwd.balancer, body.balancer)
    fwd.agent = body.agent
    fwd.incarnation = body.incarnation
    if body.visited:
        fwd.visited = list(body.visited)
    if body.pending:
        fwd.pending = list(body.pending)
    fwd.offerLoad = body.offer_load
    fwd.returned = body.returned
    fwd.payload = body.payload


def _decode_forward(fwd):
    return Forward(
        service=fwd.service,
        caller=_decode_address(fwd.caller),
        balancer=_decode_address(fwd.balancer),
        agent=fwd.agent,
        incarnation=fwd.incarnation,
        payload=bytes(fwd.payload),
        visited=tuple(fwd.visited),
        pending=tuple(fwd.pending),
        offer_load=fwd.offerLoad,
        returned=fwd.returned,
    )


def _encode_address(endpoint, address):
    endpoint.host = address.host
    endpoint.port = address.port


def _decode_address(endpoint):
    return Address(endpoint.host, endpoint.port)
