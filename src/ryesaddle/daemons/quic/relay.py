"""Passes requests of established flows on, while the own target drains."""

import contextlib

import aiohttp
import msgspec
from aiohttp import web

from ryesaddle.daemons.quic.request import Request
from ryesaddle.internal.routing.rendezvous import rank

RELAY_PATH = "/relay"
CONNECT_TIMEOUT_S = 1.0


class RelayedRequest(msgspec.Struct, frozen=True):
    """A request on its way to another agent of the service.

    Attributes
    ----------
    service : str
        The service that the request is for.
    req : Request
        The request; its time-out is what is left of it.
    caller, flow : str
        The caller's address, and the flow that the relaying agent owns.
    body : bytes
        The request body.
    """

    service: str
    req: Request
    caller: str
    flow: str
    body: bytes


class RelayStream:
    """The answer to a relayed request, on its way back to the relaying agent.

    Parameters
    ----------
    http_req : aiohttp.web.Request
        The call of the relaying agent.
    relayed : RelayedRequest
        What it relays.
    """

    def __init__(self, http_req, relayed):
        self._http_req = http_req
        self.caller = relayed.caller
        self.flow_name = relayed.flow
        self.reply = None

    @property
    def closed(self):
        """Whether the relaying agent has gone."""
        transport = self._http_req.transport
        return transport is None or transport.is_closing()

    async def start(self, status, fields):
        """Send the status and header fields."""
        self.reply = web.StreamResponse(status=status, headers=dict(fields))
        await self.reply.prepare(self._http_req)

    async def write(self, data):
        """Send a part of the body."""
        await self.reply.write(data)

    async def finish(self):
        """End the body."""
        await self.reply.write_eof()

    def send_empty(self, status, fields):
        """Prepare an answer that has no body."""
        self.reply = web.Response(status=status, headers=dict(fields))

    def abort(self):
        """Break the answer off, so that the relaying agent sees an error."""
        if not self.closed:
            self._http_req.transport.abort()

    async def wait_delivered(self):
        """Whether the answer was passed back; the caller's word is not known here."""
        return False


class Relay:
    """Hands requests to other agents, and takes those that they hand over.

    Parameters
    ----------
    node : Node
        The member parts.
    owner : Owner
        Knows the members of the service.
    """

    def __init__(self, node, owner):
        self._node = node
        self._owner = owner

    def choose_member(self, request_id):
        """Return the open member to relay to, or None if there is none."""
        view = self._owner.view
        me = self._node.me.node
        members = [m for m in view.members if m.node != me and view.is_open(m)]
        ranked = rank(request_id.encode(), members)
        return ranked[0] if ranked else None

    @contextlib.asynccontextmanager
    async def send(self, member, req, stream, body):
        """Give the `aiohttp.ClientResponse` of another agent inside the block.

        Parameters
        ----------
        member : Member
            The other agent.
        req : Request
            The request, with the time that is left.
        stream : FlowStream
            Where its answer goes in the end.
        body : bytes
            The request body.

        Raises
        ------
        aiohttp.ClientConnectorError
            If the agent could not be connected to.
        """
        relayed = RelayedRequest(
            self._node.me.service, req, stream.caller, stream.flow_name, bytes(body)
        )
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        reply = await self._node.control.open(
            member.control, RELAY_PATH, msgspec.msgpack.encode(relayed), timeout
        )
        try:
            yield reply
        finally:
            reply.close()

    def register_handler(self, run):
        """Take requests that other agents hand over.

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
            return stream.reply or web.Response(status=500)

        self._node.server.route("POST", RELAY_PATH, handle)
