"""What reads of a log allow: for `hold` a permit that runs out, for `serve` to know that one has caught up; pure."""

from __future__ import annotations

import copy
from collections.abc import Hashable

from tealwing.peers.bounds import RENEW_SHARE, Bounds
from tealwing.rollout.agent.actions import FOREVER, ReadToken
from tealwing.rollout.agent.view import View

READ_LOST_AFTER = 5.0  # s after which a read of which nothing was heard counts as failed


class Permit:
    """Reads of one log, and until when what they showed counts."""

    def __init__(self, duration: float, bounds: Bounds, expires: bool) -> None:
        """lasts is s; with lapses what was read counts for so long, else for good."""
        self._duration, self._bounds, self._expires = duration, bounds, expires
        self.until = 0.0  # by our clock
        self._renew_at = 0.0
        self._requested_at: float | None = None  # when a read was last asked for, while it is out
        self._pending: list[tuple[ReadToken, int]] = []  # answered, and not yet applied here

    def valid(self, now: float) -> bool:
        """Whether it counts now."""
        return now < self.until

    def grant_forever(self) -> None:
        """It counts for good, without a read."""
        self.until = self._renew_at = FOREVER

    def should_read(self, now: float) -> bool:
        """Whether a read should be sent; counts as asked for if so."""
        if (
            self._requested_at is not None
            and now - self._requested_at < READ_LOST_AFTER
            or self._pending
            or now < self._renew_at
        ):
            return False
        self._requested_at = now
        return True

    def read_completed(self, token: ReadToken, index: int) -> None:
        """A read's index is known."""
        self._requested_at = None
        self._pending.append((token, index))
        del self._pending[:-4]

    def read_failed(self, now: float, wait: float) -> None:
        """It is asked for again after a wait."""
        self._requested_at, self._renew_at = None, now + wait

    def apply_reads(self, view: View, start: int, duration: float, member: int) -> None:
        """Count reads whose index is applied; member is the start that the log's table must have for us, unlapsed."""
        for token, index in [pair for pair in self._pending if pair[1] <= view.index]:
            self._pending.remove((token, index))
            me = view.local_member
            if token.start != start or me is None or me.expiry_index or me.start != member:
                continue
            until = token.sent_at + self._bounds.holder_may(min(duration, self._duration))
            if not self._expires:
                self.grant_forever()
            elif until > self.until:
                self.until, self._renew_at = until, token.sent_at + RENEW_SHARE * min(duration, self._duration)

    def revoke(self) -> None:
        """Nothing read before counts any more."""
        self.until, self._renew_at, self._requested_at = 0.0, 0.0, None
        self._pending.clear()

    def clone(self) -> Permit:
        """One like this that goes its own way: for the model check."""
        twin = copy.copy(self)
        twin._pending = list(self._pending)
        return twin

    def key(self) -> tuple[Hashable, ...]:
        """All that allows something now or later: for the model check."""
        return (self.until, *((token.sent_at, token.start, index) for token, index in self._pending))
