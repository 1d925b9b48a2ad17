"""HTTP server and client for calls between members and from operators."""

import hashlib
import hmac

import aiohttp
import msgspec
from aiohttp import web

from ryesaddle.errors import SettingsError

FETCH_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 64 * 1_048_576


def bearer(peer_key):
    """Return the Authorization header value for members and operators."""
    digest = hashlib.blake2b(key=peer_key, person=b"control-http", digest_size=32)
    return f"Bearer {digest.hexdigest()}"


def json_response(value, status=200):
    """Return an HTTP response with a msgspec-encodable value as JSON."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )


class ControlServer:
    """Serves the control routes of one process.

    Parameters
    ----------
    address : Address
        Address on which to listen.
    authorization : str
        Authorization header value that clients must send.
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
        # Cancels the handler of a relayed request when the relaying agent disconnects.
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
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authorize(self, req, handler):
        presented = req.headers.get("Authorization", "")
        if not hmac.compare_digest(presented.encode(), self._authorization.encode()):
            return json_response({"error": "not a member; check peer_key_file"}, 403)
        return await handler(req)


class ControlClient:
    """Calls the control routes of other processes.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client session for the calls.
    authorization : str
        Authorization header value to send.
    """

    def __init__(self, session, authorization):
        self._session = session
        self._headers = {"Authorization": authorization}

    async def get(self, address, path, timeout_s=FETCH_TIMEOUT_S):
        """Return the body of a 200 response as bytes, or None on any failure."""
        return await self._call("GET", address, path, None, timeout_s)

    async def post(self, address, path, value, timeout_s=FETCH_TIMEOUT_S):
        """Send a value as JSON; return the body of a 200 response, or None."""
        data = msgspec.json.encode(value)
        return await self._call("POST", address, path, data, timeout_s)

    async def post_bytes(self, address, path, data, timeout):
        """Send bytes and return the unread `aiohttp.ClientResponse`.

        Unlike `post`, this raises the errors of aiohttp: they tell whether the other
        side may have received the data.
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
            ) as response:
                return await response.read() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError):
            return None
