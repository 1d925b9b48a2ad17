"""A fake HTTP target that limits its concurrency and records what it executed."""

import asyncio
import hashlib
import json
import sys

from aiohttp import web

CHUNK = hashlib.sha256(b"letter pack").digest() * 2_048
PACK_BYTES = 8 * 1_048_576


def pack(size):
    """Return the first bytes of the letter pack, which repeats one chunk."""
    return (CHUNK * (size // len(CHUNK) + 1))[:size]


class Target:
    """Serves status checks, submissions, pack downloads and faulty responses.

    ``/slow`` delays its response and ``/cut`` aborts the connection within the body.
    After ``/fail`` status checks are answered with an error at once.
    ``/executed`` lists the executed requests. At most ``slots`` requests are executed
    at a time, each for ``work_s``; further delays are outside of the slots.
    """

    def __init__(self, name, slots=2, work_s=0.01):
        self.name = name
        self.slots = asyncio.Semaphore(slots)
        self.work_s = work_s
        self.executed = []
        self.failing = False
        self.app = web.Application(client_max_size=2**24)
        self.app.router.add_get("/status/{case}", self._status)
        self.app.router.add_post("/reply", self._reply)
        self.app.router.add_get("/pack", self._pack)
        self.app.router.add_get("/slow/{seconds}", self._slow)
        self.app.router.add_get("/cut", self._abort)
        self.app.router.add_get("/executed", self._executed)
        self.app.router.add_post("/fail", self._fail)

    async def _execute(self, req):
        async with self.slots:
            self.executed.append(
                {
                    "method": req.method,
                    "path": req.path,
                    "request_id": req.headers.get("X-Request-ID", ""),
                    "key": req.headers.get("Idempotency-Key", "").strip('"'),
                }
            )
            await asyncio.sleep(self.work_s)

    async def _fail(self, req):
        self.failing = True
        return web.Response()

    async def _status(self, req):
        if self.failing:
            return web.Response(status=500)
        await self._execute(req)
        return web.json_response({"case": req.match_info["case"], "by": self.name})

    async def _reply(self, req):
        body = await req.read()
        await self._execute(req)
        await asyncio.sleep(float(req.query.get("seconds", 0)))
        digest = hashlib.sha256(body).hexdigest()
        return web.json_response({"received": digest, "by": self.name}, status=201)

    async def _pack(self, req):
        await self._execute(req)
        size = int(req.query.get("bytes", PACK_BYTES))
        response = web.StreamResponse(headers={"Content-Length": str(size)})
        await response.prepare(req)
        remaining = size
        while remaining > 0:
            await response.write(CHUNK[:remaining])
            remaining -= len(CHUNK)
        return response

    async def _slow(self, req):
        await self._execute(req)
        await asyncio.sleep(float(req.match_info["seconds"]))
        return web.json_response({"by": self.name})

    async def _abort(self, req):
        response = web.StreamResponse(headers={"Content-Length": "100000"})
        await response.prepare(req)
        await response.write(CHUNK[:50_000])
        req.transport.abort()
        return response

    async def _executed(self, req):
        return web.json_response(self.executed)


async def main(settings):
    """Serve a target until the process is terminated.

    ``settings`` holds the keys ``name``, ``listen`` and optionally ``work_s``.
    """
    target = Target(settings["name"], work_s=settings.get("work_s", 0.01))
    runner = web.AppRunner(target.app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, *settings["listen"]).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
