"""Clients of the gateways: queries over the MySQL protocol, and readiness checks over HTTP."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
from typing import TYPE_CHECKING

from tealwing.lab.client import Session

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

QUERY_INTERVAL = 0.1  # s between two queries of one client
READINESS_INTERVAL = QUERY_INTERVAL / 2  # s between two readiness checks of one gateway
QUERY_LIMIT = 3.0  # s that a client waits for an answer: the deadline of a lookup


class GatewayClients:
    """The clients of all gateways of one trial; they run until they are stopped."""

    def __init__(self, stopped: threading.Event) -> None:
        self._stopped = stopped
        self._calls = itertools.count(1)

    def run_queries(self, trial: Trial, name: str) -> None:
        """Send one client's queries to one gateway while it listens; a failed connection counts as no query."""
        session: Session | None = None
        session_of = 0
        while not self._stopped.wait(QUERY_INTERVAL):
            process = trial.processes[name]
            address, start = process.address("listen"), process.starts
            if address is None or process.stopped:
                continue
            call = f"{trial.seed & 0xFFFF:04x}{next(self._calls):012x}"
            text = f"/* op=lookup,call={call},ttl=3000,org=graan-koop,work=2.0,heap_mb=4 */ SELECT a FROM sales_1.t"
            try:
                if session is None or session_of != start:
                    session, session_of = Session(address), start
            except OSError:
                session = None
                continue
            number = trial.history.invoke("query", name, start=start)
            try:
                answer = session.query(text.encode(), QUERY_LIMIT)
                trial.history.complete(number, "ok", word=answer.outcome, text=answer.text)
            except OSError as error:
                trial.history.complete(number, "unknown", why=str(error), lives=process.running)
                session.close()
                session = None
        if session is not None:
            session.close()

    def watch_readiness(self, trial: Trial, name: str) -> None:
        """Record the readiness of one gateway whenever it changes."""
        last_answer = ""
        while not self._stopped.wait(READINESS_INTERVAL):
            process = trial.processes[name]
            address = process.address("admin")
            answer = "down"
            if address is not None and not process.stopped:
                with contextlib.suppress(OSError):
                    answer = readiness(address)
            if answer != last_answer:
                last_answer = answer
                trial.history.add("readiness", process=name, word=answer, start=process.starts)


def readiness(address: tuple[str, int]) -> str:
    """Return the response body of GET /ops/readiness, stripped of surrounding whitespace."""
    with socket.create_connection(address, 1.0) as sock:
        sock.settimeout(1.0)
        sock.sendall(b"GET /ops/readiness HTTP/1.1\r\nHost: gateway\r\n\r\n")
        got = b""
        while part := sock.recv(4096):
            got += part
    return got.partition(b"\r\n\r\n")[2].decode("utf-8", "replace").strip()
