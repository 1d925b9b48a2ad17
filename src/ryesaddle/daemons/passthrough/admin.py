"""HTTP endpoints for operators: status, flows and metrics."""

import asyncio
import importlib

import msgspec

from ryesaddle.daemons.passthrough.http import HttpReply

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
FLOWS_PATH = "/flows/"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Admin:
    """Handles requests for `STATUS_PATH`, `FLOWS_PATH` and `METRICS_PATH`.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    get_status : callable
        Returns a dict with the other fields of the status.
    describe_flows : callable
        Takes ``HOST:PORT`` of a caller, returns a list with a dict for each of its
        flows that the process knows.
    """

    def __init__(self, metrics, get_status, describe_flows):
        self._metrics = metrics
        self._get_status = get_status
        self._describe_flows = describe_flows

    def answer(self, req):
        """Return the reply to a request, a future of it, or None for other paths."""
        if req.path == STATUS_PATH:
            body = {**self._get_status(), "counts": dict(self._metrics.counts)}
            return HttpReply(200, msgspec.json.encode(body))
        if req.path.startswith(FLOWS_PATH):
            found = self._describe_flows(req.path[len(FLOWS_PATH) :])
            return HttpReply(200, msgspec.json.encode(found))
        if req.path == METRICS_PATH:
            return asyncio.ensure_future(self._metrics_reply())
        return None

    async def _metrics_reply(self):
        for name, value in self._get_status().items():
            if isinstance(value, int | float):
                self._metrics.gauge(name, value)
        # The import takes most of the time. In a thread, it delays packets by at most
        # the interpreter's switch interval.
        module = await asyncio.to_thread(
            importlib.import_module, "ryesaddle.internal.exposition"
        )
        return HttpReply(200, module.exposition(self._metrics), METRICS_TYPE)
