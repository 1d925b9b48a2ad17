"""Relays requests on open flows to other agents while the local target drains."""

import contextlib

import aiohttp
import msgspec
from aiohttp import web

from ryesaddle.daemons.quic.request import Request
from ryesaddle.internal.routing.rendezvous import rank

RELAY_PATH = "/relay"
CONNECT_TIMEOUT_S = 1.0


class RelayedRequest(msgspec.Struct, frozen=True):
    """A request that is relayed to another agent of the service.

    Attributes
    ----------
    service : str
        The service that the request is for.
    req : Request
        The request; its timeout is the time that remains.
    caller, flow : str
        Address of the caller, and name of its flow at the relaying agent.
    body : bytes
        The request body.
    """

    service: str
    req: Request
    caller: str
    flow: str
    body: bytes


class RelayStream:
    """Sends the response to a relayed request back to the relaying agent.

    Parameters
    ----------
    http_req : aiohttp.web.Request
        The HTTP request of the relaying agent.
    relayed : RelayedRequest
        The content of ``http_req``.
    """

    def __init__(self, http_req, relayed):
        self._http_req = http_req
        self.caller = relayed.caller
        self.flow_name = relayed.flow
        self.response = None

    @property
    def closed(self):
        """Whether the relaying agent has disconnected."""
        transport = self._http_req.transport
        return transport is None or transport.is_closing()

    async def start(self, status, fields):
        """Send the status and header fields."""
        self.response = web.StreamResponse(status=status, headers=dict(fields))
        await self.response.prepare(self._http_req)

    async def write(self, data):
        """Send a part of the body."""
        await self.response.write(data)

    async def finish(self):
        """Finish the body."""
        await self.response.write_eof()

    def send_empty(self, status, fields):
        """Prepare a response without a body."""
        self.response = web.Response(status=status, headers=dict(fields))

    def abort(self):
        """Abort the connection, so that the relaying agent sees an error."""
        if not self.closed:
            self._http_req.transport.abort()

    async def wait_delivered(self):
        """Return False: only the relaying agent sees the caller's acknowledgement."""
        return False


class Relay:
    """Relays requests to other agents and receives those that they relay.

    Parameters
    ----------
    node : Node
        The components shared by balancers and agents.
    owner : Owner
        Provides the current view of the service.
    """

    def __init__(self, node, owner):
        self._node = node
        self._owner = owner

    def choose_member(self, request_id):
        """Return the member to which to relay a request, or None if none is open."""
        view = self._owner.view
        me = self._node.me.node
        members = [m for m in view.members if m.node != me and view.is_open(m)]
        ranked = rank(request_id.encode(), members)
        return ranked[0] if ranked else None

    @contextlib.asynccontextmanager
    async def send(self, member, req, stream, body):
        """Send a request to another agent and yield its `aiohttp.ClientResponse`.

        Parameters
        ----------
        member : Member
            The agent that receives the request.
        req : Request
            The request; its timeout is the time that remains.
        stream : FlowStream
            Stream of the caller; names the caller and the flow.
        body : bytes
            The request body.

        Raises
        ------
        aiohttp.ClientConnectorError
            If no connection to the agent could be established.
        """
        relayed = RelayedRequest(
            self._node.me.service, req, stream.caller, stream.flow_name, bytes(body)
        )
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        response = await self._node.control.post_bytes(
            member.control, RELAY_PATH, msgspec.msgpack.encode(relayed), timeout
        )
        try:
            yield response
        finally:
            response.close()

    def register_handler(self, run):
        """Register the HTTP handler for requests that other agents relay.

        Parameters
        ----------
        run : coroutine function
            Called with a `RelayStream` and a `RelayedRequest`.
        """

        async def handle(http_req):
            data = await http_req.read()
            relayed = msgspec.msgpack.decode(data, type=RelayedRequest)
            if relayed.service != self._node.me.service:
                raise web.HTTPMisdirectedRequest
            stream = RelayStream(http_req, relayed)
            await run(stream, relayed)
            return stream.response or web.Response(status=500)

        self._node.server.route("POST", RELAY_PATH, handle)
