"""The log: one JSON line an event on standard output, and the checks of what must hold."""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter
from typing import Any

import orjson

_lock = threading.Lock()
_broken: Counter[str] = Counter()


def event(name: str, **fields: Any) -> None:
    """Write one event; fields are plain values."""
    line = orjson.dumps({"at": time.time(), "event": name, **fields}, default=repr) + b"\n"
    with _lock:  # lines of two threads must not mix
        try:
            sys.stdout.buffer.write(line)
            sys.stdout.buffer.flush()
        except (OSError, ValueError):  # a log that nobody reads must not end the gateway
            pass


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
