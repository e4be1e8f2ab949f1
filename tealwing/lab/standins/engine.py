"""A fake engine on a real socket: the platform's RESP dialect, with the simulated engine behind it.

The cost and the rows of a query follow from its id and a seed alone, so a test that knows both can check every answer.
If the engine has a site, the first column of its rows names it.
"""

from __future__ import annotations

import contextlib
import hashlib
import socket
import threading
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import numpy as np

from tealwing import interface as api
from tealwing.lab import arrivals
from tealwing.lab.engines import Engine as Model
from tealwing.lab.engines import EngineParameters, Run
from tealwing.lab.realtime import RealClock
from tealwing.resp import messages

PAGE = 6000  # maximum bytes of a page (set by the protocol)
KEY_RETENTION = 25.0  # s for which a repeat of a key is dropped (set by the operators)
MAX_KEYS = 100_000  # keys kept; the oldest are dropped
READ_SIZE = 64 * 1024  # bytes
ROWS = (1, 400)  # range of the number of rows of a result, uniform


@dataclass(frozen=True, slots=True)
class Truth:
    """The cost and the result of a query: work in s of one thread, the share of I/O, memory in MB, and pages."""

    work: float
    io: float
    need: float
    pages: tuple[bytes, ...]


def truth(seed: int, call: bytes, cls: int, mix: Sequence[arrivals.Mix] = arrivals.BRIEF, site: bytes = b"") -> Truth:
    """Return the cost and result of the query `call`; its rows begin with the site, or with its id if that is empty."""
    rng = np.random.default_rng(int.from_bytes(hashlib.blake2b(call, digest_size=8).digest(), "big") ^ seed)
    kind = mix[cls]
    work = float(arrivals.lognormal(rng, kind.work, kind.spread, 1)[0])
    need = float(arrivals.lognormal(rng, kind.memory * arrivals.MEMORY_UNIT, 0.5, 1)[0])
    rows = [b"%b\t%d\trow %d\n" % (site or call, i, i * i) for i in range(int(rng.integers(*ROWS)))]
    pages, page = list[bytes](), b""
    for row in rows:
        if len(page) + len(row) > PAGE:
            pages.append(page)
            page = b""
        page += row
    return Truth(work, kind.io, need, (*pages, page))


class Keys:
    """The idempotency keys that ran on any engine: a repeat within KEY_RETENTION is dropped and answered at once."""

    def __init__(self, clock: RealClock) -> None:
        self._clock = clock
        self._seen: OrderedDict[bytes, float] = OrderedDict()
        self.ran: dict[bytes, int] = {}  # how often each key's effect took place; more than once is a violation

    def take(self, key: bytes) -> bool:
        """Return whether the key is new, or no longer kept, and keep it."""
        now = self._clock.now
        while self._seen and (next(iter(self._seen.values())) < now - KEY_RETENTION or len(self._seen) > MAX_KEYS):
            self._seen.popitem(last=False)
        if key in self._seen:
            return False
        self._seen[key] = now
        self.ran[key] = self.ran.get(key, 0) + 1
        return True


@dataclass(eq=False, slots=True)
class Attempt:
    """One query on one connection."""

    call: bytes
    sock: socket.socket
    cls: int
    pages: tuple[bytes, ...]
    run: Run | None = None
    over: bool = False


@dataclass(slots=True)
class Misbehaviour:
    """The injected faults of an engine; all may be changed while it runs."""

    silent: bool = False  # it reads everything and sends nothing
    spoil: float = 0.0  # share of answers that are random bytes
    cut: float = 0.0  # share of answers cut off halfway, along with the connection
    copies: float = 0.0  # share of answers sent twice
    answer_delay: float = 0.0  # s added before each answer


@dataclass(slots=True)
class EngineRecord:
    """The queries that an engine received and ended, for checks."""

    wants: list[tuple[float, bytes, bytes]] = field(default_factory=list)  # time, id, class
    ends: list[tuple[float, bytes, bytes]] = field(default_factory=list)  # time, id, status or `given up`


