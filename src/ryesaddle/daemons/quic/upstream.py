"""HTTP/1.1 exchanges with the target."""

import contextlib

import aiohttp

CONNECT_TIMEOUT_S = 2.0
CONNECTION_LIMIT = 2_000
HOP_HEADERS = frozenset(
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

    Connections that carried an exchange to its end are used again, except for
    submissions: a connection that the target closes just then would leave open
    whether the request ran.

    Parameters
    ----------
    address : Address
        Where the target accepts HTTP/1.1.
    """

    def __init__(self, address):
        self._base = f"http://{address}"
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        options = {"timeout": timeout, "auto_decompress": False}
        self._shared = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=CONNECTION_LIMIT),
            cookie_jar=aiohttp.DummyCookieJar(),
            **options,
        )
        self._single = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=CONNECTION_LIMIT, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            **options,
        )

        # aiohttp sends PUT and DELETE again by itself when the connection breaks,
        # although the first may have run; it has no public switch for this.
        self._single._retry_connection = False

    @contextlib.asynccontextmanager
    async def exchange(self, method, path, headers, body, safe):
        """Send a request and give its `aiohttp.ClientResponse` inside the block.

        Leaving the block before the whole answer was read closes the
        connection, so that a late answer can reach nobody else.

        Raises
        ------
        aiohttp.ClientConnectorError
            If the target could not be connected to: the request did not run.
        """
        session = self._shared if safe else self._single
        reply = await session.request(
            method,
            self._base + path,
            headers=headers,
            data=body or None,
            allow_redirects=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type"),
        )
        try:
            yield reply
        finally:
            reply.close()

    async def close(self):
        """Close all connections."""
        await self._shared.close()
        await self._single.close()


def end_to_end_headers(headers):
    """Return header pairs without those that concern one connection only."""
    return [(str(k), v) for k, v in headers if k.lower() not in HOP_HEADERS]
