"""Case 2: during an upgrade a client's KILL QUERY does not end its own request, and ends another client's."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (
    HOST,
    TROUBLE,
    Client,
    Coordinator,
    Engine,
    Platform,
    Query,
    Record,
    call_id,
    free_port,
    main,
    settings,
    statement,
)

FOLDER = Path(__file__).resolve().parent
LISTENER = 7  # the descriptor of the clients' listening socket, as the platform hands it over
HANGING, ENGINES = 2, 4  # half of the engines hang
REPORTS, LOADS = 8, 8  # requests at the old process, and at the new one
REPORT_TIME, LOAD_TIME = 4.0, 6.0  # s of an engine's work: within the figures of the brief
GIVES_UP_AFTER = 1.25  # s from a report to its KILL QUERY
CLOSES_AFTER = 0.5  # s from the KILL QUERY to the close of the client's own session
GONE = 0.1 + 0.05  # s from a cancel after which no attempt may begin, and what is added to each limit on sockets


@dataclass
class Sent:
    """One request of one client."""

    who: str
    client: Client
    call: str
    killed_at: float = 0.0  # monotonic


def work(query: Query) -> float | None:
    """Return the seconds of work of a request; None at an engine that hangs."""
    if int(query.engine.name[-1]) < HANGING:
        return None
    return REPORT_TIME if query.fields["lane"] == "report" else LOAD_TIME


def start(record: Record, platform: Platform, config: Path) -> subprocess.Popen[bytes]:
    """Start a process of the gateway on the inherited listener, and wait until it says yes to readiness."""
    admin = free_port()
    process = platform.start("n0", config, (LISTENER,), True, LB_ACCEPT_FD=str(LISTENER), LB_ADMIN=f"{HOST}:{admin}")
    until = time.monotonic() + 30
    while True:
        try:
            with urllib.request.urlopen(f"http://{HOST}:{admin}/ops/readiness", timeout=1) as answer:
                if answer.status == 200:
                    record(f"process {process.pid} says yes")
                    return process
        except OSError:
            if time.monotonic() > until:
                raise
        time.sleep(0.05)


def send(record: Record, port: int, kind: str, clients: list[Client], ttl: float) -> list[Sent]:
    """Send one request of a class on each session."""
    found = []
    for number, client in enumerate(clients):
        call = call_id()
        record(f"{kind} {number}: sends {call} on the connection with id {client.number}")
        client.send(statement(kind, call, ttl, call if kind == "load" else ""))
        found.append(Sent(f"{kind} {number}", client, call))
    return found


def kill(record: Record, port: int, sent: list[Sent]) -> None:
    """Stop waiting for these requests: KILL QUERY on new sessions, and half a second later the clients close theirs."""
    for one in sent:
        session = Client(port)
        record(f"{one.who}: stops waiting, KILL QUERY {one.client.number} on a new session")
        session.send(f"KILL QUERY {one.client.number}")
        answer = session.receive(2.0)
        one.killed_at = record(f"{one.who}: its KILL QUERY is answered: {answer}")
        session.close()
    time.sleep(max(0.0, sent[0].killed_at + CLOSES_AFTER - time.monotonic()))
    for one in sent:
        one.client.close()
    record("the clients of the reports have closed their sessions")


def case(record: Record, platform: Platform) -> str:
    """Return what broke the rule on clients that have gone, or nothing."""
    listener = socket.create_server((HOST, 0), backlog=128)
    port = int(listener.getsockname()[1])
    os.dup2(listener.fileno(), LISTENER, inheritable=True)
    engines = [Engine(record, f"s-0000000{number}", work) for number in range(ENGINES)]
    coordinator = Coordinator(record, [engine.member("up") for engine in engines])
    config = platform.configuration("n0", port, coordinator, settings())
    old = start(record, platform, config)
    waiting = [Client(port) for _ in range(REPORTS)]
    for client in waiting:
        client.ping()
    if TROUBLE:
        start(record, platform, config)
    begun = time.monotonic()
    reports = send(record, port, "report", waiting, 20.0)
    if TROUBLE:
        platform.signal(old, signal.SIGTERM)
        time.sleep(0.3)
    loads = send(record, port, "load", [Client(port) for _ in range(LOADS)], 25.0)
    time.sleep(max(0.0, begun + GIVES_UP_AFTER - time.monotonic()))
    kill(record, port, reports)
    interrupted = 0
    for one in loads:
        answer = one.client.receive(1.0)
        if answer.outcome != "lost":
            record(f"{one.who}: {one.call}: {answer}")
            interrupted += answer.text.startswith("1317")
    record(f"{interrupted} of {LOADS} loads that nobody has cancelled were answered as interrupted")
    late = []
    for one in reports:
        attempts = [query for engine in engines for query in engine.queries if query.call == one.call.encode()]
        late += [(one.who, query.at - one.killed_at) for query in attempts if query.at > one.killed_at + GONE]
    for who, after in late:
        record(f"{who}: an attempt began {after:.3f} s after its client had cancelled it")
    if not late:
        return ""
    return (
        f"{len(late)} attempts began more than {GONE:g} s after their clients had cancelled, and {interrupted} requests"
        f" of other clients were interrupted"
    )


if __name__ == "__main__":
    main(FOLDER, case)
