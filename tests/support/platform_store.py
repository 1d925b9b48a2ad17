"""A stand-in for the users' metadata store, written after its page, with faults."""

import asyncio
import json
import sys
from collections import Counter

from aiohttp import web

PAGE = 500
HISTORY = 1_000


class PlatformStore:
    """Holds objects by kind and name behind the store's HTTP calls.

    Faults are set through ``PUT /faults``: ``down`` (503), ``throttle`` (429),
    ``reset`` (the connection breaks), ``silent`` (no answer), ``lose_answers``
    (writes that are done but not answered), ``late`` (as before, done after a
    moment), ``not_done`` (writes that are neither done nor answered).
    """

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.history = []
        self.forgotten = 0
        self.faults = {}
        self.calls = Counter()
        self._changed = asyncio.Condition()
        self.app = web.Application()
        path = "/ryesaddle/objects"
        self.app.router.add_get(path + "/{kind}", self._list)
        self.app.router.add_post(path + "/{kind}", self._create)
        self.app.router.add_get(path + "/{kind}/{name}", self._get)
        self.app.router.add_put(path + "/{kind}/{name}", self._replace)
        self.app.router.add_delete(path + "/{kind}/{name}", self._delete)
        self.app.router.add_put("/faults", self._set_faults)
        self.app.router.add_put("/put/{kind}/{name}", self._put_raw)
        self.app.router.add_post("/forget", self._forget)

    def put(self, kind, name, spec):
        """Write an object as the operator does."""
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("meta", {}).get("created")
        obj = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": created or self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = obj
        self._note(kind, obj, False)
        return obj

    def _note(self, kind, obj, deleted):
        self.history.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        if len(self.history) > HISTORY:
            self.forgotten = self.history.pop(0)[0]

    async def _set_faults(self, req):
        self.faults = await req.json()
        return web.json_response({})

    async def _put_raw(self, req):
        self.put(req.match_info["kind"], req.match_info["name"], await req.json())
        await self._notify()
        return web.json_response({})

    async def _forget(self, req):
        self.history, self.forgotten = [], self.revision
        return web.json_response({})

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _fault(self, req, kind):
        self.calls[kind] += 1
        if self.faults.get("silent"):
            await asyncio.sleep(3600)
        if self.faults.get("reset"):
            req.transport.abort()
            raise web.HTTPServiceUnavailable()
        if self.faults.get("down"):
            raise web.HTTPServiceUnavailable()
        if self.faults.get("throttle"):
            raise web.HTTPTooManyRequests()

    async def _get(self, req):
        await self._fault(req, "stale" if "allowStale" in req.query else "read")
        obj = self.objects.get((req.match_info["kind"], req.match_info["name"]))
        if obj is None:
            raise web.HTTPNotFound()
        return web.json_response(obj)

    async def _list(self, req):
        kind = req.match_info["kind"]
        if "watch" in req.query:
            return await self._watch(req, kind)
        await self._fault(req, "stale" if "allowStale" in req.query else "read")
        after = req.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:PAGE]]
        more = len(names) > PAGE
        body = {"items": items, "more": more, "currentRev": self.revision}
        return web.json_response(body)

    async def _watch(self, req, kind):
        await self._fault(req, "watch")
        since = int(req.query["watch"])
        end = asyncio.get_running_loop().time() + int(req.query["waitMs"]) / 1000
        while True:
            if since < self.forgotten:
                raise web.HTTPGone()
            events = [e for rev, k, e in self.history if rev > since and k == kind]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                body = {"events": events, "currentRev": self.revision}
                return web.json_response(body)
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue

    async def _create(self, req):
        body = await req.json()
        kind, name = req.match_info["kind"], body["meta"]["name"]
        return await self._write(req, lambda: self._do_create(kind, name, body))

    def _do_create(self, kind, name, body):
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        return 200, self.put(kind, name, body["spec"])

    async def _replace(self, req):
        kind, name = req.match_info["kind"], req.match_info["name"]
        body = await req.json()
        return await self._write(req, lambda: self._do_replace(kind, name, body))

    def _do_replace(self, kind, name, body):
        held = self.objects.get((kind, name))
        if held is None:
            return 404, None
        wanted = body["meta"].get("revision")
        if wanted is not None and wanted != held["meta"]["revision"]:
            return 409, held
        if held["spec"] == body["spec"]:
            return 200, held
        return 200, self.put(kind, name, body["spec"])

    async def _delete(self, req):
        kind, name = req.match_info["kind"], req.match_info["name"]
        wanted = req.query.get("revision")
        return await self._write(req, lambda: self._do_delete(kind, name, wanted))

    def _do_delete(self, kind, name, wanted):
        held = self.objects.get((kind, name))
        if held is None:
            return 404, None
        if wanted is not None and int(wanted) != held["meta"]["revision"]:
            return 409, held
        self.revision += 1
        del self.objects[kind, name]
        self._note(kind, held, True)
        return 200, held

    async def _write(self, req, do):
        await self._fault(req, "write")
        for fault in ("not_done", "late", "lose_answers"):
            if self.faults.get(fault, 0) > 0:
                self.faults[fault] -= 1
                if fault == "late":
                    asyncio.get_running_loop().call_later(0.05, do)
                elif fault == "lose_answers":
                    do()
                req.transport.abort()
                return web.Response()
        status, obj = do()
        await self._notify()
        return web.json_response(obj, status=status)


async def serve(host, port):
    """Serve until cancelled; return the runner and the stand-in."""
    store = PlatformStore()
    runner = web.AppRunner(store.app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner, store


async def main(host, port, config):
    _, store = await serve(host, port)
    if config:
        store.put("config", "main", json.loads(config))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), (*sys.argv, "")[3]))
