"""What a gateway learns that the fleet should not forget, put into the replicated state: drains, cold starts, levels.

`words` decides, and is pure; the feed sends, on a thread of its own, off the request path. All gateways hear the same
news, so most words are known already when they come here: those are not sent. What can't be sent waits, bounded, the
oldest dropped: the state is a memory for who returns, and the news itself go on to each gateway as before.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Iterable

from tealwing import interface as api
from tealwing import log, threads
from tealwing.coordinator.backoff import Backoff
from tealwing.replica import commands as c
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError
from tealwing.replica.state import State

MAX_QUEUED = 512  # words that wait: twice the engines of the largest fleet that was tried, and more
WRITE_TIMEOUT = 2.0  # s for one command
RETRY_BACKOFF = (0.2, 5.0)  # s between two tries where nobody leads, jittered, lest all gateways try at once
SLOW_START = "cold"


def missing_commands(
    entries: Iterable[api.EngineListEntry], state: State, now_ms: int, grace_ms: int, slow_start_ms: int
) -> list[c.Body]:
    """What of the engine list the state does not have yet."""
    found: list[c.Body] = []
    drains, notes = state.tables["drains"], state.tables["notes"]
    for entry in entries:
        started = round(entry.started * 1e3)
        drain_key, slow_start_key = f"{entry.engine}/{started}", f"{entry.engine}/{started}/{SLOW_START}"
        if entry.health is api.Health.DRAINING and drain_key not in drains:
            found.append(c.Drain(entry.engine, started, now_ms, now_ms + grace_ms))
        elif entry.health is api.Health.READY:
            if drain_key in drains:
                found.append(c.Drain(entry.engine, started, removed=True))
            if started and now_ms - started < slow_start_ms and slow_start_key not in notes:
                found.append(c.Note(entry.engine, started, SLOW_START, started))
        elif entry.health is api.Health.GONE:  # its drain is swept in time: news of it may still be late somewhere
            prefix = f"{entry.engine}/"
            for key, note in notes.items():
                if key.startswith(prefix):
                    found.append(c.Note(entry.engine, note.started, note.kind, removed=True))
    return found


class StateFeed:
    """Sends words to the shared state."""

    def __init__(self, replica: Replica, gateway: str) -> None:
        self._replica, self._gateway = replica, gateway
        self._changed = threading.Condition(threading.Lock())
        self._queued: deque[c.Body] = deque()
        self._stopped = threading.Event()
        self._backoff = Backoff(*RETRY_BACKOFF)
        self.dropped = 0

    def start(self) -> None:
        """Send from now on."""
        threads.start(self._run, "replica-feed")

    def stop(self) -> None:
        """Send no more."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()

    def engine_list_changed(self, entries: tuple[api.EngineListEntry, ...], rules: api.Rules) -> None:
        """News of the engine list."""
        with self._replica.lock:
            now = int(time.time() * 1e3)
            grace, slow_start = round(rules.drain_grace * 1e3), round(rules.slow_start_time * 1e3)
            found = missing_commands(entries, self._replica.state, now, grace, slow_start)
        self._put(found)

    def service_level_changed(self, before: str, now: str, why: str, full: str) -> None:
        """This gateway's service level has changed; full is the name of none."""
        at = int(time.time() * 1e3)
        found: list[c.Body] = []
        if before != full:
            found.append(c.Level(f"{self._gateway}:{before}", removed=True))
        if now != full:
            found.append(c.Level(f"{self._gateway}:{now}", why[:1000], at))
        self._put(found)

    def _put(self, found: list[c.Body]) -> None:
        if not found:
            return
        with self._changed:
            self._queued.extend(found)
            while len(self._queued) > MAX_QUEUED:
                self._queued.popleft()
                self.dropped += 1
            self._changed.notify()

    def _run(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                while not self._queued and not self._stopped.is_set():
                    self._changed.wait()
                if self._stopped.is_set():
                    return
                body = self._queued.popleft()
            try:
                result = self._replica.write(c.Command("", 0, body), WRITE_TIMEOUT)
            except (OutcomeUnknownError, UnavailableError):  # words may be said twice: the first stays
                with self._changed:
                    self._queued.appendleft(body)
                self._stopped.wait(self._backoff.next())
                continue
            self._backoff.reset()
            if result.ok and not result.reason:
                log.event("fleet_told", what=type(body).__name__.lower(), index=result.index)
