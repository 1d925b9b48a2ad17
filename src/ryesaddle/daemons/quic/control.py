"""The HTTP endpoint for members and operators."""

import hashlib
import hmac

import aiohttp
import msgspec
from aiohttp import web

from ryesaddle.errors import SettingsError

FETCH_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 64 * 1_048_576


def bearer(peer_key):
    """Return the Authorization header value that members and operators share."""
    digest = hashlib.blake2b(key=peer_key, person=b"control-http", digest_size=32)
    return f"Bearer {digest.hexdigest()}"


def json_response(value, status=200):
    """Return a JSON response of a msgspec-encodable value."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )


class ControlServer:
    """Serves the control routes of one process.

    Parameters
    ----------
    address : Address
        Where to listen.
    authorization : str
        Header value that callers must present.
    """

    def __init__(self, address, authorization):
        self._address = address
        self._authorization = authorization
        self.app = web.Application(
            middlewares=[self._authorize], client_max_size=MAX_BODY_BYTES
        )
        self._runner = None

    def route(self, method, path, handler):
        """Add a route."""
        self.app.router.add_route(method, path, handler)

    async def open(self):
        """Listen on the control address."""
        # A relayed request ends with the agent that relayed it.
        self._runner = web.AppRunner(
            self.app, access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, *self._address)
        try:
            await site.start()
        except OSError as exc:
            raise SettingsError(
                f"control: {self._address} cannot be bound ({exc.strerror}); choose a "
                "free local address"
            ) from exc

    async def close(self):
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authorize(self, req, handler):
        given = req.headers.get("Authorization", "")
        if not hmac.compare_digest(given.encode(), self._authorization.encode()):
            return json_response({"error": "not a member; check peer_key_file"}, 403)
        return await handler(req)


class ControlClient:
    """Calls the control routes of other processes.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to use.
    authorization : str
        Header value to present.
    """

    def __init__(self, session, authorization):
        self._session = session
        self._headers = {"Authorization": authorization}

    async def get(self, address, path, timeout_s=FETCH_TIMEOUT_S):
        """Return the body of an answer as bytes, or None if there is none."""
        return await self._call("GET", address, path, None, timeout_s)

    async def post(self, address, path, value, timeout_s=FETCH_TIMEOUT_S):
        """Send a msgspec-encodable value; return the body answered, or None."""
        data = msgspec.json.encode(value)
        return await self._call("POST", address, path, data, timeout_s)

    async def open(self, address, path, data, timeout):
        """Send bytes and return the open `aiohttp.ClientResponse`.

        Unlike `post`, this raises the errors of aiohttp: the caller must know
        whether the other side may have received the data.
        """
        return await self._session.post(
            f"http://{address}{path}",
            headers=self._headers,
            data=data,
            timeout=timeout,
        )

    async def _call(self, method, address, path, data, timeout_s):
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{address}{path}"
        try:
            async with self._session.request(
                method, url, headers=self._headers, data=data, timeout=timeout
            ) as reply:
                return await reply.read() if reply.status == 200 else None
        except (aiohttp.ClientError, TimeoutError):
            return None
