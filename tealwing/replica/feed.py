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
from tealwing.replica.node import Replica, Unavailable, Unknown
from tealwing.replica.state import State

MOST = 512  # words that wait: twice the engines of the largest fleet that was tried, and more
WAIT = 2.0  # s for one command
RETRY = (0.2, 5.0)  # s between two tries where nobody leads, jittered, lest all gateways try at once
COLD = "cold"


def words(
    entries: Iterable[api.EngineListEntry], state: State, now_ms: int, grace_ms: int, cold_ms: int
) -> list[c.Body]:
    """What of the engine list the state does not have yet."""
    found: list[c.Body] = []
    drains, notes = state.tables["drains"], state.tables["notes"]
    for entry in entries:
        started = round(entry.started * 1e3)
        drain, cold = f"{entry.engine}/{started}", f"{entry.engine}/{started}/{COLD}"
        if entry.health is api.Health.DRAINING and drain not in drains:
            found.append(c.Drain(entry.engine, started, now_ms, now_ms + grace_ms))
        elif entry.health is api.Health.READY:
            if drain in drains:
                found.append(c.Drain(entry.engine, started, over=True))
            if started and now_ms - started < cold_ms and cold not in notes:
                found.append(c.Note(entry.engine, started, COLD, started))
        elif entry.health is api.Health.GONE:  # its drain is swept in time: news of it may still be late somewhere
            of_it = f"{entry.engine}/"
            for key, note in notes.items():
                if key.startswith(of_it):
                    found.append(c.Note(entry.engine, note.started, note.what, over=True))
    return found


class Feed:
    """Sends words to the shared state."""

    def __init__(self, replica: Replica, gateway: str) -> None:
        self._replica, self._gateway = replica, gateway
        self._changed = threading.Condition(threading.Lock())
        self._waiting: deque[c.Body] = deque()
        self._stopped = threading.Event()
        self._backoff = Backoff(*RETRY)
        self.dropped = 0

    def start(self) -> None:
        """Send from now on."""
        threads.start(self._run, "replica-feed")

    def stop(self) -> None:
        """Send no more."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()

    def engines(self, entries: tuple[api.EngineListEntry, ...], rules: api.Rules) -> None:
        """News of the engine list."""
        with self._replica.lock:
            now = int(time.time() * 1e3)
            grace, cold = round(rules.drain_grace * 1e3), round(rules.slow_start_time * 1e3)
            found = words(entries, self._replica.state, now, grace, cold)
        self._put(found)

    def level(self, before: str, now: str, why: str, full: str) -> None:
        """This gateway's service level has changed; full is the name of none."""
        at = int(time.time() * 1e3)
        found: list[c.Body] = []
        if before != full:
            found.append(c.Level(f"{self._gateway}:{before}", over=True))
        if now != full:
            found.append(c.Level(f"{self._gateway}:{now}", why[:1000], at))
        self._put(found)

    def _put(self, found: list[c.Body]) -> None:
        if not found:
            return
        with self._changed:
            self._waiting.extend(found)
            while len(self._waiting) > MOST:
                self._waiting.popleft()
                self.dropped += 1
            self._changed.notify()

    def _run(self) -> None:
        while not self._stopped.is_set():
            with self._changed:
                while not self._waiting and not self._stopped.is_set():
                    self._changed.wait()
                if self._stopped.is_set():
                    return
                body = self._waiting.popleft()
            try:
                result = self._replica.write(c.Command("", 0, body), WAIT)
            except (Unknown, Unavailable):  # words may be said twice: the first stays
                with self._changed:
                    self._waiting.appendleft(body)
                self._stopped.wait(self._backoff.next())
                continue
            self._backoff.reset()
            if result.ok and not result.reason:
                log.event("fleet_told", what=type(body).__name__.lower(), index=result.index)
