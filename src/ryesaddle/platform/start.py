"""Entry point on the platform: ``start.py ROLE ADDRESS``.

The socket at ADDRESS is bound before the rest of the program is imported. Packets
that arrive during the imports wait in the socket's buffer instead of being lost.
"""

import gc
import signal
import socket
import sys


def bind(address):
    """Return a UDP socket bound to ``HOST:PORT``."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, int(port)))
    return sock


if __name__ == "__main__":
    # SIGHUP asks for a reload of the settings file. It may be ignored until the
    # role runs, which reads the file first; the default action would terminate
    # the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Until the role runs, there are no requests to finish before exiting.
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(0))
    bound_socket = bind(sys.argv[2])
    # The objects that imports create stay in use, so collecting garbage meanwhile
    # would only cost time; freezing keeps them out of later collections as well.
    gc.disable()
    from ryesaddle.platform.role import run

    gc.freeze()
    gc.enable()
    run(sys.argv[1], bound_socket)
