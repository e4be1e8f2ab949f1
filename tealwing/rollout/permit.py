"""What reads of a log allow: for `hold` a permit that runs out, for `serve` to know that one has caught up; pure."""

from __future__ import annotations

import copy
from collections.abc import Hashable

from tealwing.leases.bounds import RENEW_FRACTION, LeaseBounds
from tealwing.rollout.actions import FOREVER, Token
from tealwing.rollout.view import View

LOST = 5.0  # s after which a read of which nothing was heard counts as failed


class Permit:
    """Reads of one log, and until when what they showed counts."""

    def __init__(self, lasts: float, bounds: LeaseBounds, lapses: bool) -> None:
        """lasts is s; with lapses what was read counts for so long, else for good."""
        self._lasts, self._bounds, self._lapses = lasts, bounds, lapses
        self.until = 0.0  # by our clock
        self._renew_at = 0.0
        self._asked: float | None = None  # when a read was last asked for, while it is out
        self._pending: list[tuple[Token, int]] = []  # answered, and not yet applied here

    def valid(self, now: float) -> bool:
        """Whether it counts now."""
        return now < self.until

    def trust(self) -> None:
        """It counts for good, without a read."""
        self.until = self._renew_at = FOREVER

    def wants(self, now: float) -> bool:
        """Whether a read should be sent; counts as asked for if so."""
        if self._asked is not None and now - self._asked < LOST or self._pending or now < self._renew_at:
            return False
        self._asked = now
        return True

    def answered(self, token: Token, index: int) -> None:
        """A read's index is known."""
        self._asked = None
        self._pending.append((token, index))
        del self._pending[:-4]

    def failed(self, now: float, wait: float) -> None:
        """It is asked for again after a wait."""
        self._asked, self._renew_at = None, now + wait

    def take(self, view: View, start: int, lasts: float, member: int) -> None:
        """Count reads whose index is applied; member is the start that the log's table must have for us, unlapsed."""
        for token, index in [pair for pair in self._pending if pair[1] <= view.index]:
            self._pending.remove((token, index))
            me = view.me
            if token.start != start or me is None or me.lapsed or me.start != member:
                continue
            until = token.sent + self._bounds.holder_duration(min(lasts, self._lasts))
            if not self._lapses:
                self.trust()
            elif until > self.until:
                self.until, self._renew_at = until, token.sent + RENEW_FRACTION * min(lasts, self._lasts)

    def drop(self) -> None:
        """Nothing read before counts any more."""
        self.until, self._renew_at, self._asked = 0.0, 0.0, None
        self._pending.clear()

    def clone(self) -> Permit:
        """One like this that goes its own way: for the model check."""
        twin = copy.copy(self)
        twin._pending = list(self._pending)
        return twin

    def key(self) -> tuple[Hashable, ...]:
        """All that allows something now or later: for the model check."""
        return (self.until, *((token.sent, token.start, index) for token, index in self._pending))
