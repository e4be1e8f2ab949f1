"""The log: one JSON line per event on standard output, and checks of invariants.

Events are records of the logger "tealwing" of the standard library, so that a program that embeds the gateway can send
them elsewhere: the message is the event's name, and the attribute `fields` holds its fields. structlog is not used: it
takes 14 MB of a memory limit that may be 32 MB, and imports asyncio.
"""

from __future__ import annotations

import contextlib
import logging
import select
import sys
import threading
from collections import Counter
from typing import Any

import orjson

_lock = threading.Lock()
_violations: Counter[str] = Counter()


MAX_LINE_BYTES = select.PIPE_BUF  # a writable pipe accepts that many bytes in one write


class JsonLineHandler(logging.Handler):
    """Writes each record as one line of JSON, under the handler's lock.

    It never blocks, as requests must not wait for the log's reader. A line is left out if standard output is not
    writable, and the next line that is written gives the number of lines left out. A line of MAX_LINE_BYTES or more is
    cut.
    """

    def __init__(self) -> None:
        super().__init__()
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        line_fields: dict[str, Any] = {"at": record.created, "event": record.msg, **getattr(record, "fields", {})}
        if not _is_writable():
            self._left_out += 1
            return
        if self._left_out:
            line_fields["left_out"] = self._left_out
        line = orjson.dumps(line_fields, default=repr)
        if len(line) >= MAX_LINE_BYTES:
            line = orjson.dumps(
                {
                    "at": record.created,
                    "event": record.msg,
                    "cut": line[: MAX_LINE_BYTES // 2].decode("utf-8", "replace"),
                }
            )
        try:
            sys.stdout.buffer.write(line + b"\n")
            sys.stdout.buffer.flush()
            self._left_out = 0
        except (OSError, ValueError):  # a failing log must not end the gateway
            self._left_out += 1


def _is_writable() -> bool:
    """Return whether standard output is writable now; True if that is unknown."""
    with contextlib.suppress(OSError, ValueError):
        ready = select.poll()
        ready.register(sys.stdout.fileno(), select.POLLOUT)
        return bool(ready.poll(0))
    return True


logger = logging.getLogger("tealwing")
logger.setLevel(logging.INFO)
logger.propagate = False
logger.addHandler(JsonLineHandler())


def event(name: str, /, **fields: Any) -> None:
    """Log one event; its fields are plain values."""
    # created directly: the logger's methods also look up the caller, which is half of an event's cost
    record = logging.LogRecord(logger.name, logging.INFO, "", 0, name, None, None)
    record.fields = fields
    logger.handle(record)


def check_invariant(holds: bool, what: str) -> None:
    """Raise AssertionError for a violated invariant; under -O log it with the number of its violations instead."""
    if holds:
        return
    if __debug__:
        raise AssertionError(what)
    with _lock:
        _violations[what] += 1
        count = _violations[what]
    event("must_hold_broken", what=what, count=count)
