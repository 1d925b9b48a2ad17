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
    """Seals and opens datagrams under the key shared by all members.

    Parameters
    ----------
    key : bytes
        Shared secret, 16 to 64 bytes, for keyed BLAKE2b (RFC 7693).
    """

    def __init__(self, key):
        self._key = key

    def encode(self, datagram):
        """Return the authenticated wire form of ``datagram`` as bytes."""
        msg = _SCHEMA.Datagram.new_message()
        msg.sender = datagram.sender
        msg.incarnation = datagram.incarnation
        match datagram.body:
            case Forward() as body:
                _fill_forward(msg.init("forward"), body)
            case Answer() as body:
                answer = msg.init("answer")
                answer.service = body.service
                _fill_endpoint(answer.caller, body.caller)
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
            If the datagram is truncated, forged or not of the schema.
        """
        if not TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise WireError("Datagram length is out of range; check the sender.")
        body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not hmac.compare_digest(self._tag(body), tag):
            raise WireError("Datagram is not authentic; check peer_key_file.")
        try:
            with _SCHEMA.Datagram.from_bytes(body) as msg:
                return _read(msg)
        except (capnp.KjException, ValueError) as exc:
            raise WireError(
                "Datagram does not follow the schema; upgrade the older process."
            ) from exc

    def _tag(self, data):
        return hashlib.blake2b(data, key=self._key, digest_size=TAG_BYTES).digest()


def _read(msg):
    match msg.which():
        case "forward":
            body = _read_forward(msg.forward)
        case "answer":
            answer = msg.answer
            body = Answer(
                answer.service, _read_endpoint(answer.caller), bytes(answer.payload)
            )
        case _:
            body = Control(bytes(msg.control))
    return Datagram(msg.sender, msg.incarnation, body)


def _fill_forward(fwd, body):
    fwd.service = body.service
    _fill_endpoint(fwd.caller, body.caller)
    _fill_endpoint(fwd.balancer, body.balancer)
    fwd.agent = body.agent
    fwd.incarnation = body.incarnation
    if body.visited:
        fwd.visited = list(body.visited)
    if body.pending:
        fwd.pending = list(body.pending)
    fwd.offerLoad = body.offer_load
    fwd.returned = body.returned
    fwd.payload = body.payload


def _read_forward(fwd):
    return Forward(
        service=fwd.service,
        caller=_read_endpoint(fwd.caller),
        balancer=_read_endpoint(fwd.balancer),
        agent=fwd.agent,
        incarnation=fwd.incarnation,
        payload=bytes(fwd.payload),
        visited=tuple(fwd.visited),
        pending=tuple(fwd.pending),
        offer_load=fwd.offerLoad,
        returned=fwd.returned,
    )


def _fill_endpoint(endpoint, address):
    endpoint.host = address.host
    endpoint.port = address.port


def _read_endpoint(endpoint):
    return Address(endpoint.host, endpoint.port)
