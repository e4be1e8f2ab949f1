"""One run of the soak: the program, its clients and engines, and the troubles between them."""

from __future__ import annotations

import contextlib
import json
import random
import signal
import socket
import threading
import time
from pathlib import Path

from tealwing.lab.standins.coordinator import Coordinator
from tests.peers import LIMIT, Program, member
from tests.soak.book import Book, Drain
from tests.soak.clients import Asker
from tests.soak.engines import Engine
from tests.soak.judge import RECONNECT, judge
from tests.soak.terms import DRAIN, KILL, PAUSE, settings

ENGINES, MOST_ENGINES = 3, 6  # at first; with those that join
LEAST_READY = 2  # engines that do not drain: else nothing is served
AWAY = 2.0  # s at least for which an engine that drains stays away
STRICT = 0.8  # share of drains before which the watch has stood for long enough
QUIET = (0.5, 2.0)  # s without a request
OUTAGE = (1.0, 4.0)  # s in which discovery tells nothing


class Soak:
    """One run."""

    def __init__(self, seed: int, folder: Path, log: Path | None = None) -> None:
        """log is a file for the program's own log."""
        self._log = log
        self.seed, self.book = seed, Book()
        self.over, self.quiet_over = threading.Event(), threading.Event()
        self.quiet_over.set()
        self.stopped: float | None = None
        self._random = random.Random(seed)
        self.deadline = self._random.choice((0.2, 0.4, 1.0, 2.0, 4.0))
        self._trouble = self._random.choice((0.05, 0.2, 0.5))
        self._engines = [self._engine(number) for number in range(ENGINES)]
        self._members = {engine.name: member(engine.name, engine.address) for engine in self._engines}
        self._coordinator = Coordinator(list(self._members.values()))
        self._program = Program(
            folder, "127.0.0.1:1", self._coordinator.address, known=self._coordinator.known,
            settings=settings(self.deadline, 0), limits={"sockets": 256},
        )  # fmt: skip

    def _engine(self, number: int) -> Engine:
        return Engine(f"s-{number}", self.book, self.seed * 100 + number, self._trouble)

    def when(self) -> str:
        """The moment, in words."""
        return "before SIGTERM" if self.stopped is None else f"{time.monotonic() - self.stopped:.3f} s after SIGTERM"

    def run(self, seconds: float) -> Book:
        """Play so many seconds of troubles, then the end; what was seen."""
        address = self._program.address()
        lines = threading.Thread(target=self._drop_log, daemon=True)
        lines.start()
        askers = [Asker(address, number, self) for number in range(self._random.choice((4, 12, 30)))]
        crowd = self._crowd(address) if self._random.random() < 0.3 else []
        until = time.monotonic() + seconds
        troubles = {
            self._reload: 2.0, self._reload_bad: 2.0, self._pause: 2.0, self._drain: 3.0, self._back: 2.0,
            self._join: 0.7, self._quiet: 0.5, self._cut_list: 0.4, self._outage: 0.15,
        }  # fmt: skip
        while time.monotonic() < until:
            time.sleep(self._random.expovariate(8))
            self._random.choices(list(troubles), list(troubles.values()))[0]()
        self._end()
        for asker in askers:
            asker.thread.join(LIMIT)
            if asker.thread.is_alive():
                self.book.find("a client still waits after the end")
        for sock in crowd:
            sock.close()
        for engine in self._engines:
            engine.listener.close()
        self._coordinator.stop()
        judge(self.book)
        return self.book

    def _drop_log(self) -> None:
        assert self._program.process.stdout is not None
        with contextlib.ExitStack() as open_files:
            kept = open_files.enter_context(self._log.open("w")) if self._log is not None else None
            for line in self._program.process.stdout:
                if kept is not None:
                    kept.write(line)
                self._look_at_log(line)

    def _look_at_log(self, line: str) -> None:
        if '"must_hold_broken"' in line or '"request_fault"' in line:
            self.book.find(line.strip()[:300])

    def _crowd(self, address: tuple[str, int]) -> list[socket.socket]:
        """More idle clients than there is room for."""
        found = []
        for _ in range(120):
            with contextlib.suppress(OSError):
                found.append(socket.create_connection(address, 1.0))
        return found

    # Troubles

    def _signal(self, number: int) -> None:
        self._program.process.send_signal(number)

    def _reload(self) -> None:
        for _ in range(self._random.randint(1, 4)):
            change = self._random.randint(1, 1000)
            self._program.reload(json.dumps(self._program.config | {"settings": settings(self.deadline, change)}))

    def _reload_bad(self) -> None:
        self._program.reload(json.dumps(self._program.config)[: self._random.randint(0, 400)])

    def _pause(self) -> None:
        self._signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(0.0, PAUSE))
        self._signal(signal.SIGCONT)

    def _drain(self) -> None:
        """One engine drains; most of the time long enough after a cut of the watch to be judged strictly."""
        name = self._random.choice(list(self._members))
        draining = self.book.draining()
        if name in draining or len(self._members) - len(draining) <= LEAST_READY:
            return
        last_cut = max((end for _, end in self.book.cuts), default=0.0)
        if time.monotonic() < last_cut + RECONNECT and self._random.random() < STRICT:
            return
        self._coordinator.publish([self._members[name] | {"phase": self._random.choice(("draining", "removed"))}])
        self.book.drains.append(Drain(name, time.monotonic()))

    def _back(self) -> None:
        for name, drain in self.book.draining().items():
            if time.monotonic() > drain.told + AWAY:
                drain.back = time.monotonic()
                self._start_cold(name)

    def _join(self) -> None:
        """An engine that nobody knew."""
        if len(self._members) < MOST_ENGINES:
            engine = self._engine(len(self._members))
            self._engines.append(engine)
            self._members[engine.name] = member(engine.name, engine.address)
            self._start_cold(engine.name)

    def _start_cold(self, name: str) -> None:
        self.book.starts.append((name, time.monotonic()))
        self._coordinator.publish([self._members[name] | {"up_since_ms": round(time.time() * 1e3)}])

    def _cut_list(self) -> None:
        """The watch breaks off; hardly ever as a drain is under way to the gateway."""
        now = time.monotonic()
        fresh = any(now < drain.told + DRAIN for drain in self.book.draining().values())
        if not fresh or self._random.random() > STRICT:
            self.book.cuts.append((now, now))
            self._coordinator.break_off()

    def _outage(self) -> None:
        """Discovery tells nothing for some seconds, on the standing connection and on new ones."""
        if self._coordinator.silent:
            return
        lasts, now = self._random.uniform(*OUTAGE), time.monotonic()
        self.book.cuts.append((now, now + lasts))
        self._coordinator.silent = True
        threading.Timer(lasts, self._outage_over).start()

    def _outage_over(self) -> None:
        self._coordinator.silent = False

    def _quiet(self) -> None:
        """Nobody asks anything for a while, and then all at once."""
        self.quiet_over.clear()
        time.sleep(self._random.uniform(*QUIET))
        self.quiet_over.set()

    # The end

    def _end(self) -> None:
        """SIGTERM, in series at times, and SIGKILL at its earliest."""
        self.stopped = time.monotonic()
        self._signal(signal.SIGTERM)
        for _ in range(self._random.choice((0, 0, 3))):
            time.sleep(self._random.uniform(0, 0.2))
            self._signal(self._random.choice((signal.SIGTERM, signal.SIGHUP)))
        earliest = self.stopped + min(self.deadline, 3.0) + KILL
        with contextlib.suppress(Exception):
            self._program.process.wait(earliest - time.monotonic())
        code = self._program.process.poll()
        if code != 0:
            self.book.find(f"SIGKILL finds it running at its earliest, or it has crashed: exit {code}")
        self.over.set()
        errors = self._program.process.stderr
        self._signal(signal.SIGKILL)
        self._program.process.wait(LIMIT)
        if errors is not None and (said := errors.read()):
            self.book.find(f"standard error: {said[-300:]}")
