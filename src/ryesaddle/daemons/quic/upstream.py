"""HTTP/1.1 exchanges with the target."""

import contextlib

import aiohttp

CONNECT_TIMEOUT_S = 2.0
CONNECTION_LIMIT = 2_000
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

    Connections are reused after a complete exchange, except for requests with an
    unsafe method: if the target closed a reused connection while such a request was
    sent, it would be unknown whether the request ran.

    Parameters
    ----------
    address : Address
        HTTP/1.1 address of the target.
    """

    def __init__(self, address):
        self._base_url = f"http://{address}"
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        options = {"timeout": timeout, "auto_decompress": False}
        self._pooled_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=CONNECTION_LIMIT),
            cookie_jar=aiohttp.DummyCookieJar(),
            **options,
        )
        self._single_use_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=CONNECTION_LIMIT, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            **options,
        )

        # When a connection breaks, aiohttp retries PUT and DELETE although the first
        # request may have run. It has no public option to disable this.
        self._single_use_session._retry_connection = False

    @contextlib.asynccontextmanager
    async def exchange(self, method, path, headers, body, is_safe):
        """Send a request and yield its `aiohttp.ClientResponse`.

        Leaving the block before the response was read to its end closes the
        connection, so that the rest cannot be taken for another response.

        Raises
        ------
        aiohttp.ClientConnectorError
            If no connection could be established; the request did not run.
        """
        session = self._pooled_session if is_safe else self._single_use_session
        response = await session.request(
            method,
            self._base_url + path,
            headers=headers,
            data=body or None,
            allow_redirects=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type"),
        )
        try:
            yield response
        finally:
            response.close()

    async def close(self):
        """Close all connections."""
        await self._pooled_session.close()
        await self._single_use_session.close()


def end_to_end_headers(headers):
    """Return header pairs without the hop-by-hop fields."""
    return [(str(k), v) for k, v in headers if k.lower() not in HOP_BY_HOP_HEADERS]
