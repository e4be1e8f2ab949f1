"""Recording of drains, cold starts and service levels in the replicated state, for gateways that restart.

`missing_commands` chooses the commands and is pure; StateFeed sends them on a thread of its own, off the request path.
All gateways observe the same changes, so most are in the state already and are not sent. Commands that can't be sent
are queued. The queue is bounded and drops the oldest commands: running gateways do not depend on them, as they observe
the changes themselves.
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

MAX_QUEUED = 512  # commands; more than twice the number of engines in the largest fleet tested
WRITE_TIMEOUT = 2.0  # s for one command
RETRY_BACKOFF = (0.2, 5.0)  # minimum and maximum s between retries, jittered, so that gateways do not retry together
SLOW_START = "cold"  # kind of the notes for slow starts


def missing_commands(
    entries: Iterable[api.EngineListEntry], state: State, now_ms: int, grace_ms: int, slow_start_ms: int
) -> list[c.Body]:
    """Return the commands that bring the state up to date with the engine list."""
    missing: list[c.Body] = []
    drains, notes = state.tables["drains"], state.tables["notes"]
    for entry in entries:
        started = round(entry.started * 1e3)
        drain_key, slow_start_key = f"{entry.engine}/{started}", f"{entry.engine}/{started}/{SLOW_START}"
        if entry.health is api.Health.DRAINING and drain_key not in drains:
            missing.append(c.Drain(entry.engine, started, now_ms, now_ms + grace_ms))
        elif entry.health is api.Health.READY:
            if drain_key in drains:
                missing.append(c.Drain(entry.engine, started, removed=True))
            if started and now_ms - started < slow_start_ms and slow_start_key not in notes:
                missing.append(c.Note(entry.engine, started, SLOW_START, started))
        elif entry.health is api.Health.GONE:  # its drain is removed later: updates on it may still be in flight
            prefix = f"{entry.engine}/"
            for key, note in notes.items():
                if key.startswith(prefix):
                    missing.append(c.Note(entry.engine, note.started, note.kind, removed=True))
    return missing


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
        """Queue the commands that a changed engine list requires."""
        with self._replica.lock:
            now = int(time.time() * 1e3)
            grace, slow_start = round(rules.drain_grace * 1e3), round(rules.slow_start_time * 1e3)
            commands = missing_commands(entries, self._replica.state, now, grace, slow_start)
        self._put(commands)

    def service_level_changed(self, before: str, now: str, why: str, full: str) -> None:
        """Queue the commands for a change of this gateway's service level; `full` is the level without restrictions."""
        at = int(time.time() * 1e3)
        commands: list[c.Body] = []
        if before != full:
            commands.append(c.Level(f"{self._gateway}:{before}", removed=True))
        if now != full:
            commands.append(c.Level(f"{self._gateway}:{now}", why[:1000], at))
        self._put(commands)

    def _put(self, commands: list[c.Body]) -> None:
        if not commands:
            return
        with self._changed:
            self._queued.extend(commands)
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
            except (OutcomeUnknownError, UnavailableError):  # a second application of a command changes nothing
                with self._changed:
                    self._queued.appendleft(body)
                self._stopped.wait(self._backoff.next())
                continue
            self._backoff.reset()
            if result.ok and not result.reason:
                log.event("fleet_told", what=type(body).__name__.lower(), index=result.index)
