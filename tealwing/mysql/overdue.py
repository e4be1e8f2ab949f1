"""The deadline by which a request is answered, whatever it waits for; no I/O.

Invariant: a request that has been received is answered exactly once, at the latest shortly after its time to live.
Normally its own thread answers it. If that thread is blocked (on a lock, a connection or the admission gate) or none is
assigned, the server's periodic check for overdue requests answers it. The first to claim the answer sends it; the other
does not.
"""

from __future__ import annotations

import re
import threading
from math import inf

# s after the deadline during which only the request's own thread may answer: it cancels the attempt before it answers
# the client, and may retry on another engine. With server.TIME_LIMIT_CHECK_INTERVAL the answer comes within 0.5 s.
OWN_THREAD_GRACE = 0.15

_TIME_TO_LIVE = re.compile(rb"/\*[^*]*?\bttl=(\d{1,12})\s*[,*]")


class AnswerDeadline:
    """The deadline of a session's open request, if any."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._due = inf  # monotonic; inf: no request is open
        self._answered = False

    def begin(self, due: float) -> None:
        """Open a request due at a monotonic time; a repeated call, for a parse under newer settings, has no effect."""
        with self._lock:
            if self._due == inf:
                self._due, self._answered = due, False

    def claim(self) -> bool:
        """End the open request; return whether the caller must answer it (True if none was open)."""
        with self._lock:
            must_answer = not self._answered
            self._due, self._answered = inf, False
            return must_answer

    def is_overdue(self, now: float) -> bool:
        """Return whether the open request may be overdue; a cheap check that does not take the lock."""
        return now >= self._due + OWN_THREAD_GRACE

    def claim_overdue(self, now: float) -> bool:
        """Claim the open request if it is overdue and unanswered; return whether the caller must answer it now."""
        with self._lock:
            if now < self._due + OWN_THREAD_GRACE or self._answered:
                return False
            self._answered = True
            return True


def time_to_live(raw: bytes) -> float | None:
    """Return the time to live in s of the first request in unread bytes; None if its ttl field is incomplete."""
    found = _TIME_TO_LIVE.search(raw)
    return int(found[1]) / 1e3 if found else None
