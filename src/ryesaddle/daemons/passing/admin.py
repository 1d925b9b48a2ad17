"""What a process answers to operators: its status and its metrics."""

import asyncio
import importlib

import msgspec

from ryesaddle.daemons.passing.http import HttpReply

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
FLOWS_PATH = "/flows/"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Admin:
    """Answers `STATUS_PATH`, `FLOWS_PATH` and `METRICS_PATH`.

    Parameters
    ----------
    metrics : Metrics
        The figures of the process.
    status : callable
        Returns a dict of what else is to be told.
    describe : callable
        Takes ``HOST:PORT`` of a caller, returns a list of dicts, one for each of its
        flows that the process remembers.
    """

    def __init__(self, metrics, status, describe):
        self._metrics = metrics
        self._status = status
        self._describe = describe

    def answer(self, req):
        """Return the reply to a request, a future of it, or None for other paths."""
        if req.path == STATUS_PATH:
            body = {**self._status(), "counts": dict(self._metrics.counts)}
            return HttpReply(200, msgspec.json.encode(body))
        if req.path.startswith(FLOWS_PATH):
            found = self._describe(req.path[len(FLOWS_PATH) :])
            return HttpReply(200, msgspec.json.encode(found))
        if req.path == METRICS_PATH:
            return asyncio.ensure_future(self._expose())
        return None

    async def _expose(self):
        for name, value in self._status().items():
            if isinstance(value, int | float):
                self._metrics.gauge(name, value)
        # The import takes longer than all else; in a thread it delays no packet for
        # more than the interpreter's switch interval.
        module = await asyncio.to_thread(
            importlib.import_module, "ryesaddle.internal.exposition"
        )
        return HttpReply(200, module.exposition(self._metrics), METRICS_TYPE)
