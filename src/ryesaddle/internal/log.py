"""Log lines of key=value pairs."""

import logging
import sys

import msgspec


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs.

    The pairs come from the ``kv`` attribute of the record; values that hold
    spaces or quotes are written as JSON strings.
    """

    def format(self, record):
        pairs = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


def set_up_logging(level, node):
    """Send log lines of ``level`` and above to standard error."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(KeyValueFormatter())
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