class Engine:
    """One fake engine on loopback."""

    def __init__(
        self,
        settings: api.Settings,
        parameters: EngineParameters,
        clock: RealClock,
        keys: Keys,
        seed: int,
        started: float = 0.0,
        address: tuple[str, int] = ("127.0.0.1", 0),
        mix: Sequence[arrivals.Mix] = arrivals.BRIEF,
        site: str = "",
        seen: Callable[[str, str], object] | None = None,
    ) -> None:
        """Start listening; `seen` is called with the id of each arriving query and the site, and must not block."""
        self._mix, self._site, self._seen = mix, site.encode(), seen
        self._settings, self._parameters, self._clock, self._keys, self._seed = settings, parameters, clock, keys, seed
        self._names = [cls.name.encode() for cls in settings.classes]
        self._rng = np.random.default_rng((seed, 77))
        self.misbehaviour, self.record = Misbehaviour(), EngineRecord()
        self._listener = socket.create_server(address, backlog=256)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        with clock.lock:
            self.model = Model(1, parameters, clock, self._rng, started)
        self._open: dict[socket.socket, dict[bytes, Attempt]] = {}
        threading.Thread(target=self._accept, name="standin-engine", daemon=True).start()

    def crash(self) -> None:
        """Act as a killed process: end all connections and refuse new ones."""
        with self._clock.lock:
            self.model.crash()
            socks = list(self._open)
            self._open.clear()
        for sock in (self._listener, *socks):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def slow(self, times: float) -> None:
        """Run `times` times slower from now on."""
        with self._clock.lock:
            self.model.set_slowdown(times)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._clock.lock:
                self._open[sock] = {}
            threading.Thread(target=self._read, args=(sock,), name="standin-reader", daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        parser = messages.Parser()
        try:
            while data := sock.recv(READ_SIZE):
                for parts in parser.feed(data):
                    with self._clock.lock:
                        self._on_message(sock, parts)
        except (OSError, messages.RespError):
            pass  # malformed input ends the connection, as the platform's engines do
        with self._clock.lock:
            for attempt in list(self._open.pop(sock, {}).values()):
                self._cancel(attempt)
        sock.close()

    def _on_message(self, sock: socket.socket, parts: list[bytes]) -> None:
        attempts = self._open.get(sock)
        if attempts is None or self.misbehaviour.silent:
            return
        message, call = parts[0], parts[1] if len(parts) > 1 else b""
        attempt = attempts.get(call)
        if message == b"there":
            self._send(sock, call, b"alive", b"-", b"")
        elif message == b"want" and len(parts) == 4:
            self._on_query(sock, call, messages.fields(parts[2]), parts[3])
        elif attempt is None:
            if message == b"turn":
                self._send(sock, call, b"500", b"-", b"")  # a page of an unknown query was requested
        elif message == b"never_mind" or message == b"shut":
            self._cancel(attempt)
            del attempts[call]
        elif message == b"hurry" and attempt.run is not None:
            self.model.tune(attempt.run, messages.count(parts[2].decode(), 3))
        elif message == b"turn":
            number = messages.count(parts[2].decode(), len(attempt.pages) - 1)
            self._send(sock, call, b"chunk", b"sheet=%d" % number, attempt.pages[number])

    def _on_query(self, sock: socket.socket, call: bytes, fields: dict[str, str], statement: bytes) -> None:
        lane, now = fields.get("lane", "").encode(), self._clock.now
        self.record.wants.append((now, call, lane))
        if self._seen is not None:
            self._seen(call.decode("ascii", "replace"), self._site.decode())
        if lane not in self._names or not statement or call in self._open[sock]:
            self._end(sock, call, b"500")
            return
        cls = self._names.index(lane)
        query, kind = truth(self._seed, call, cls, self._mix, self._site), self._settings.classes[cls]
        self.model.count_cold_send(query.work)
        if not self.model.up:
            self._clock.at(now, self.crash)
            return
        if self.model.full():
            self._end(sock, call, b"503")
            return
        attempt = self._open[sock][call] = Attempt(call, sock, cls, query.pages)
        if kind.idempotency is api.Idempotency.KEYED and not self._keys.take(fields.get("dedupe", "").encode()):
            self._clock.at(now, self._served, attempt)  # the key ran already: the repeat is dropped
            return
        group = int.from_bytes(hashlib.blake2b(statement, digest_size=2).digest(), "big") % arrivals.GROUPS
        attempt.run = Run(
            attempt, cls, query.work, kind.threads, query.io, group, query.need,
            messages.count(fields.get("urgency", "1"), 3), kind.locks_tables, kind.waits_for_locks,
            lambda run: self._served(run.key),
        )  # fmt: skip
        self.model.start(attempt.run)
        self._clock.after(messages.number(fields.get("ttl", ""), 0.0) / 1e3, self._timed_out, attempt)
        if self._settings.progress_interval > 0:
            self._clock.after(self._settings.progress_interval, self._send_progress, attempt)

    def _served(self, attempt: Attempt) -> None:
        if self.misbehaviour.answer_delay:
            self._clock.after(self.misbehaviour.answer_delay, self._answer, attempt)
        else:
            self._answer(attempt)

    def _answer(self, attempt: Attempt) -> None:
        if attempt.over or attempt.sock not in self._open:
            return
        attempt.over, faults, drawn = True, self.misbehaviour, float(self._rng.random())
        queue, inflight = self.model.report()
        fields = b"sheets=%d,rep=queue:%g;inflight:%g" % (len(attempt.pages), queue, inflight)
        if drawn < faults.spoil:
            self._write(attempt.sock, b"*4\r\n$16\r\n" + bytes(self._rng.integers(0, 256, 40, dtype=np.uint8)))
        elif drawn < faults.spoil + faults.cut:
            result = messages.encode(attempt.call, b"200", fields, attempt.pages[0])
            self._write(attempt.sock, result[: len(result) // 2])
            with contextlib.suppress(OSError):
                attempt.sock.shutdown(socket.SHUT_RDWR)
        else:
            for _ in range(1 + (float(self._rng.random()) < faults.copies)):
                self._send(attempt.sock, attempt.call, b"200", fields, attempt.pages[0])
        self.record.ends.append((self._clock.now, attempt.call, b"200"))
        if len(attempt.pages) == 1:
            self._open[attempt.sock].pop(attempt.call, None)

    def _end(self, sock: socket.socket, call: bytes, status: bytes) -> None:
        self.record.ends.append((self._clock.now, call, status))
        self._send(sock, call, status, b"-", b"")

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.over:
            self._cancel(attempt)
            self._open.get(attempt.sock, {}).pop(attempt.call, None)

    def _cancel(self, attempt: Attempt) -> None:
        if not attempt.over:
            attempt.over = True
            self.record.ends.append((self._clock.now, attempt.call, b"given up"))
            if attempt.run is not None:
                self.model.stop(attempt.run)

    def _send_progress(self, attempt: Attempt) -> None:
        run = attempt.run
        if attempt.over or run is None or attempt.sock not in self._open:
            return
        self._clock.after(self._settings.progress_interval, self._send_progress, attempt)
        note = b"why=parked,val=2" if run.blocked else b"why=frac,val=%.3f" % self.model.progress(run)
        self._send(attempt.sock, attempt.call, b"status", note, b"")

    def _send(self, sock: socket.socket, *parts: bytes) -> None:
        self._write(sock, messages.encode(*parts))

    def _write(self, sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):  # the reader thread notices a closed connection
            sock.sendall(data)
