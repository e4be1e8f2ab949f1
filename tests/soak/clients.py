"""Clients of a soak run, which send requests until the gateway no longer answers."""

from __future__ import annotations

import contextlib
import random
import re
import threading
import time
from typing import TYPE_CHECKING

from tests.peers import LIMIT, Client
from tests.soak.book import Request
from tests.soak.terms import CLASSES, IDLE_CLOSE_RACE, LATE_LIMIT, TIMING_TOLERANCE, WORK_PER_REQUEST
from tests.test_failing_calls import read_result

if TYPE_CHECKING:
    from tests.soak.run import Soak

KEEP_CONNECTION_SHARE = 0.97  # share of requests after which a client keeps its connection, before SIGTERM
BACK_OFF_SHARE = 0.8  # share of refusals after which a client waits for the pushback time that the error names
SLOW_FIRST_REQUEST_SHARE = 0.1  # share of connections with a first request at about the gateway's limit for it
FIRST_REQUEST_DELAY = (1.9, 2.1)  # s after the connect; the gateway's limit lies between them
PUSHBACK = re.compile(r"pushback=(\d+)")


class ErrorRecordingClient(Client):
    """A client that keeps the text of the last error."""

    last_error = ""

    def read(self) -> bytes:
        payload = super().read()
        if payload[:1] == b"\xff":
            self.last_error = payload[9:].decode("utf-8", "replace")
        return payload


class LoadClient:
    """A client that sends requests until the gateway no longer answers."""

    def __init__(self, address: tuple[str, int], number: int, soak: Soak) -> None:
        self._address, self._number, self._soak, self._history = address, number, soak, soak.history
        self._random, self._calls = random.Random(soak.seed * 1000 + number), 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        while not self._soak.finished.is_set():
            with contextlib.suppress(OSError, EOFError):
                client = ErrorRecordingClient(self._address)
                client.sock.settimeout(LIMIT)
                if self._random.random() < SLOW_FIRST_REQUEST_SHARE and self._soak.sigterm_at is None:
                    time.sleep(self._random.uniform(*FIRST_REQUEST_DELAY))
                while self._send_request(client) and self._keeps_connection():
                    self._soak.may_send.wait()
                    time.sleep(self._random.expovariate(30))
                client.sock.close()
                continue
            if self._soak.sigterm_at is not None:
                return
            time.sleep(0.02)

    def _keeps_connection(self) -> bool:
        """Whether the client keeps its connection; after SIGTERM every client does, to send on it until SIGKILL."""
        return self._soak.sigterm_at is not None or self._random.random() < KEEP_CONNECTION_SHARE

    def _send_request(self, client: ErrorRecordingClient) -> bool:
        """Send one request and read its result; return whether the connection stays open.

        Raises OSError if the connection had ended before.
        """
        self._calls += 1
        call, class_name = f"{self._number:04x}{self._calls:012x}", self._random.choice(list(CLASSES))
        ttl = self._random.uniform(0.3, 1.0) * self._soak.deadline
        fields = {"op": class_name, "call": call, "ttl": round(ttl * 1e3), "work": WORK_PER_REQUEST * 1e3}
        fields |= {"dedupe": call} if class_name == "load" else {}
        request = Request(class_name, ttl, time.monotonic())
        with self._history.lock:
            self._history.requests[call] = request
        client.ask(**fields)
        request.sent_at = time.monotonic()
        if self._soak.sigterm_at is not None:
            with self._history.lock:
                self._history.in_drain[int((request.sent_at - self._soak.sigterm_at) * 10)] += 1
        departure, is_timed = self._random.random(), True
        if departure < 0.08:
            time.sleep(self._time_until_leaving(ttl))
            client.sock.close()
            request.left_at = time.monotonic()
            return False
        if departure < 0.16:
            time.sleep(self._time_until_leaving(ttl))
            is_timed = False  # the connection may have ended during the sleep
            self._kill(client, request)
        try:
            end = read_result(client)
        except (EOFError, ConnectionError, TimeoutError) as error:
            waited = time.monotonic() - request.sent_at
            with self._history.lock:
                forwarded = bool(self._history.attempts.get(call))
            if request.left_at is None and (forwarded or (is_timed and waited > IDLE_CLOSE_RACE + TIMING_TOLERANCE)):
                self._history.add_finding(
                    f"{call} ({class_name}) got no answer: {error!r} after {waited:.3f} s, {self._soak.describe_time()}"
                )
            raise
        late = time.monotonic() - request.sent_at - ttl
        if late > LATE_LIMIT + TIMING_TOLERANCE:
            self._history.add_finding(
                f"{call} ({class_name}) answered {late:.3f} s after its time to live, {self._soak.describe_time()}"
            )
        with self._history.lock:
            self._history.ends[end] += 1
        if end != "served":
            self._back_off(client)
        return True

    def _time_until_leaving(self, ttl: float) -> float:
        """Seconds until a client abandons its request: after a short delay or at any time within its time to live."""
        soon = self._random.random() < 0.5
        return self._random.expovariate(20) if soon else self._random.uniform(0.0, ttl)

    def _back_off(self, client: ErrorRecordingClient) -> None:
        """Wait for the pushback time of most refusals; after SIGTERM clients send on without a wait."""
        found = PUSHBACK.search(client.last_error)
        if found is not None and self._soak.sigterm_at is None and self._random.random() < BACK_OFF_SHARE:
            self._soak.finished.wait(int(found[1]) / 1e3)

    def _kill(self, client: Client, request: Request) -> None:
        with contextlib.suppress(OSError, EOFError):
            other = Client(self._address)
            other.send(3, b"KILL QUERY %d" % client.id)
            other.read()
            request.left_at = time.monotonic()
            other.sock.close()
