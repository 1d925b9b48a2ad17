"""An in-memory object API with the Kubernetes conventions and injectable faults."""

import asyncio
import json
import sys

from aiohttp import web

from ryesaddle.internal.store.object import API_PATH

MAX_HISTORY_EVENTS = 1_000
BOOKMARK_INTERVAL_S = 1.0


class ObjectApi:
    """Holds objects in memory and serves them to list, watch, read and write.

    ``PUT /faults`` sets the faults from these keys: ``down`` (every call gets a 503),
    ``throttle`` (every call gets a 429), ``lose_answers`` (so many writes take effect
    but the connection breaks before the response) and ``delay_s`` (delay before each
    call). ``POST /compact`` drops the event history, so that watches from an older
    version get a 410, and ``GET /calls`` returns the number of calls by kind.
    """

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.history = []
        self.compacted = 0
        self.faults = {}
        self.calls = {"read": 0, "write": 0, "watch": 0}
        self._changed = asyncio.Condition()
        self.app = web.Application()
        path = API_PATH
        self.app.router.add_get(path + "/{kind}", self._list_or_watch)
        self.app.router.add_post(path + "/{kind}", self._create)
        self.app.router.add_get(path + "/{kind}/{name}", self._get)
        self.app.router.add_put(path + "/{kind}/{name}", self._update)
        self.app.router.add_put("/faults", self._set_faults)
        self.app.router.add_post("/compact", self._compact)
        self.app.router.add_get("/calls", self._get_calls)

    async def _set_faults(self, req):
        self.faults = await req.json()
        async with self._changed:
            self._changed.notify_all()
        return web.json_response(self.faults)

    async def _compact(self, req):
        self.compacted, self.history = self.version, []
        return web.json_response({})

    async def _get_calls(self, req):
        return web.json_response(self.calls)

    async def _inject_fault(self, kind):
        self.calls[kind] += 1
        if self.faults.get("delay_s"):
            await asyncio.sleep(self.faults["delay_s"])
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable()
        if self.faults.get("throttle"):
            raise web.HTTPTooManyRequests(headers={"Retry-After": "0.1"})

    async def _get(self, req):
        await self._inject_fault("read")
        key = req.match_info["kind"], req.match_info["name"]
        if key not in self.objects:
            raise web.HTTPNotFound()
        return web.json_response(self.objects[key])

    async def _list_or_watch(self, req):
        if "watch" in req.query:
            return await self._watch(req)
        await self._inject_fault("read")
        kind = req.match_info["kind"]
        items = [obj for (k, _), obj in sorted(self.objects.items()) if k == kind]
        metadata = {"resourceVersion": str(self.version)}
        return web.json_response({"items": items, "metadata": metadata})

    async def _create(self, req):
        await self._inject_fault("write")
        obj = await req.json()
        key = req.match_info["kind"], obj["metadata"]["name"]
        if key in self.objects:
            raise web.HTTPConflict()
        return await self._store(req, key, obj, "ADDED")

    async def _update(self, req):
        await self._inject_fault("write")
        obj = await req.json()
        key = req.match_info["kind"], req.match_info["name"]
        stored = self.objects.get(key)
        if stored is None:
            raise web.HTTPNotFound()
        version = stored["metadata"]["resourceVersion"]
        if obj["metadata"]["resourceVersion"] != version:
            raise web.HTTPConflict()
        return await self._store(req, key, obj, "MODIFIED")

    async def _store(self, req, key, obj, event_type):
        self.version += 1
        obj["metadata"]["resourceVersion"] = str(self.version)
        self.objects[key] = obj
        self.history.append((self.version, key[0], event_type, obj))
        if len(self.history) > MAX_HISTORY_EVENTS:
            self.compacted = self.history.pop(0)[0]
        async with self._changed:
            self._changed.notify_all()
        if self.faults.get("lose_answers", 0) > 0:
            self.faults["lose_answers"] -= 1
            req.transport.abort()
        return web.json_response(obj)

    async def _watch(self, req):
        await self._inject_fault("watch")
        kind, since = req.match_info["kind"], int(req.query["resourceVersion"])
        if since < self.compacted:
            raise web.HTTPGone()
        response = web.StreamResponse()
        await response.prepare(req)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + float(req.query.get("timeoutSeconds", "30"))
        while loop.time() < deadline and not self.faults.get("down"):
            for version, event_kind, event_type, obj in list(self.history):
                if version > since and event_kind == kind:
                    await _send(response, event_type, obj)
            since = max(since, self.version)
            async with self._changed:
                if self.version == since:
                    await _wait_for_change(self._changed, BOOKMARK_INTERVAL_S)
            if self.version == since:
                metadata = {"name": "", "resourceVersion": str(since)}
                await _send(response, "BOOKMARK", {"kind": kind, "metadata": metadata})
        return response


async def _send(response, event_type, obj):
    line = json.dumps({"type": event_type, "object": obj}) + "\n"
    await response.write(line.encode())


async def _wait_for_change(condition, timeout_s):
    try:
        await asyncio.wait_for(condition.wait(), timeout_s)
    except TimeoutError:
        return


async def serve(host, port):
    """Start serving; return the runner, which stops the server, and the `ObjectApi`."""
    api = ObjectApi()
    runner = web.AppRunner(api.app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner, api


async def main(host, port):
    await serve(host, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
