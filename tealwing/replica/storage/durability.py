"""Acknowledged state of a member, its check against the directory, and the reopen backoff; no I/O.

After a failed sync the contents of the disk are unknown: the kernel may drop dirty pages and report success for the
next sync (Rebello et al., "Can Applications Recover from fsync Failures?", ATC 2020). A failed write is therefore never
retried in place. Instead the directory is read again and compared with the acknowledged state, and its log is rewritten
to a new file before it is used.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from tealwing.replica.storage.records import StoredState

MIN_PAUSE = 0.05  # s before the first attempt to reopen
MAX_PAUSE = 5.0  # maximum s between two attempts, as each attempt reads the whole directory
JITTER = (0.5, 1.0)  # range of the random factor, so that members that share a disk do not retry together


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """State that this member may have acknowledged to others: term, vote and last log entry."""

    term: int = 0
    vote: str = ""
    last_index: int = 0
    last_term: int = 0

    def is_covered_by(self, found: StoredState) -> bool:
        """Return whether the state read from a directory contains all acknowledged state."""
        return self._vote_is_covered_by(found) and self._log_is_covered_by(found)

    def _vote_is_covered_by(self, found: StoredState) -> bool:
        if found.term != self.term:
            return found.term > self.term
        return self.vote in ("", found.vote)

    def _log_is_covered_by(self, found: StoredState) -> bool:
        if self.last_index <= found.snapshot.index:
            return True
        position = self.last_index - found.snapshot.index - 1
        return position < len(found.log) and found.log[position].term == self.last_term


class ReopenBackoff:
    """Exponential backoff with jitter between attempts to reopen the storage."""

    def __init__(self, source: random.Random) -> None:
        self._random, self._pause = source, MIN_PAUSE

    def next_pause(self) -> float:
        """Return the seconds until the next attempt, and double the pause up to MAX_PAUSE."""
        pause = self._pause * self._random.uniform(*JITTER)
        self._pause = min(MAX_PAUSE, 2 * self._pause)
        return pause
