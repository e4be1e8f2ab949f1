"""Starts threads, and counts and logs the starts that the system refuses.

Hundreds of gateways on one machine share its process IDs (each thread takes one, `kernel.pid_max`), so
`Thread.start()` can raise RuntimeError at any time under load. Callers get ThreadUnavailableError and decide how to
continue: no request is lost if they answer those that they have accepted.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable

from tealwing import log

FIRST_PEAK = 8  # threads at the first logged peak; each further one is at least twice the last: few log lines


class ThreadUnavailableError(RuntimeError):
    """The system refused to start a thread; a later start may succeed."""


refuse: Callable[[str], bool] | None = None  # test hook: returns whether to refuse the thread of that name
_lock = threading.Lock()
_peak = FIRST_PEAK // 2
_refused = 0  # refused starts since the last successful one: each series logs one line


def start(target: Callable[[], object], name: str) -> None:
    """Start a daemon thread that runs target. Raises ThreadUnavailableError if the system refuses it."""
    global _peak, _refused
    try:
        if refuse is not None and refuse(name):
            raise RuntimeError("can't start new thread (refused by a test)")
        threading.Thread(target=target, name=name, daemon=True).start()
    except RuntimeError as error:
        with _lock:
            _refused += 1
            first = _refused == 1
        if first:
            log.event("thread_refused", name=name, threads=threading.active_count(), error=str(error))
        raise ThreadUnavailableError(str(error)) from None
    count = threading.active_count()
    with _lock:
        refused, _refused = _refused, 0
        is_peak = count >= 2 * _peak
        if is_peak:
            _peak = count
    if refused:
        log.event("threads_again", refused=refused, threads=count)
    if is_peak:
        names = Counter(thread.name for thread in threading.enumerate())
        log.event("threads_peak", threads=count, names=names)
