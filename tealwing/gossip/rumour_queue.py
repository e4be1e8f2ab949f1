"""The queue of rumours to send, those sent least often first; pure.

Each rumour is sent a bounded number of times, and each receipt of it from another member counts as one: a rumour that
many members know leaves the queue sooner (Demers et al., "Epidemic algorithms for replicated database maintenance",
1987, with counters and feedback).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from tealwing.gossip import messages
from tealwing.gossip.messages import HealthReport, Rumour

QUEUE_LIMIT = 256  # rumours; beyond that the one sent most often is dropped
MIN_RUMOUR_BYTES = 24  # of the shortest rumour: with less space the search ends
MAX_PER_DATAGRAM = 60  # rumours; the format allows 64

Key = tuple[bool, str]


def key_of(rumour: Rumour) -> Key:
    """Return the subject of a rumour; a newer one on the same subject replaces it."""
    return isinstance(rumour, HealthReport), rumour.name


class RumourQueue:
    """The queued rumours, by the number of times that each was sent."""

    def __init__(self) -> None:
        self._by_sends: list[OrderedDict[Key, tuple[Rumour, int]]] = [OrderedDict()]  # each with its size in bytes
        self._sends: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, rumour: Rumour) -> None:
        """Queue a rumour, which replaces an older one on the same subject."""
        key = key_of(rumour)
        self._remove(key)
        self._by_sends[0][key] = rumour, messages.rumour_size(rumour)
        self._sends[key] = 0
        if len(self._sends) > QUEUE_LIMIT:
            last_queue = next(queued for queued in reversed(self._by_sends) if queued)
            self._remove(next(iter(last_queue)))

    def record_received(self, rumour: Rumour, max_sends: int) -> None:
        """Count a queued rumour that another member has sent as one send."""
        key = key_of(rumour)
        sends = self._sends.get(key)
        if sends is not None and self._by_sends[sends][key][0] == rumour:
            self._count_send(key, max_sends)

    def take_piggyback(self, available: int, max_sends: int, exclude: Sequence[Rumour]) -> list[Rumour]:
        """Return rumours for `available` bytes of a datagram; one is dropped from the queue after `max_sends` sends."""
        rumours: list[Rumour] = []
        chosen: list[Key] = []
        for queued in self._by_sends:
            for key, (rumour, size) in queued.items():
                if available < MIN_RUMOUR_BYTES or len(rumours) >= MAX_PER_DATAGRAM:
                    break
                if size <= available and rumour not in exclude:
                    rumours.append(rumour)
                    chosen.append(key)
                    available -= size
        for key in chosen:
            self._count_send(key, max_sends)
        return rumours

    def _remove(self, key: Key) -> tuple[Rumour, int] | None:
        sends = self._sends.pop(key, None)
        return None if sends is None else self._by_sends[sends].pop(key)

    def _count_send(self, key: Key, max_sends: int) -> None:
        sends = self._sends[key] + 1
        entry = self._remove(key)
        if entry is None or sends >= max_sends:
            return
        while len(self._by_sends) <= sends:
            self._by_sends.append(OrderedDict())
        self._by_sends[sends][key] = entry
        self._sends[key] = sends
