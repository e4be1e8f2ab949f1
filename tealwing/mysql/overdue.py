"""The time by which a request is answered, whatever it waits for; pure.

The invariant: a request whose bytes have come is answered at the latest soon after its time to live is over, and once.
Its own thread answers it as a rule. Where that thread waits (for a lock, a connection, the gate) or where there is
none, the server's watch over late requests does. Whoever claims the answer first gives it; the other gives none.
"""

from __future__ import annotations

import re
import threading
from math import inf

# s past its time that an open request's own thread has first: it gives the attempt up before the client hears, and may
# ask elsewhere. The answer is still there within half a second with LOOK, the time between two looks.
OWN_THREAD_GRACE = 0.15

_TIME_TO_LIVE = re.compile(rb"/\*[^*]*?\bttl=(\d{1,12})\s*[,*]")


class AnswerDeadline:
    """The deadline of a session's open request, if any."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._due = inf  # monotonic; inf: no request is open
        self._answered = False

    def begin(self, due: float) -> None:
        """Open a request due at a monotonic time; parsing it again under other settings does not open a second one."""
        with self._lock:
            if self._due == inf:
                self._due, self._answered = due, False

    def claim(self) -> bool:
        """End the open request; return whether the caller must answer it (True if none is open)."""
        with self._lock:
            mine = not self._answered
            self._due, self._answered = inf, False
            return mine

    def is_overdue(self, now: float) -> bool:
        """Return whether the open request may be overdue; cheap, without the lock."""
        return now >= self._due + OWN_THREAD_GRACE

    def claim_overdue(self, now: float) -> bool:
        """Claim the open request if it is overdue and unanswered; return whether the caller must answer it now."""
        with self._lock:
            if now < self._due + OWN_THREAD_GRACE or self._answered:
                return False
            self._answered = True
            return True


def time_to_live(raw: bytes) -> float | None:
    """Return the time to live in s of the first request in unread bytes; None if its comment is incomplete."""
    found = _TIME_TO_LIVE.search(raw)
    return int(found[1]) / 1e3 if found else None
