"""Starting threads: the one place where the system's refusal of a thread is met, and where it is counted.

Hundreds of gateways on one machine share its table of tasks (every thread is one, `kernel.pid_max`), so
`Thread.start()` can fail with RuntimeError at any moment of a busy day. Callers get `NoThread` and decide
what is lost: nothing, if they answer what they hold.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable

from tealwing import log

PEAKS = 8  # the first high-water mark that is logged; each further one is twice the last: a few lines a process


class ThreadUnavailableError(RuntimeError):
    """The system gave no thread for now."""


refuse: Callable[[str], bool] | None = None  # for tests: refuses the thread of that name when it says so
_lock = threading.Lock()
_peak = PEAKS // 2
_refused = 0  # starts refused since the last that went through: one log line an episode


def start(target: Callable[[], object], name: str) -> None:
    """Start a daemon thread that runs target; NoThread when none can be had."""
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
        peak = count >= 2 * _peak
        if peak:
            _peak = count
    if refused:
        log.event("threads_again", refused=refused, threads=count)
    if peak:
        names = Counter(thread.name for thread in threading.enumerate())
        log.event("threads_peak", threads=count, names=names)
