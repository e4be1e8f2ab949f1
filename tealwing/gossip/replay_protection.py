"""Which datagrams are new: by the sender's life, its sequence, and its clock; pure. Memory is bounded by senders."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing.gossip.errors import MessageRejectedError, RejectionCause

WINDOW = 256  # sequences behind the highest that may still come: datagrams overtake one another


@dataclass(slots=True)
class SenderWindow:
    """What was heard of one sender's present life."""

    boot: int
    highest: int = -1
    bits: int = 0  # of the last WINDOW sequences, the highest first


class ReplayFilter:
    """Takes each datagram once, and none that is too old or from too far ahead."""

    def __init__(self, skew: float) -> None:
        self._skew = skew
        self._heard: dict[str, SenderWindow] = {}

    def accept(self, name: str, boot: int, sequence: int, at: int, wall: float) -> None:
        """Note one datagram; Rejected says why it is not taken. Times: ms as sent, s of our Unix clock."""
        if abs(at / 1e3 - wall) > self._skew:
            raise MessageRejectedError(RejectionCause.TIME)
        if boot / 1e3 > wall + self._skew:
            raise MessageRejectedError(RejectionCause.TIME)
        heard = self._heard.get(name)
        if heard is None or boot > heard.boot:
            heard = self._heard[name] = SenderWindow(boot)
        elif boot < heard.boot:
            raise MessageRejectedError(RejectionCause.STALE)
        behind = heard.highest - sequence
        if behind < 0:
            heard.bits = (heard.bits << -behind | 1) & ((1 << WINDOW) - 1) if -behind < WINDOW else 1
            heard.highest = sequence
        elif behind >= WINDOW or heard.bits >> behind & 1:
            raise MessageRejectedError(RejectionCause.REPEATED)
        else:
            heard.bits |= 1 << behind

    def forget(self, name: str) -> None:
        """A member has been let go of."""
        self._heard.pop(name, None)

    def __len__(self) -> int:
        return len(self._heard)
