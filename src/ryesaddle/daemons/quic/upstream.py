"""HTTP/1.1 exchanges with the target."""

import contextlib

import aiohttp

CONNECT_TIMEOUT_S = 2.0
CONNECTION_LIMIT = 2_000
STATUSES_WITHOUT_BODY = (204, 304)
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)


class Upstream:
    """Sends requests to the target beside the agent.

    Each request has its own connection. Answers of HTTP/1.1 carry no identifier, so a
    second copy of an answer on a connection in use would be taken for the answer to
    the next request, which may be another caller's. And if the target closed a reused
    connection while a request was sent, it would be unknown whether the request ran.

    Parameters
    ----------
    address : Address
        HTTP/1.1 address of the target.
    """

    def __init__(self, address):
        self._base_url = f"http://{address}"
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=CONNECTION_LIMIT, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
        )

        # When a connection breaks, aiohttp retries PUT and DELETE although the first
        # request may have run. It has no public option to disable this.
        self._session._retry_connection = False

    @contextlib.asynccontextmanager
    async def exchange(self, method, path, headers, body):
        """Send a request and yield its `aiohttp.ClientResponse`.

        Leaving the block closes the connection.

        Raises
        ------
        aiohttp.ClientConnectorError
            If no connection could be established; the request did not run.
        aiohttp.ClientPayloadError
            If the answer ends with its connection, so that one that broke off would
            look whole.
        """
        response = await self._session.request(
            method,
            self._base_url + path,
            headers=headers,
            data=body or None,
            allow_redirects=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type"),
        )
        try:
            if not _has_length(method, response):
                raise aiohttp.ClientPayloadError(
                    "Answer ends with its connection; let the target send a "
                    "Content-Length or chunks."
                )
            yield response
        finally:
            response.close()

    async def close(self):
        """Close all connections."""
        await self._session.close()


def _has_length(method, response):
    """Whether an answer tells where it ends (RFC 9112, section 6.3)."""
    return (
        method == "HEAD"
        or response.status in STATUSES_WITHOUT_BODY
        or "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )


def end_to_end_headers(headers):
    """Return header pairs without the hop-by-hop fields."""
    return [(str(k), v) for k, v in headers if k.lower() not in HOP_BY_HOP_HEADERS]
