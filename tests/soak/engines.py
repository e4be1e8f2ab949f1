"""Engines of a soak run: a seeded draw decides if an attempt is served, refused, failed, reset or left open."""

from __future__ import annotations

import contextlib
import queue
import random
import socket
import threading
import time

from tealwing.sockets import seconds_since_data
from tests.peers import Peer, say
from tests.soak.book import Attempt, History

PAGE = b"a\tb\tc\n"
LATE_FAILURE = (0.3, 2.5)  # s until an accepted attempt fails; the repeat window ends within this range
NEVER_RAN = {b"503", b"504"}


class Engine(Peer):
    """One engine; failure_share is the share of attempts that it does not serve normally."""

    def __init__(self, name: str, history: History, seed: int, failure_share: float) -> None:
        self.name, self._history, self._random, self._failure_share = name, history, random.Random(seed), failure_share
        self._closed: set[socket.socket] = set()
        self._arrived: queue.Queue[tuple[socket.socket, list[bytes], float]] = queue.Queue()
        super().__init__()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            sock, parts, now = self._arrived.get()
            call = parts[1].decode()
            with self._history.lock:
                if parts[0] == b"never_mind":
                    for attempt in self._history.attempts[call]:
                        if attempt.connection is sock and attempt.ended_at is None:
                            attempt.ended_at = now
                if parts[0] != b"want" or sock in self._closed:  # attempts end with their connection
                    continue
                ttl = int(parts[2].split(b"ttl=")[1].split(b",")[0]) / 1e3
                attempt = Attempt(self.name, now, ttl, sock)
                self._history.attempts[call].append(attempt)
                kind, wait = self._random.random(), self._random.expovariate(20)
            if kind < 1 - self._failure_share:
                threading.Timer(wait, self._answer, (attempt, parts[1], b"200")).start()
            elif kind < 1 - self._failure_share / 2:
                word = self._random.choice((b"503", b"500", b"504"))
                threading.Timer(wait, self._answer, (attempt, parts[1], word)).start()
            elif kind < 1 - self._failure_share / 3:
                threading.Timer(wait, self._reset, (attempt,)).start()
            elif kind < 1 - self._failure_share / 8:
                late = self._random.uniform(*LATE_FAILURE)
                threading.Timer(late, self._answer, (attempt, parts[1], b"500")).start()

    def _answer(self, attempt: Attempt, call: bytes, word: bytes) -> None:
        with self._history.lock:
            if attempt.ended_at is not None:
                return
            attempt.ended_at, attempt.may_have_run = time.monotonic(), word not in NEVER_RAN
        served = word == b"200"
        with contextlib.suppress(OSError):
            say(attempt.connection, call, word, b"sheets=1" if served else b"-", PAGE if served else b"")

    def _reset(self, attempt: Attempt) -> None:
        self._end_connection(attempt.connection)
        with contextlib.suppress(OSError):
            attempt.connection.shutdown(socket.SHUT_RDWR)

    def _read(self, sock: socket.socket) -> None:
        parser = self.parser()
        with contextlib.suppress(OSError):
            while data := sock.recv(4096):
                # The kernel knows when the data arrived; this thread may be scheduled late.
                arrived = time.monotonic() - seconds_since_data(sock)
                for parts in parser.feed(data):
                    self._arrived.put((sock, parts, arrived))
        self._end_connection(sock)

    def _end_connection(self, sock: socket.socket) -> None:
        """Mark a connection as closed, and all attempts in flight on it as ended."""
        with self._history.lock:
            self._closed.add(sock)
            for attempts in self._history.attempts.values():
                for attempt in attempts:
                    if attempt.connection is sock and attempt.ended_at is None:
                        attempt.ended_at = time.monotonic()
