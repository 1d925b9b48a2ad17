"""Logging of key=value lines, with bounded memory and without blocking."""

import logging
import os
import select
from collections import deque

import msgspec

# About 1,500 lines, which the busiest balancer logs in one second.
MAX_BUFFERED_BYTES = 262_144
MAX_LINES_PER_S = 2_000  # ten times what a balancer logs at its usual load
# One system call writes the lines of an interval; a crash may lose as many.
FLUSH_INTERVAL_S = 0.05
STDOUT_FD = 1
# A pipe that is ready for writing accepts this many bytes without blocking
# (PIPE_BUF, POSIX.1-2017, write()).
PIPE_BUF_BYTES = 4_096


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs.

    The pairs are taken from the ``kv`` attribute of the record. A value that is
    empty or contains a space, a quote, an equals sign or a line break is written as
    a JSON string.

    Parameters
    ----------
    node : str
        Name of the process, so that the logs of several processes can be merged.
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
        return " ".join(
            f"{key}={_quote_if_needed(value)}" for key, value in pairs.items()
        )


class LineBuffer:
    """A bounded buffer of lines for a reader that may be slow or closed.

    A line that exceeds the buffer size or the rate limit is dropped and counted.
    Before the next line that is accepted, a line reports how many were dropped.

    Parameters
    ----------
    max_bytes : int
        Size of the buffer.
    max_lines_per_s : int
        Number of lines that are accepted in each second.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
    """

    def __init__(self, max_bytes=MAX_BUFFERED_BYTES, max_lines_per_s=MAX_LINES_PER_S):
        self._max_bytes = max_bytes
        self._max_lines_per_s = max_lines_per_s
        self._lines = deque()
        self._bytes = 0
        self._current_second = None
        self._lines_in_second = 0
        self._unreported_drops = 0
        self.dropped = 0

    def __len__(self):
        return len(self._lines)

    def put(self, line, now):
        """Add a line, or drop and count it; ``now`` is in seconds."""
        if int(now) != self._current_second:
            self._current_second, self._lines_in_second = int(now), 0
        self._lines_in_second += 1
        data = line.encode("utf-8", "replace") + b"\n"
        if (
            self._lines_in_second > self._max_lines_per_s
            or self._bytes + len(data) > self._max_bytes
        ):
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            notice = f"at={now:.3f} level=warning event=log-dropped"
            data = f"{notice} lines={self._unreported_drops}\n".encode() + data
            self._unreported_drops = 0
        self._lines.append(data)
        self._bytes += len(data)

    def drain(self, write):
        """Pass the lines to ``write``, which returns how many bytes it has written.

        What ``write`` does not accept stays in the buffer.
        """
        data = b"".join(self._lines)
        self._lines.clear()
        while data and (written := write(data)):
            data = data[written:]
        self._bytes = len(data)
        if data:
            self._lines.append(data)


class BufferedHandler(logging.Handler):
    """Writes records to a file descriptor without ever blocking.

    Parameters
    ----------
    fd : int
        File descriptor. It may be shared with other processes, so it is not made
        non-blocking; instead it is written to only when a write cannot block.
    lines : LineBuffer
        Holds lines until they are written.
    """

    def __init__(self, fd, lines):
        super().__init__()
        self._fd = fd
        self._loop = None
        self._flush_scheduled = False
        self.lines = lines

    def attach(self, loop):
        """Schedule writes on this event loop instead of writing each record at once."""
        self._loop = loop

    def emit(self, record):
        """Buffer a record and schedule a flush."""
        self.lines.put(self.format(record), record.created)
        if self._loop is None or self._loop.is_closed():
            self.flush()
        elif not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self):
        """Write what the descriptor accepts now, and schedule a flush of the rest."""
        self._flush_scheduled = False
        self.lines.drain(self._write)
        if self.lines and self._loop is not None and not self._loop.is_closed():
            self._flush_scheduled = True
            self._loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def _write(self, data):
        try:
            if not select.select((), (self._fd,), (), 0)[1]:
                return 0
            # Whole lines, so that output of other processes cannot split a line.
            end = data.rfind(b"\n", 0, PIPE_BUF_BYTES) + 1 or PIPE_BUF_BYTES
            return os.write(self._fd, data[:end])
        except OSError:
            # The reader has closed the pipe, and there is nowhere else to report it,
            # so the data is discarded.
            return len(data)


def set_up_logging(level, node, loop):
    """Log to standard output, at ``level`` and above.

    The logging module flushes the buffer when the process exits.

    Parameters
    ----------
    level : str
        Name of a level of the standard logging module.
    node : str
        Name of the process.
    loop : asyncio.AbstractEventLoop
        Event loop that writes the lines.
    """
    handler = BufferedHandler(STDOUT_FD, LineBuffer())
    handler.attach(loop)
    handler.setFormatter(KeyValueFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # aioquic logs every connection at INFO; the log of decisions covers these already.
    logging.getLogger("quic").setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def event(log, name, /, **pairs):
    """Log an event with key=value pairs at INFO."""
    if log.isEnabledFor(logging.INFO):
        log.info(name, extra={"kv": pairs})


def warn(log, name, /, **pairs):
    """Log an event with key=value pairs at WARNING."""
    log.warning(name, extra={"kv": pairs})


def _quote_if_needed(value):
    text = str(value)
    if not text or any(c in text for c in ' "=\n'):
        return msgspec.json.encode(text).decode()
    return text
