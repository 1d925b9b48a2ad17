"""Log lines of key=value pairs, bounded and never blocking."""

import logging
import os
import select
from collections import deque

import msgspec

MAX_BUFFERED_BYTES = 262_144  # some 1,500 lines, a second of the busiest balancer
MAX_LINES_PER_S = 2_000  # ten times what a balancer logs at its usual load
FLUSH_S = 0.05  # a system call for many lines; what a crash may lose
STDOUT = 1
# A pipe that can be written to takes so many bytes at once without blocking
# (PIPE_BUF, POSIX.1-2017, write()).
CHUNK_BYTES = 4_096


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs.

    The pairs come from the ``kv`` attribute of the record; values that hold
    spaces or quotes are written as JSON strings.

    Parameters
    ----------
    node : str
        Name of the process, so that lines of many processes can be merged.
    """

    def __init__(self, node):
        super().__init__()
        self._node = node

    def format(self, record):
        pairs = {
            "at": f"{record.created:.3f}",
            "node": self._node,
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


class LineBuffer:
    """Lines on their way to a reader that may be slow or gone.

    A line that finds no room, or is one too many in its second, is dropped and
    counted; the next line that fits is preceded by the count.

    Parameters
    ----------
    max_bytes, max_lines_per_s : int
        The bounds.
    """

    def __init__(self, max_bytes=MAX_BUFFERED_BYTES, max_lines_per_s=MAX_LINES_PER_S):
        self._max_bytes = max_bytes
        self._max_lines_per_s = max_lines_per_s
        self._lines = deque()
        self._bytes = 0
        self._second = None
        self._in_second = 0
        self._unreported = 0
        self.dropped = 0

    def __len__(self):
        return len(self._lines)

    def put(self, line, now):
        """Add a line; ``now`` is in seconds."""
        if int(now) != self._second:
            self._second, self._in_second = int(now), 0
        self._in_second += 1
        data = line.encode("utf-8", "replace") + b"\n"
        if (
            self._in_second > self._max_lines_per_s
            or self._bytes + len(data) > self._max_bytes
        ):
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            notice = f"at={now:.3f} level=warning event=log-dropped"
            data = f"{notice} lines={self._unreported}\n".encode() + data
            self._unreported = 0
        self._lines.append(data)
        self._bytes += len(data)

    def drain(self, write):
        """Give the lines to ``write``, which returns how many bytes it took."""
        data = b"".join(self._lines)
        self._lines.clear()
        while data and (taken := write(data)):
            data = data[taken:]
        self._bytes = len(data)
        if data:
            self._lines.append(data)


class BufferedHandler(logging.Handler):
    """Writes records to a file descriptor that is never waited for.

    Parameters
    ----------
    fd : int
        File descriptor. It may be shared with other processes, so it is not set to
        be non-blocking; it is written to only when that cannot block.
    lines : LineBuffer
        Holds lines until they are written.
    """

    def __init__(self, fd, lines):
        super().__init__()
        self._fd = fd
        self._loop = None
        self._flushing = False
        self.lines = lines

    def attach(self, loop):
        """Write from this event loop from now on."""
        self._loop = loop

    def emit(self, record):
        """Buffer one record."""
        self.lines.put(self.format(record), record.created)
        if self._loop is None or self._loop.is_closed():
            self.flush()
        elif not self._flushing:
            self._flushing = True
            self._loop.call_later(FLUSH_S, self.flush)

    def flush(self):
        """Write what the descriptor takes now."""
        self._flushing = False
        self.lines.drain(self._write)
        if self.lines and self._loop is not None and not self._loop.is_closed():
            self._flushing = True
            self._loop.call_later(FLUSH_S, self.flush)

    def _write(self, data):
        try:
            if not select.select((), (self._fd,), (), 0)[1]:
                return 0
            # Whole lines, so that what others write does not fall between.
            end = data.rfind(b"\n", 0, CHUNK_BYTES) + 1 or CHUNK_BYTES
            return os.write(self._fd, data[:end])
        except OSError:
            # Nobody reads any more, and there is no other place to say so.
            return len(data)


def set_up_logging(level, node, loop):
    """Send log lines of ``level`` and above to standard output.

    Parameters
    ----------
    level : str
        Name of a level of the standard logging module.
    node : str
        Name of the process.
    loop : asyncio.AbstractEventLoop
        Writes the lines; its process never waits for their reader.

    What is buffered when the process ends is flushed by the logging module.
    """
    handler = BufferedHandler(STDOUT, LineBuffer())
    handler.attach(loop)
    handler.setFormatter(KeyValueFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # aioquic logs every connection at INFO, which the decision log already covers.
    logging.getLogger("quic").setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def event(log, name, /, **pairs):
    """Log one event with its key=value pairs at INFO."""
    if log.isEnabledFor(logging.INFO):
        log.info(name, extra={"kv": pairs})


def warn(log, name, /, **pairs):
    """Log one event with its key=value pairs at WARNING."""
    log.warning(name, extra={"kv": pairs})


def _quote(value):
    text = str(value)
    if not text or any(c in text for c in ' "=\n'):
        return msgspec.json.encode(text).decode()
    return text
