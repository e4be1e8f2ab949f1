"""Permit from reads of a log: in `hold` it expires, in `serve` it only shows that the member has caught up; pure."""

from __future__ import annotations

import copy
from collections.abc import Hashable

from tealwing.lease_bounds import RENEW_FRACTION, LeaseBounds
from tealwing.rollout.agent.actions import FOREVER, ReadToken
from tealwing.rollout.agent.view import View

READ_LOST_AFTER = 5.0  # s without an answer, after which a read counts as lost


class Permit:
    """The permit that reads of one log give, and until when it is valid."""

    def __init__(self, duration: float, bounds: LeaseBounds, expires: bool) -> None:
        """Duration is in s; unless it expires, one successful read makes the permit valid forever."""
        self._duration, self._bounds, self._expires = duration, bounds, expires
        self.until = 0.0  # by the local clock
        self._renew_at = 0.0
        self._requested_at: float | None = None  # time of the outstanding read
        self._pending: list[tuple[ReadToken, int]] = []  # answered reads whose index is not yet applied here

    def valid(self, now: float) -> bool:
        """Return whether the permit is valid now."""
        return now < self.until

    def grant_forever(self) -> None:
        """Make the permit valid forever, without a read."""
        self.until = self._renew_at = FOREVER

    def should_read(self, now: float) -> bool:
        """Return whether to send a read now, and if so count it as outstanding."""
        if (
            (self._requested_at is not None and now - self._requested_at < READ_LOST_AFTER)
            or self._pending
            or now < self._renew_at
        ):
            return False
        self._requested_at = now
        return True

    def read_completed(self, token: ReadToken, index: int) -> None:
        """Record the index that a read returned."""
        self._requested_at = None
        self._pending.append((token, index))
        del self._pending[:-4]

    def read_failed(self, now: float, wait: float) -> None:
        """Schedule another read after `wait` s."""
        self._requested_at, self._renew_at = None, now + wait

    def apply_reads(self, view: View, start: int, duration: float, registered_start: int) -> None:
        """Extend the permit by the reads of `start` whose index is applied.

        The table must show registered_start as the start of the local member, and its permits as not expired.
        """
        for token, index in [pair for pair in self._pending if pair[1] <= view.index]:
            self._pending.remove((token, index))
            local = view.local_member
            if token.start != start or local is None or local.expiry_index or local.start != registered_start:
                continue
            until = token.sent_at + self._bounds.holder_duration(min(duration, self._duration))
            if not self._expires:
                self.grant_forever()
            elif until > self.until:
                self.until, self._renew_at = until, token.sent_at + RENEW_FRACTION * min(duration, self._duration)

    def revoke(self) -> None:
        """End the permit, and discard all earlier reads."""
        self.until, self._renew_at, self._requested_at = 0.0, 0.0, None
        self._pending.clear()

    def clone(self) -> Permit:
        """Return an independent copy, for the model check."""
        duplicate = copy.copy(self)
        duplicate._pending = list(self._pending)  # noqa: SLF001 -- a copy of its own class
        return duplicate

    def key(self) -> tuple[Hashable, ...]:
        """Return the state that determines later behaviour, for the model check."""
        return (self.until, *((token.sent_at, token.start, index) for token, index in self._pending))
