"""Terminates a process and observes from outside what it held at that moment."""

import asyncio
import os
import signal
from pathlib import Path

STATE_POLL_S = 0.001
STOP_STATES = "Tt"  # stopped by a signal or a tracer, proc(5)
STOP_TIMEOUT_S = 5.0  # a process enters this state at its next return from the kernel


async def terminate(process, is_paused=False):
    """Send SIGTERM to a process; return whether it held a socket at that moment.

    The process is suspended while it is observed, so that it cannot open a socket
    between the observation and the signal.

    Parameters
    ----------
    process : subprocess.Popen
        A process that inherited no sockets.
    is_paused : bool
        Whether the process is already suspended, and is to stay so.

    Returns
    -------
    bool
        Also true if the process has already exited, as nothing is known then.
    """
    if process.poll() is not None:
        return True
    if not is_paused:
        process.send_signal(signal.SIGSTOP)
    try:
        await _wait_until_suspended(process)
        has_socket = holds_socket(process.pid)
    except (OSError, TimeoutError):
        has_socket = True
    process.send_signal(signal.SIGTERM)
    if not is_paused:
        process.send_signal(signal.SIGCONT)
    return has_socket


def is_clean_exit(returncode, held_socket):
    """Whether a process that was sent SIGTERM has ended as it should.

    A process without any socket has received nothing and promised nothing, so it may
    end by the signal's default action. That happens before the interpreter has run
    the first line of the program.
    """
    return returncode == 0 or (returncode == -signal.SIGTERM and not held_socket)


def holds_socket(pid):
    """Return whether a process has an open socket."""
    folder = Path(f"/proc/{pid}/fd")
    return any(_link_target(file).startswith("socket:") for file in folder.iterdir())


async def _wait_until_suspended(process):
    async with asyncio.timeout(STOP_TIMEOUT_S):
        while _state(process.pid) not in STOP_STATES:
            await asyncio.sleep(STATE_POLL_S)


def _state(pid):
    return Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2][0]


def _link_target(file):
    try:
        return os.readlink(file)
    except FileNotFoundError:
        return ""
