"""Sockets, signals and background tasks of a balancer or an agent."""

import asyncio
import logging
import signal
import socket

from ryesaddle.internal.log import event

log = logging.getLogger(__name__)

BALANCER_KIND = "ryesaddle-balancers"
TARGET_KIND = "ryesaddle-targets"
LISTEN_BACKLOG = 128  # the HTTP endpoints have few clients
RESTART_DELAY_S = 0.5  # delay before a failed task is restarted
STOP_MARGIN_S = 0.5  # reserved before SIGKILL for closing tasks


def bind_udp(address):
    """Return a UDP socket bound to an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def bind_tcp(address):
    """Return a listening TCP socket bound to an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    return sock


def stop_event():
    """Return an event that SIGTERM or SIGINT sets."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    return stop


class Supervisor:
    """Runs the background tasks of a process; logs and restarts failed ones."""

    def __init__(self):
        self._tasks = []

    def start(self, function, *args):
        """Run a coroutine function until it returns or `close` is called."""
        task = asyncio.ensure_future(self._supervise(function, args))
        self._tasks.append(task)

    def close(self):
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _supervise(self, function, args):
        while True:
            try:
                await function(*args)
            except Exception:
                log.exception("task-failed", extra={"kv": {"task": function.__name__}})
                await asyncio.sleep(RESTART_DELAY_S)
                continue
            event(log, "task-done", task=function.__name__)
            return
