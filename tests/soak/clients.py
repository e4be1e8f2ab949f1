"""Clients of a soak, which go on until nobody answers them any more."""

from __future__ import annotations

import contextlib
import random
import re
import threading
import time
from typing import TYPE_CHECKING

from tests.peers import LIMIT, Client
from tests.soak.book import Asked
from tests.soak.terms import CLASSES, CROSSING, LATE, SLACK, WORK
from tests.test_failing_calls import outcome

if TYPE_CHECKING:
    from tests.soak.run import Soak

STAYS = 0.97  # share of requests after which a client keeps its connection, before SIGTERM
HEEDS = 0.8  # share of refusals after which a client stays away as it is asked to
RESTS = 0.1  # share of connections whose first request comes as the gateway's limit for it runs out
FIRST_LIMIT = (1.9, 2.1)  # s after the connect, round the gateway's limit
PUSHBACK = re.compile(r"pushback=(\d+)")


class Hearing(Client):
    """A client that remembers the text of the last error."""

    said = ""

    def read(self) -> bytes:
        payload = super().read()
        if payload[:1] == b"\xff":
            self.said = payload[9:].decode("utf-8", "replace")
        return payload


class Asker:
    """A client that goes on until nobody answers it any more."""

    def __init__(self, address: tuple[str, int], number: int, soak: Soak) -> None:
        self._address, self._number, self._soak, self._book = address, number, soak, soak.book
        self._random, self._calls = random.Random(soak.seed * 1000 + number), 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self._soak.over.is_set():
            with contextlib.suppress(OSError, EOFError):
                client = Hearing(self._address)
                client.sock.settimeout(LIMIT)
                if self._random.random() < RESTS and self._soak.stopped is None:
                    time.sleep(self._random.uniform(*FIRST_LIMIT))
                while self._one(client) and self._stays():
                    self._soak.quiet_over.wait()
                    time.sleep(self._random.expovariate(30))
                client.sock.close()
                continue
            if self._soak.stopped is not None:
                return
            time.sleep(0.02)

    def _stays(self) -> bool:
        """Whether it keeps its connection: after SIGTERM all do, to ask on it until the kill."""
        return self._soak.stopped is not None or self._random.random() < STAYS

    def _one(self, client: Hearing) -> bool:
        """One request to its end; whether the connection goes on. Raises OSError where it had ended before."""
        self._calls += 1
        call, lane = f"{self._number:04x}{self._calls:012x}", self._random.choice(list(CLASSES))
        ttl = self._random.uniform(0.3, 1.0) * self._soak.deadline
        fields = {"op": lane, "call": call, "ttl": round(ttl * 1e3), "work": WORK * 1e3}
        fields |= {"dedupe": call} if lane == "load" else {}
        asked = Asked(lane, ttl, time.monotonic())
        with self._book.lock:
            self._book.asked[call] = asked
        client.ask(**fields)
        asked.written = time.monotonic()
        if self._soak.stopped is not None:
            with self._book.lock:
                self._book.in_drain[int((asked.written - self._soak.stopped) * 10)] += 1
        leaves, timed = self._random.random(), True
        if leaves < 0.08:
            time.sleep(self._patience(ttl))
            client.sock.close()
            asked.left = time.monotonic()
            return False
        if leaves < 0.16:
            time.sleep(self._patience(ttl))
            timed = False  # its end may have come meanwhile
            self._kill(client, asked)
        try:
            end = outcome(client)
        except (EOFError, ConnectionError, TimeoutError) as error:
            waited = time.monotonic() - asked.written
            with self._book.lock:
                forwarded = bool(self._book.attempts.get(call))
            if asked.left is None and (forwarded or (timed and waited > CROSSING + SLACK)):
                self._book.find(f"{call} ({lane}) lost: {error!r} after {waited:.3f} s, {self._soak.when()}")
            raise
        late = time.monotonic() - asked.written - ttl
        if late > LATE + SLACK:
            self._book.find(f"{call} ({lane}) answered {late:.3f} s after its time, {self._soak.when()}")
        with self._book.lock:
            self._book.ends[end] += 1
        if end != "served":
            self._stay_away(client)
        return True

    def _patience(self, ttl: float) -> float:
        """Seconds until a client leaves early: soon, or at any time."""
        soon = self._random.random() < 0.5
        return self._random.expovariate(20) if soon else self._random.uniform(0.0, ttl)

    def _stay_away(self, client: Hearing) -> None:
        """Wait as a refusal asks to, most of the time; not during the drain, in which open connections go on."""
        found = PUSHBACK.search(client.said)
        if found is not None and self._soak.stopped is None and self._random.random() < HEEDS:
            self._soak.over.wait(int(found[1]) / 1e3)

    def _kill(self, client: Client, asked: Asked) -> None:
        with contextlib.suppress(OSError, EOFError):
            other = Client(self._address)
            other.send(3, b"KILL QUERY %d" % client.id)
            other.read()
            asked.left = time.monotonic()
            other.sock.close()
