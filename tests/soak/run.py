"""One soak run: starts the program, its clients and engines, injects faults and checks the history."""

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
from tests.crowd import connect, peak_memory_mb, statement
from tests.peers import LIMIT, Program, member
from tests.soak.book import Drain, History
from tests.soak.clients import LoadClient
from tests.soak.engines import Engine
from tests.soak.judge import RECONNECT, check_history
from tests.soak.terms import DRAIN_GRACE, KILL_GRACE, MAX_PAUSE, settings

ENGINES, MAX_ENGINES = 3, 6  # at the start of the run, and with those that join
MIN_READY = 2  # engines that do not drain at the same time, so that requests are served
MIN_DRAIN = 2.0  # s from the announcement of a drain to the engine's earliest return
STRICT_SHARE = 0.8  # probability that a drain and a watch outage are kept apart
QUIET_PERIOD = (0.5, 2.0)  # s without a request, as a range
LIMITS = {"sockets": 256, "memory_mb": 32}
CROWD_SHARE = 0.4  # probability that a run has a crowd
CROWD = 60  # clients that write large statements slowly, or stop within them
CROWD_STATEMENT = 100_000  # bytes
CROWD_PIECE, CROWD_INTERVAL = 4000, 0.1  # bytes of each write, and s between two
WATCH_OUTAGE = (1.0, 4.0)  # s in which the coordinator sends nothing, as a range


