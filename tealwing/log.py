"""The log: one JSON line an event on standard output, and the checks of what must hold.

The standard library's logging carries the events, so whoever embeds the gateway can send them elsewhere: they are
records of the logger "tealwing", the event's name as the message and its fields as `fields`. structlog was weighed:
it takes 14 MB of a limit that may be 32, and imports asyncio.
"""

from __future__ import annotations

import logging
import sys
import threading
from collections import Counter
from typing import Any

import orjson

_lock = threading.Lock()
_broken: Counter[str] = Counter()


class Lines(logging.Handler):
    """Writes each record as one line of JSON; the handler's lock keeps lines of two threads apart."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        told: dict[str, Any] = {"at": record.created, "event": record.msg, **getattr(record, "fields", {})}
        try:
            sys.stdout.buffer.write(orjson.dumps(told, default=repr) + b"\n")
            sys.stdout.buffer.flush()
        except (OSError, ValueError):  # a log that nobody reads must not end the gateway
            pass


logger = logging.getLogger("tealwing")
logger.setLevel(logging.INFO)
logger.propagate = False
logger.addHandler(Lines())


def event(name: str, /, **fields: Any) -> None:
    """Write one event; fields are plain values."""
    # made by hand: finding the caller, as the logger's own methods do, is half of an event's cost
    record = logging.LogRecord(logger.name, logging.INFO, "", 0, name, None, None)
    record.fields = fields
    logger.handle(record)


def must_hold(holds: bool, what: str) -> None:
    """Assert in debug builds; under -O count, and log the count."""
    if holds:
        return
    if __debug__:
        raise AssertionError(what)
    with _lock:
        _broken[what] += 1
        count = _broken[what]
    event("must_hold_broken", what=what, count=count)
