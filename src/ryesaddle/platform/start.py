"""Entry point on the platform: ``start.py ROLE ADDRESS``.

The socket at ADDRESS is bound before anything else is imported, so that packets
that arrive meanwhile wait in it and are not lost.
"""

import gc
import signal
import socket
import sys


def bind(text):
    """Return a UDP socket bound to ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, int(port)))
    return sock


if __name__ == "__main__":
    # The file is read at the start in any case; the signal's default would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Until the role runs there is nothing to finish.
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(0))
    early = bind(sys.argv[2])
    # Nothing that an import allocates is garbage.
    gc.disable()
    from ryesaddle.platform.role import run

    gc.freeze()
    gc.enable()
    run(sys.argv[1], early)
