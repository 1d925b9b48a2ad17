"""An in-memory version of the platform's metadata store with injectable faults."""

import asyncio
import json
import sys
import time
from collections import Counter

from aiohttp import web

PAGE_SIZE = 500
MAX_HISTORY_EVENTS = 1_000


class PlatformStore:
    """Holds objects by kind and name behind the store's HTTP calls.

    ``PUT /faults`` sets the faults. Some affect every call: ``down`` (503),
    ``throttle`` (429), ``reset`` (the connection breaks) and ``silent`` (no response).
    Others are the number of writes whose connection breaks before the response:
    ``lose_answers`` (the write has taken effect), ``late`` (it takes effect 50 ms
    later) and ``not_done`` (it never takes effect).

    ``PUT /put/{kind}/{name}`` writes an object without faults, ``DELETE`` of the same
    path removes it, and ``POST /forget`` drops the event history, so that watches from
    an older revision get a 410. ``POST /back`` with a number of seconds returns to the
    state of that time ago and begins a new era: later writes are lost, and their
    revisions are issued again.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.era = 1
        self.undo_log = []
        self.history = []
        self.compacted_revision = 0
        self.faults = {}
        self.calls = Counter()
        self._changed = asyncio.Condition()
        self.app = web.Application()
        self.app.on_response_prepare.append(self._add_era)
        path = "/ryesaddle/objects"
        self.app.router.add_get(path + "/{kind}", self._list)
        self.app.router.add_post(path + "/{kind}", self._create)
        self.app.router.add_get(path + "/{kind}/{name}", self._get)
        self.app.router.add_put(path + "/{kind}/{name}", self._replace)
        self.app.router.add_delete(path + "/{kind}/{name}", self._delete)
        self.app.router.add_put("/faults", self._set_faults)
        self.app.router.add_put("/put/{kind}/{name}", self._handle_put)
        self.app.router.add_delete("/put/{kind}/{name}", self._handle_remove)
        self.app.router.add_post("/forget", self._compact)
        self.app.router.add_post("/back", self._handle_back)

    def go_back(self, seconds):
        """Return to the state ``seconds`` ago, and begin a new era."""
        until = time.monotonic() - seconds
        while self.undo_log and self.undo_log[-1][0] > until:
            _, key, former, self.revision = self.undo_log.pop()
            if former is None:
                self.objects.pop(key, None)
            else:
                self.objects[key] = former
        self.history = [item for item in self.history if item[0] <= self.revision]
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1

    def _record_undo(self, kind, name):
        key = kind, name
        item = (time.monotonic(), key, self.objects.get(key), self.revision)
        self.undo_log.append(item)

    async def _add_era(self, req, response):
        response.headers["Store-Era"] = str(self.era)

    def put(self, kind, name, spec):
        """Write the specification of an object without a revision check."""
        self._record_undo(kind, name)
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
        self._record_event(kind, obj, False)
        return obj

    def _record_event(self, kind, obj, deleted):
        self.history.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        if len(self.history) > MAX_HISTORY_EVENTS:
            self.compacted_revision = self.history.pop(0)[0]

    async def _set_faults(self, req):
        self.faults = await req.json()
        return web.json_response({})

    async def _handle_put(self, req):
        self.put(req.match_info["kind"], req.match_info["name"], await req.json())
        await self._notify()
        return web.json_response({})

    async def _handle_remove(self, req):
        self._apply_delete(req.match_info["kind"], req.match_info["name"], None)
        await self._notify()
        return web.json_response({})

    async def _compact(self, req):
        self.history, self.compacted_revision = [], self.revision
        return web.json_response({})

    async def _handle_back(self, req):
        self.go_back(await req.json())
        await self._notify()
        return web.json_response({})

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _inject_fault(self, req, kind):
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
        await self._inject_fault(req, "stale" if "allowStale" in req.query else "read")
        obj = self.objects.get((req.match_info["kind"], req.match_info["name"]))
        if obj is None:
            raise web.HTTPNotFound()
        return web.json_response(obj)

    async def _list(self, req):
        kind = req.match_info["kind"]
        if "watch" in req.query:
            return await self._watch(req, kind)
        await self._inject_fault(req, "stale" if "allowStale" in req.query else "read")
        after = req.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        body = {"items": items, "more": more, "currentRev": self.revision}
        return web.json_response(body)

    async def _watch(self, req, kind):
        await self._inject_fault(req, "watch")
        since = int(req.query["watch"])
        deadline = asyncio.get_running_loop().time() + int(req.query["waitMs"]) / 1000
        while True:
            if not self.compacted_revision <= since <= self.revision:
                raise web.HTTPGone()
            events = [e for rev, k, e in self.history if rev > since and k == kind]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                body = {"events": events, "currentRev": self.revision}
                return web.json_response(body)
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    continue

    async def _create(self, req):
        body = await req.json()
        kind, name = req.match_info["kind"], body["meta"]["name"]
        return await self._write(req, lambda: self._apply_create(kind, name, body))

    def _apply_create(self, kind, name, body):
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        return 200, self.put(kind, name, body["spec"])

    async def _replace(self, req):
        kind, name = req.match_info["kind"], req.match_info["name"]
        body = await req.json()
        return await self._write(req, lambda: self._apply_replace(kind, name, body))

    def _apply_replace(self, kind, name, body):
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, None
        expected_revision = body["meta"].get("revision")
        if (
            expected_revision is not None
            and expected_revision != stored["meta"]["revision"]
        ):
            return 409, stored
        if stored["spec"] == body["spec"]:
            return 200, stored
        return 200, self.put(kind, name, body["spec"])

    async def _delete(self, req):
        kind, name = req.match_info["kind"], req.match_info["name"]
        expected_revision = req.query.get("revision")
        return await self._write(
            req, lambda: self._apply_delete(kind, name, expected_revision)
        )

    def _apply_delete(self, kind, name, expected_revision):
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, None
        if (
            expected_revision is not None
            and int(expected_revision) != stored["meta"]["revision"]
        ):
            return 409, stored
        self._record_undo(kind, name)
        self.revision += 1
        del self.objects[kind, name]
        self._record_event(kind, stored, True)
        return 200, stored

    async def _write(self, req, apply_write):
        await self._inject_fault(req, "write")
        for fault in ("not_done", "late", "lose_answers"):
            if self.faults.get(fault, 0) > 0:
                self.faults[fault] -= 1
                if fault == "late":
                    asyncio.get_running_loop().call_later(0.05, apply_write)
                elif fault == "lose_answers":
                    apply_write()
                req.transport.abort()
                return web.Response()
        status, obj = apply_write()
        await self._notify()
        return web.json_response(obj, status=status)


async def serve(host, port):
    """Start serving; return the runner, which stops the server, and the store."""
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
