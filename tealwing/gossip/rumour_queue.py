"""The rumours that still go out, those sent least first; pure.

Each is sent a bounded number of times, and hearing it from another counts as one: where many already know, it dies
sooner (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987, with counters and feedback).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from tealwing.gossip import messages
from tealwing.gossip.messages import HealthReport, Rumour

QUEUE_LIMIT = 256  # that wait; past it the one sent most goes
MIN_RUMOUR_BYTES = 24  # bytes of the shortest rumour: with less room there is no use in looking on
MAX_PER_DATAGRAM = 60  # in one datagram: its form allows 64

Key = tuple[bool, str]


def key_of(rumour: Rumour) -> Key:
    """What a rumour is on: a newer one on the same takes its place."""
    return isinstance(rumour, HealthReport), rumour.name


class RumourQueue:
    """Rumours in lines by how often each was sent."""

    def __init__(self) -> None:
        self._lines: list[OrderedDict[Key, tuple[Rumour, int]]] = [OrderedDict()]
        self._sent: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, rumour: Rumour) -> None:
        """Let one go out, in place of an older one on the same matter."""
        key = key_of(rumour)
        self._take(key)
        self._lines[0][key] = rumour, messages.rumour_size(rumour)
        self._sent[key] = 0
        if len(self._sent) > QUEUE_LIMIT:
            line = next(line for line in reversed(self._lines) if line)
            self._take(next(iter(line)))

    def record_received(self, rumour: Rumour, most: int) -> None:
        """Another sent it too."""
        key = key_of(rumour)
        sent = self._sent.get(key)
        if sent is not None and self._lines[sent][key][0] == rumour:
            self._move(key, most)

    def take_piggyback(self, room: int, most: int, but: Sequence[Rumour]) -> list[Rumour]:
        """Those that go with a datagram with so much room; each is sent `most` times in all."""
        found: list[Rumour] = []
        chosen: list[Key] = []
        for line in self._lines:
            for key, (rumour, size) in line.items():
                if room < MIN_RUMOUR_BYTES or len(found) >= MAX_PER_DATAGRAM:
                    break
                if size <= room and rumour not in but:
                    found.append(rumour)
                    chosen.append(key)
                    room -= size
        for key in chosen:
            self._move(key, most)
        return found

    def _take(self, key: Key) -> tuple[Rumour, int] | None:
        sent = self._sent.pop(key, None)
        return None if sent is None else self._lines[sent].pop(key)

    def _move(self, key: Key, most: int) -> None:
        """One more time sent."""
        sent = self._sent[key] + 1
        entry = self._take(key)
        if entry is None or sent >= most:
            return
        while len(self._lines) <= sent:
            self._lines.append(OrderedDict())
        self._lines[sent][key] = entry
        self._sent[key] = sent
