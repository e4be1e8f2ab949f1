"""What a member has acknowledged, whether its folder still has it, and when to try the folder again; pure.

After a failed sync nobody knows what the disk holds: the kernel may drop the pages, and report success the next time
(Rebello et al., "Can Applications Recover from fsync Failures?", ATC 2020). So a failed write is never tried again as
it was. The folder is read anew, compared with what was acknowledged, and its log written to a new file, before anything
rests on it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from tealwing.replica.storage.records import StoredState

MIN_PAUSE = 0.05  # s before a folder is tried again for the first time
MAX_PAUSE = 5.0  # s between two tries at most: a fault of minutes costs a read of the folder so often
JITTER = (0.5, 1.0)  # times the pause, at random: members that share a disk do not try together


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """What others may have been told that this member has: its vote in a term, and its log up to an entry."""

    term: int = 0
    vote: str = ""
    last_index: int = 0
    last_term: int = 0

    def is_covered_by(self, found: StoredState) -> bool:
        """Whether a folder as it was read has all of it."""
        return self._vote_is_covered_by(found) and self._log_is_covered_by(found)

    def _vote_is_covered_by(self, found: StoredState) -> bool:
        if found.term != self.term:
            return found.term > self.term
        return self.vote in ("", found.vote)

    def _log_is_covered_by(self, found: StoredState) -> bool:
        if self.last_index <= found.snapshot.index:
            return True
        place = self.last_index - found.snapshot.index - 1
        return place < len(found.log) and found.log[place].term == self.last_term


class ReopenBackoff:
    """The pauses between tries: doubled up to a bound, and jittered."""

    def __init__(self, source: random.Random) -> None:
        self._random, self._pause = source, MIN_PAUSE

    def next_pause(self) -> float:
        """Seconds until the next try."""
        pause = self._pause * self._random.uniform(*JITTER)
        self._pause = min(MAX_PAUSE, 2 * self._pause)
        return pause
