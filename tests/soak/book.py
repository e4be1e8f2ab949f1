"""What clients and engines of a soak saw."""

from __future__ import annotations

import socket
import threading
from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Asked:
    """One request as its client knows it; times are monotonic seconds."""

    lane: str
    ttl: float
    written: float
    left: float | None = None  # when its client had left, or its KILL was answered


@dataclass(slots=True)
class Attempt:
    """One attempt as its engine knows it."""

    engine: str
    begun: float
    told: float
    connection: socket.socket
    ended: float | None = None
    may_have_run: bool = True


@dataclass(slots=True)
class Drain:
    """One time in which an engine drained, or was gone; it ends as the engine comes back."""

    engine: str
    told: float
    back: float | None = None


@dataclass
class Book:
    """All of it; attempts and requests by the client's id."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    asked: dict[str, Asked] = field(default_factory=dict)
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    drains: list[Drain] = field(default_factory=list)
    starts: list[tuple[str, float]] = field(default_factory=list)  # engines that started cold, and when
    cuts: list[tuple[float, float]] = field(default_factory=list)  # in which the watch told nothing, from and to
    ends: Counter[str | int] = field(default_factory=Counter)
    in_drain: Counter[int] = field(default_factory=Counter)  # requests by tenth of a second after SIGTERM
    strict_drains: int = 0  # judged from the moment of being told
    findings: list[str] = field(default_factory=list)

    def find(self, text: str) -> None:
        """Note a broken rule."""
        with self.lock:
            self.findings.append(text)

    def draining(self) -> dict[str, Drain]:
        """The drains that are not over, by engine."""
        return {drain.engine: drain for drain in self.drains if drain.back is None}
