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
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson

_lock = threading.Lock()
_violations: Counter[str] = Counter()


CLIENT_EVENTS_PER_SECOND = 50  # lines of one event name that clients cause
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


class RateLimit:
    """Limits the lines of each event name in a second, so that a client at full speed does not flood the log."""

    def __init__(self, lines_per_second: int, clock: Callable[[], float] = time.monotonic) -> None:
        """Allow this many lines of each name in a second."""
        self._lines_per_second, self._clock = lines_per_second, clock
        self._lock = threading.Lock()
        # by event name: the second, and its lines; lines suppressed since the last one that was allowed
        self._written: dict[str, tuple[int, int]] = {}
        self._suppressed: Counter[str] = Counter()

    def admit(self, name: str) -> int | None:
        """Return how many lines were suppressed before this one; None if this one is suppressed too."""
        second = int(self._clock())
        with self._lock:
            since, written = self._written.get(name, (second, 0))
            written = written if since == second else 0
            if written >= self._lines_per_second:
                self._suppressed[name] += 1
                return None
            self._written[name] = second, written + 1
            return self._suppressed.pop(name, 0)


_client_events = RateLimit(CLIENT_EVENTS_PER_SECOND)


def client_event(name: str, /, **fields: Any) -> None:
    """Log an event that a client can cause at any rate; beyond CLIENT_EVENTS_PER_SECOND they are only counted.

    The next line of that name has the number left out as `suppressed`.
    """
    suppressed = _client_events.admit(name)
    if suppressed:
        fields["suppressed"] = suppressed
    if suppressed is not None:
        event(name, **fields)


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
