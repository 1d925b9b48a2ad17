"""Entry point on the platform: ``start.py ROLE ADDRESS [CONTROL]``.

The UDP socket at ADDRESS is bound before the rest of the program is imported. Packets
that arrive during the imports wait in the socket's buffer instead of being lost.

An agent also listens at CONTROL, where its target sends heartbeats. Connections wait
in the accept queue meanwhile. If target and agent start together, the agent thus hears
the target's first heartbeat, which proves that it knows all flows of the target.
"""

import _signal
import _socket
import gc
import sys

# `_signal` and `_socket` are what `signal` and `socket` wrap. Those import `enum` and
# `selectors`, which takes as long as the start of the interpreter (13 ms).

LISTEN_BACKLOG = 128  # one target, which calls again after a second


def bind(address, kind):
    """Return a socket of a kind bound to ``HOST:PORT``; exit if that fails."""
    host, _, port = address.rpartition(":")
    sock = _socket.socket(_socket.AF_INET, kind)
    if kind == _socket.SOCK_STREAM:
        # The connections of a previous process may still be in TIME_WAIT.
        sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
        if kind == _socket.SOCK_STREAM:
            sock.listen(LISTEN_BACKLOG)
    except (OSError, ValueError) as exc:
        sys.exit(f"error: cannot bind {address}: {exc}")
    return sock


def wrap(sock):
    """Return a non-blocking `socket.socket` in place of a bound one."""
    import socket

    wrapped = socket.socket(fileno=sock.detach())
    wrapped.setblocking(False)
    return wrapped


if __name__ == "__main__":
    # SIGHUP asks for a reload of the settings file. It may be ignored until the
    # role runs, which reads the file first; the default action would terminate
    # the process.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    # Until the role runs, there are no requests to finish before exiting.
    _signal.signal(_signal.SIGTERM, lambda signum, frame: sys.exit(0))
    bound = [bind(sys.argv[2], _socket.SOCK_DGRAM)]
    if len(sys.argv) > 3:
        bound.append(bind(sys.argv[3], _socket.SOCK_STREAM))
    # The objects that imports create stay in use, so collecting garbage meanwhile
    # would only cost time; freezing keeps them out of later collections as well.
    gc.disable()
    from ryesaddle.platform.role import run

    gc.freeze()
    gc.enable()
    run(sys.argv[1], *map(wrap, bound))
