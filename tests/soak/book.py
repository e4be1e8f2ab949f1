"""The history of a soak run: the requests, attempts and events that its clients and engines saw."""

from __future__ import annotations

import socket
import threading
from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Request:
    """One request as its client knows it; times are in seconds of the monotonic clock."""

    class_name: str
    ttl: float
    sent_at: float
    left_at: float | None = None  # when the client had closed its connection, or its KILL was answered


@dataclass(slots=True)
class Attempt:
    """One attempt as its engine knows it; ttl is the time to live that the gateway sent with it, in seconds."""

    engine: str
    arrived_at: float
    ttl: float
    connection: socket.socket
    ended_at: float | None = None
    may_have_run: bool = True


@dataclass(slots=True)
class Drain:
    """One period in which an engine drained or was removed, until it returned."""

    engine: str
    announced_at: float
    returned_at: float | None = None


@dataclass
class History:
    """The history of one run; requests and attempts are keyed by the call id that the client chose."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    drains: list[Drain] = field(default_factory=list)
    starts: list[tuple[str, float]] = field(default_factory=list)  # each cold start: engine, time
    watch_outages: list[tuple[float, float]] = field(default_factory=list)  # begin and end of each
    ends: Counter[str | int] = field(default_factory=Counter)
    in_drain: Counter[int] = field(default_factory=Counter)  # requests in each tenth of a second after SIGTERM
    strict_drains: int = 0  # drains checked from their announcement on, because the watch was connected
    findings: list[str] = field(default_factory=list)

    def add_finding(self, text: str) -> None:
        """Record a broken rule."""
        with self.lock:
            self.findings.append(text)

    def draining(self) -> dict[str, Drain]:
        """Return the drains that have not ended, by engine."""
        return {drain.engine: drain for drain in self.drains if drain.returned_at is None}
