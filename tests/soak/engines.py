"""Engines of a soak: each answers, refuses, fails, resets, fails late or hangs, as its random numbers say."""

from __future__ import annotations

import contextlib
import queue
import random
import socket
import threading
import time

from tealwing.sockets import seconds_since_data
from tests.peers import Peer, say
from tests.soak.book import Attempt, Book

PAGE = b"a\tb\tc\n"
LATE_FAILURE = (0.3, 2.5)  # s after which an attempt fails that seemed to run: round the window for repeats
NEVER_RAN = {b"503", b"504"}


class Engine(Peer):
    """One engine; trouble is the share of attempts that it does not just serve."""

    def __init__(self, name: str, book: Book, seed: int, trouble: float) -> None:
        self.name, self._book, self._random, self._trouble = name, book, random.Random(seed), trouble
        self._closed: set[socket.socket] = set()
        self._arrived: queue.Queue[tuple[socket.socket, list[bytes], float]] = queue.Queue()
        super().__init__()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            sock, parts, now = self._arrived.get()
            call = parts[1].decode()
            with self._book.lock:
                if parts[0] == b"never_mind":
                    for attempt in self._book.attempts[call]:
                        if attempt.connection is sock and attempt.ended is None:
                            attempt.ended = now
                if parts[0] != b"want" or sock in self._closed:  # all on a connection is given up with it
                    continue
                told = int(parts[2].split(b"ttl=")[1].split(b",")[0]) / 1e3
                attempt = Attempt(self.name, now, told, sock)
                self._book.attempts[call].append(attempt)
                kind, wait = self._random.random(), self._random.expovariate(20)
            if kind < 1 - self._trouble:
                threading.Timer(wait, self._answer, (attempt, parts[1], b"200")).start()
            elif kind < 1 - self._trouble / 2:
                word = self._random.choice((b"503", b"500", b"504"))
                threading.Timer(wait, self._answer, (attempt, parts[1], word)).start()
            elif kind < 1 - self._trouble / 3:
                threading.Timer(wait, self._reset, (attempt,)).start()
            elif kind < 1 - self._trouble / 8:
                late = self._random.uniform(*LATE_FAILURE)
                threading.Timer(late, self._answer, (attempt, parts[1], b"500")).start()

    def _answer(self, attempt: Attempt, call: bytes, word: bytes) -> None:
        with self._book.lock:
            if attempt.ended is not None:
                return
            attempt.ended, attempt.may_have_run = time.monotonic(), word not in NEVER_RAN
        served = word == b"200"
        with contextlib.suppress(OSError):
            say(attempt.connection, call, word, b"sheets=1" if served else b"-", PAGE if served else b"")

    def _reset(self, attempt: Attempt) -> None:
        self._over(attempt.connection)
        with contextlib.suppress(OSError):
            attempt.connection.shutdown(socket.SHUT_RDWR)

    def _read(self, sock: socket.socket) -> None:
        parser = self.parser()
        with contextlib.suppress(OSError):
            while data := sock.recv(4096):
                arrived = time.monotonic() - seconds_since_data(sock)  # by the kernel: this thread may come to it late
                for parts in parser.feed(data):
                    self._arrived.put((sock, parts, arrived))
        self._over(sock)

    def _over(self, sock: socket.socket) -> None:
        """A connection has ended: all that is out on it is given up."""
        with self._book.lock:
            self._closed.add(sock)
            for attempts in self._book.attempts.values():
                for attempt in attempts:
                    if attempt.connection is sock and attempt.ended is None:
                        attempt.ended = time.monotonic()
