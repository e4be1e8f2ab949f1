"""Replay protection by the sender's boot, sequence number and clock; pure. Memory grows with the senders only."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.gossip.errors import MessageRejectedError, RejectionCause

WINDOW = 256  # sequence numbers behind the highest that are still accepted, as datagrams may be reordered


@dataclass(slots=True)
class SenderWindow:
    """The sequence numbers accepted from one sender's present boot."""

    boot: int
    highest: int = -1
    bits: int = 0  # one for each of the last WINDOW sequence numbers; bit 0 is the highest


class ReplayFilter:
    """Accepts each datagram once, and none whose times are too far from this instance's clock."""

    def __init__(self, max_clock_skew: float) -> None:
        self._max_clock_skew = max_clock_skew
        self._senders: dict[str, SenderWindow] = {}

    def accept(self, name: str, boot: int, sequence: int, sent_at_ms: int, unix_time: float) -> None:
        """Accept and record one datagram; `unix_time` is this instance's Unix time in s.

        Raises:
            MessageRejectedError: the datagram is repeated, of an earlier boot, or its times are out of range.
        """
        if abs(sent_at_ms / 1e3 - unix_time) > self._max_clock_skew:
            raise MessageRejectedError(RejectionCause.TIME)
        if boot / 1e3 > unix_time + self._max_clock_skew:
            raise MessageRejectedError(RejectionCause.TIME)
        window = self._senders.get(name)
        if window is None or boot > window.boot:
            window = self._senders[name] = SenderWindow(boot)
        elif boot < window.boot:
            raise MessageRejectedError(RejectionCause.STALE)
        behind = window.highest - sequence
        if behind < 0:
            window.bits = (window.bits << -behind | 1) & ((1 << WINDOW) - 1) if -behind < WINDOW else 1
            window.highest = sequence
        elif behind >= WINDOW or window.bits >> behind & 1:
            raise MessageRejectedError(RejectionCause.REPEATED)
        else:
            window.bits |= 1 << behind

    def forget(self, name: str) -> None:
        """Drop the sequence numbers of a member that has been removed."""
        self._senders.pop(name, None)

    def __len__(self) -> int:
        return len(self._senders)
