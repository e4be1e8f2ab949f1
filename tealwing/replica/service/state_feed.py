"""Recording of drains, cold starts and service levels in the replicated state, for gateways that restart.

`missing_commands` decides and is pure; the feed sends on a thread of its own, off the request path. All gateways
observe the same changes, so most are in the state already and are not sent. Commands that can't be sent are queued; the
queue is bounded and drops the oldest, as running gateways do not depend on it: they observe the changes themselves.
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

MAX_QUEUED = 512  # commands: over twice the engines of the largest fleet tested
WRITE_TIMEOUT = 2.0  # s for one command
RETRY_BACKOFF = (0.2, 5.0)  # s between retries, jittered, so that gateways do not retry in step
SLOW_START = "cold"


def missing_commands(
    entries: Iterable[api.EngineListEntry], state: State, now_ms: int, grace_ms: int, slow_start_ms: int
) -> list[c.Body]:
    """Return the commands that bring the state up to date with the engine list."""
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
        elif entry.health is api.Health.GONE:  # its drain is swept later: updates on it may still be in flight
            prefix = f"{entry.engine}/"
            for key, note in notes.items():
                if key.startswith(prefix):
                    found.append(c.Note(entry.engine, note.started, note.kind, removed=True))
    return found


class StateFeed:
    """Sends commands to the replicated state from a bounded queue."""

    def __init__(self, replica: Replica, gateway: str) -> None:
        self._replica, self._gateway = replica, gateway
        self._changed = threading.Condition(threading.Lock())
        self._queued: deque[c.Body] = deque()
        self._stopped = threading.Event()
        self._backoff = Backoff(*RETRY_BACKOFF)
        self.dropped = 0

    def start(self) -> None:
        """Start the sending thread."""
        threads.start(self._run, "replica-feed")

    def stop(self) -> None:
        """Stop the sending thread."""
        self._stopped.set()
        with self._changed:
            self._changed.notify_all()

    def engine_list_changed(self, entries: tuple[api.EngineListEntry, ...], rules: api.Rules) -> None:
        """Queue the commands for a changed engine list."""
        with self._replica.lock:
            now = int(time.time() * 1e3)
            grace, slow_start = round(rules.drain_grace * 1e3), round(rules.slow_start_time * 1e3)
            found = missing_commands(entries, self._replica.state, now, grace, slow_start)
        self._put(found)

    def service_level_changed(self, before: str, now: str, why: str, full: str) -> None:
        """Queue the commands for a changed service level of this gateway; full names the level without restrictions."""
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
            except (OutcomeUnknownError, UnavailableError):  # a command may be applied twice: the first stays
                with self._changed:
                    self._queued.appendleft(body)
                self._stopped.wait(self._backoff.next())
                continue
            self._backoff.reset()
            if result.ok and not result.reason:
                log.event("fleet_told", what=type(body).__name__.lower(), index=result.index)