class Soak:
    """One soak run."""

    def __init__(self, seed: int, folder: Path, log: Path | None = None) -> None:
        """Prepare a run; if log is given, the program's log is written to that file."""
        self._log = log
        self.seed, self.history = seed, History()
        self.finished, self.may_send = threading.Event(), threading.Event()
        self.may_send.set()
        self.sigterm_at: float | None = None
        self._random = random.Random(seed)
        self._crowd_random = random.Random(f"crowd {seed}")  # its own, so that a crowd does not change the other faults
        self.deadline = self._random.choice((0.2, 0.4, 1.0, 2.0, 4.0))
        self._failure_share = self._random.choice((0.05, 0.2, 0.5))
        self._engines = [self._engine(number) for number in range(ENGINES)]
        self._members = {engine.name: member(engine.name, engine.address) for engine in self._engines}
        self._coordinator = Coordinator(list(self._members.values()))
        self._program = Program(
            folder, "127.0.0.1:1", self._coordinator.address, known=self._coordinator.known,
            settings=settings(self.deadline, 0), limits=LIMITS,
        )  # fmt: skip

    def _engine(self, number: int) -> Engine:
        return Engine(f"s-{number}", self.history, self.seed * 100 + number, self._failure_share)

    def describe_time(self) -> str:
        """Describe the current time relative to SIGTERM, for a finding."""
        if self.sigterm_at is None:
            return "before SIGTERM"
        return f"{time.monotonic() - self.sigterm_at:.3f} s after SIGTERM"

    def run(self, seconds: float) -> History:
        """Inject faults for the given seconds, stop the program, and return the checked history."""
        address = self._program.address()
        lines = threading.Thread(target=self._read_log, daemon=True)
        lines.start()
        clients = [LoadClient(address, number, self) for number in range(self._random.choice((4, 12, 30)))]
        idle_clients = self._connect_idle_clients(address) if self._random.random() < 0.3 else []
        if self._crowd_random.random() < CROWD_SHARE:
            threading.Thread(target=self._run_crowd, args=(address,), daemon=True).start()
        until = time.monotonic() + seconds
        faults = {
            self._reload: 2.0, self._reload_bad: 2.0, self._pause_program: 2.0, self._drain: 3.0,
            self._return_engines: 2.0, self._add_engine: 0.7, self._pause_clients: 0.5, self._break_watch: 0.4,
            self._silence_coordinator: 0.15,
        }  # fmt: skip
        while time.monotonic() < until:
            time.sleep(self._random.expovariate(8))
            self._random.choices(list(faults), list(faults.values()))[0]()
        self._stop_program()
        for client in clients:
            client.thread.join(LIMIT)
            if client.thread.is_alive():
                self.history.add_finding(f"a client thread still runs {LIMIT:g} s after SIGKILL")
        for sock in idle_clients:
            sock.close()
        for engine in self._engines:
            engine.listener.close()
        self._coordinator.stop()
        check_history(self.history)
        return self.history

    def _read_log(self) -> None:
        assert self._program.process.stdout is not None
        with contextlib.ExitStack() as open_files:
            log_file = open_files.enter_context(self._log.open("w")) if self._log is not None else None
            for line in self._program.process.stdout:
                if log_file is not None:
                    log_file.write(line)
                self._check_log_line(line)

    def _check_log_line(self, line: str) -> None:
        if '"must_hold_broken"' in line or '"request_fault"' in line:
            self.history.add_finding(line.strip()[:300])

    def _connect_idle_clients(self, address: tuple[str, int]) -> list[socket.socket]:
        """Open more idle connections than the gateway accepts."""
        found = []
        for _ in range(120):
            with contextlib.suppress(OSError):
                found.append(socket.create_connection(address, 1.0))
        return found

    def _run_crowd(self, address: tuple[str, int]) -> None:
        """Have clients write large statements slowly until the end; those that the gateway closes come again."""
        crowd: dict[int, tuple[socket.socket, bytes]] = {}
        while not self.finished.is_set():
            for number in range(CROWD):
                try:
                    if number not in crowd:
                        whole = statement(number, CROWD_STATEMENT, op="lookup")
                        end = len(whole) - self._crowd_random.choice((1, CROWD_STATEMENT // 2))  # never whole
                        crowd[number] = connect(address), whole[:end]
                    sock, left = crowd[number]
                    crowd[number] = sock, left[sock.send(left[:CROWD_PIECE], socket.MSG_DONTWAIT) if left else 0 :]
                    if not sock.recv(4096, socket.MSG_DONTWAIT):
                        raise ConnectionError("the gateway has closed the connection")
                except BlockingIOError:
                    continue
                except OSError:
                    if number in crowd:
                        crowd.pop(number)[0].close()
            self.finished.wait(CROWD_INTERVAL)
        for sock, _ in crowd.values():
            sock.close()

    # Faults

    def _signal(self, number: int) -> None:
        self._program.process.send_signal(number)

    def _reload(self) -> None:
        for _ in range(self._random.randint(1, 4)):
            change = self._random.randint(1, 1000)
            self._program.reload(json.dumps(self._program.config | {"settings": settings(self.deadline, change)}))

    def _reload_bad(self) -> None:
        self._program.reload(json.dumps(self._program.config)[: self._random.randint(0, 400)])

    def _pause_program(self) -> None:
        self._signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(0.0, MAX_PAUSE))
        self._signal(signal.SIGCONT)

    def _drain(self) -> None:
        """Drain one engine; mostly long enough after a watch outage for a check from the announcement on."""
        name = self._random.choice(list(self._members))
        draining = self.history.draining()
        if name in draining or len(self._members) - len(draining) <= MIN_READY:
            return
        last_outage = max((end for _, end in self.history.watch_outages), default=0.0)
        if time.monotonic() < last_outage + RECONNECT and self._random.random() < STRICT_SHARE:
            return
        self._coordinator.publish([self._members[name] | {"phase": self._random.choice(("draining", "removed"))}])
        self.history.drains.append(Drain(name, time.monotonic()))

    def _return_engines(self) -> None:
        for name, drain in self.history.draining().items():
            if time.monotonic() > drain.announced_at + MIN_DRAIN:
                drain.returned_at = time.monotonic()
                self._start_cold(name)

    def _add_engine(self) -> None:
        """Add an engine that was not in the list before."""
        if len(self._members) < MAX_ENGINES:
            engine = self._engine(len(self._members))
            self._engines.append(engine)
            self._members[engine.name] = member(engine.name, engine.address)
            self._start_cold(engine.name)

    def _start_cold(self, name: str) -> None:
        self.history.starts.append((name, time.monotonic()))
        self._coordinator.publish([self._members[name] | {"up_since_ms": round(time.time() * 1e3)}])

    def _break_watch(self) -> None:
        """Break the watch connection; rarely while the gateway has yet to receive a drain."""
        now = time.monotonic()
        is_drain_pending = any(now < drain.announced_at + DRAIN_GRACE for drain in self.history.draining().values())
        if not is_drain_pending or self._random.random() > STRICT_SHARE:
            self.history.watch_outages.append((now, now))
            self._coordinator.break_off()

    def _silence_coordinator(self) -> None:
        """Have the coordinator send nothing for some seconds, on its open connection and on new ones."""
        if self._coordinator.silent:
            return
        duration, now = self._random.uniform(*WATCH_OUTAGE), time.monotonic()
        self.history.watch_outages.append((now, now + duration))
        self._coordinator.silent = True
        threading.Timer(duration, self._end_silence).start()

    def _end_silence(self) -> None:
        self._coordinator.silent = False

    def _pause_clients(self) -> None:
        """Stop all clients from sending for a while, then let all resume at the same time."""
        self.may_send.clear()
        time.sleep(self._random.uniform(*QUIET_PERIOD))
        self.may_send.set()

    # Shutdown

    def _stop_program(self) -> None:
        """Send SIGTERM, in some runs more signals, and SIGKILL at the earliest allowed time."""
        if (peak := peak_memory_mb(self._program)) > LIMITS["memory_mb"]:
            self.history.add_finding(f"{peak:.1f} MB of resident memory, with a limit of {LIMITS['memory_mb']}")
        self.sigterm_at = time.monotonic()
        self._signal(signal.SIGTERM)
        for _ in range(self._random.choice((0, 0, 3))):
            time.sleep(self._random.uniform(0, 0.2))
            self._signal(self._random.choice((signal.SIGTERM, signal.SIGHUP)))
        earliest = self.sigterm_at + min(self.deadline, 3.0) + KILL_GRACE
        with contextlib.suppress(Exception):
            self._program.process.wait(earliest - time.monotonic())
        code = self._program.process.poll()
        if code != 0:
            self.history.add_finding(f"exit code {code} at the earliest SIGKILL, expected 0 (None: still running)")
        self.finished.set()
        errors = self._program.process.stderr
        self._signal(signal.SIGKILL)
        self._program.process.wait(LIMIT)
        if errors is not None and (text := errors.read()):
            self.history.add_finding(f"standard error: {text[-300:]}")
