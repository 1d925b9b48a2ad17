"""A request of a caller, decoded from its HTTP/3 headers."""

import uuid

import msgspec

from ryesaddle.daemons.quic.header import REQUEST_ID_HEADER, TIMEOUT_HEADER

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})  # RFC 9110, section 9.2.1
MAX_BODY_BYTES = 1_048_576


class Request(msgspec.Struct, frozen=True):
    """The fields of a request that decide how it is handled.

    Attributes
    ----------
    request_id : str
        Value of ``X-Request-ID``, or a generated identifier.
    method, path : str
        From the pseudo-headers (RFC 9114, section 4.3.1).
    headers : tuple of (str, str)
        All other header fields.
    key : str
        Value of ``Idempotency-Key``, or empty if the method is safe or has no key.
    timeout_s : float
        Seconds within which the caller expects a response.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    key: str
    timeout_s: float


def decode_request(raw_headers, default_timeout_s):
    """Return the `Request` decoded from HTTP/3 header pairs of bytes."""
    fields = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in raw_headers]
    pseudo = {k: v for k, v in fields if k.startswith(":")}
    headers = tuple((k, v) for k, v in fields if not k.startswith(":"))
    by_name = dict(headers)
    method = pseudo.get(":method", "GET")
    key = by_name.get("idempotency-key", "").strip('"')
    return Request(
        request_id=by_name.get(REQUEST_ID_HEADER) or uuid.uuid4().hex,
        method=method,
        path=pseudo.get(":path", "/"),
        headers=headers,
        key="" if method in SAFE_METHODS else key,
        timeout_s=_parse_timeout_s(by_name.get(TIMEOUT_HEADER), default_timeout_s),
    )


def _parse_timeout_s(text, default):
    try:
        value = float(text)
    except (TypeError, ValueError):
        return default
    return min(max(value, 0.0), default)
