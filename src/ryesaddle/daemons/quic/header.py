"""Header fields of answers to callers."""

from ryesaddle.internal.journal.outcome import Outcome

PROXY_NAME = "ryesaddle"
OUTCOME_HEADER = "ryesaddle-outcome"
REQUEST_ID_HEADER = "x-request-id"
TIMEOUT_HEADER = "x-request-timeout"


def target_request_fields(fields, left_s):
    """Return the header fields of a request to the target.

    Parameters
    ----------
    fields : iterable of (str, str)
        End-to-end header fields of the caller.
    left_s : float
        Seconds that are left until the deadline.
    """
    kept = [(k, v) for k, v in fields if k.lower() != TIMEOUT_HEADER]
    return [*kept, (TIMEOUT_HEADER, f"{max(left_s, 0.0):.3f}")]


def response_fields(fields, request_id, length=None):
    """Return the header fields of a whole answer as a tuple of pairs.

    Parameters
    ----------
    fields : iterable of (str, str)
        End-to-end header fields of the target.
    request_id : str
        Identifier of the request.
    length : int or str, optional
        Length of the body in bytes, if it is known.
    """
    added = [(REQUEST_ID_HEADER, request_id), (OUTCOME_HEADER, str(Outcome.RAN))]
    if length is not None:
        added.append(("content-length", str(length)))
    return (*((k.lower(), v) for k, v in fields), *added)


def error_fields(request_id, outcome, reason, retry_after_s=None):
    """Return the header fields of an answer made by ryesaddle itself.

    The reason is told by Proxy-Status (RFC 9209).
    """
    detail = f'{PROXY_NAME}; error=proxy_internal_response; details="{reason}"'
    fields = [
        ("content-length", "0"),
        (REQUEST_ID_HEADER, request_id),
        (OUTCOME_HEADER, str(outcome)),
        ("proxy-status", detail),
    ]
    if retry_after_s is not None:
        fields.append(("retry-after", str(retry_after_s)))
    return tuple(fields)
