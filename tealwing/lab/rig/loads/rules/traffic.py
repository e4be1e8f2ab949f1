"""Clients whose answers show which version of the rules decided their queries."""

from __future__ import annotations

import itertools
import random
import threading
from typing import TYPE_CHECKING

from tealwing.lab.client import Session
from tealwing.lab.rig.loads.rules.bundles import GROUPS, MOVED

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

PAUSE = 0.03  # s between two queries of one client
RETRY_INTERVAL = 0.1  # s until a client retries a gateway that does not listen
LIMIT = 4.0  # s that a client waits for an answer: longer than the deadline of its query
TTL_MS = 3000  # deadline of a lookup


class Traffic:
    """The clients of all gateways of one trial; they run until they are stopped."""

    def __init__(self, trial: Trial, stopped: threading.Event) -> None:
        self._trial, self._stopped = trial, stopped
        self._calls = itertools.count(1)

    def run(self, name: str, place: int, moves: bool) -> None:
        """Run one client of a gateway; moves: whether it queries groups that changes move, or others."""
        rng = random.Random(f"{self._trial.seed}/{name}/{place}")
        session: Session | None = None
        session_of, pause = 0, PAUSE
        while not self._stopped.wait(pause * rng.uniform(0.5, 1.5)):
            process = self._trial.processes[name]
            address, start, pause = process.address("listen"), process.starts, RETRY_INTERVAL
            if address is None or process.stopped:
                continue
            try:
                if session is None or session_of != start:
                    session, session_of = Session(address), start
            except OSError:  # no gateway received the query
                session = None
                continue
            pushback = self._send_query(
                session, name, start, rng.randrange(MOVED) if moves else rng.randrange(MOVED, GROUPS)
            )
            if pushback is None:
                session.close()
                session = None
            pause = max(PAUSE, pushback or 0.0)
        if session is not None:
            session.close()

    def _send_query(self, session: Session, name: str, start: int, group: int) -> float | None:
        """Send one query and record it; return the pushback of its answer in s, or None if the session is lost."""
        history, process = self._trial.history, self._trial.processes[name]
        call = f"{self._trial.seed & 0xFFFF:04x}{next(self._calls):012x}"
        head = f"/* op=lookup,call={call},ttl={TTL_MS},org=graan-koop,work=2.0,heap_mb=4 */"
        number = history.invoke("query", name, call=call, group=group, moves=group < MOVED, start=start)
        try:
            answer = session.query(f"{head} SELECT a FROM sales_{group}.t".encode(), LIMIT)
        except OSError as error:
            history.complete(number, "unknown", why=str(error), lives=process.running)
            return None
        history.complete(number, "ok", word=answer.outcome, site=answer.site, text=answer.text)
        return answer.pushback
