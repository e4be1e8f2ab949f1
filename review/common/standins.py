"""Stand-ins for the cases of this review: coordinator, engine, client and platform, on loopback and the real clock.

Only the standard library is used. The forms of the messages are those of the operators' protocol page.
"""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SECOND_NS = 1_000_000_000
REFUSED = (1040, 1203, 1226)  # MySQL error codes of a refusal
NOTE_INTERVAL = 1.0  # s between two notes of an engine on an attempt: FamilyInfo.TellsEveryNs
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def settings(gateways: int = 1, peers: bool = False) -> dict[str, Any]:
    """Return the settings of a small deployment, with the classes and the figures of the operators' pages."""

    def grade(name: str, target: float, deadline: float, credit: float, effect: str, window: float) -> dict[str, Any]:
        return {
            "AimStretch": 1.5, "Credit": credit, "DeadlineNs": int(deadline * SECOND_NS), "Effect": effect,
            "Group": "all", "LateShare": 0.0, "Name": name, "Streamed": False, "TargetNs": int(target * SECOND_NS),
            "WindowNs": int(window * SECOND_NS),
        }  # fmt: skip

    return {
        "Accounts": [
            {"Name": "graan-koop", "QuotaRps": 58.0, "Share": 0.81},
            {"Name": "veldsure", "QuotaRps": 14.0, "Share": 0.19},
        ],
        "Allowed": {
            "Cancelling": True, "ConnIdleNs": 30 * SECOND_NS, "ConnectTimeoutNs": 250_000_000, "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 133333, "MaxAttempts": 3, "MaxOpen": 26666, "MaxRetryAfterNs": 500_000_000,
            "MayDuplicate": False, "Multiplex": 100, "Peers": peers, "Probing": False, "RetryAfter": True,
        },
        "Clients": {"MarksRetry": False},
        "Contract": {
            "AnswerSlackNs": 20_000_000, "AskWithinNs": 10 * SECOND_NS, "ColdNs": 13 * SECOND_NS, "ColdShare": 0.32,
            "DrainGraceNs": SECOND_NS, "FallMultiple": 2.0, "TipAfterNs": 3 * SECOND_NS,
        },
        "Discovery": "push",
        "FamilyInfo": {
            "ClassWaits": [True, False, False], "CoresByKind": [8, 16], "HoldsTables": [False, False, True],
            "MostGrant": 0.4, "Notes": "", "Overbooked": "page", "RamOfKindMb": [16384.0, 32768.0],
            "RanksHeeded": True, "TakesGrants": False, "TellsCost": False, "TellsEveryNs": SECOND_NS,
            "WidthByClass": [1, 3, 2],
        },
        "Grades": [
            grade("lookup", 0.6, 3, 1.0, "repeatable", 5),
            grade("report", 3, 20, 7.5, "repeatable", 5),
            grade("load", 3, 25, 10.0, "by_key", 25),
        ],
        "Kinds": ["eight-core", "sixteen-core"], "Me": 0, "OverShareWorth": 0.05,
        "Prices": {"CrossZone": 0.0, "LateFail": 0.08, "Waste": 0.03},
        "Report": {"Columns": ["queue", "inflight"], "Via": "piggyback"},
        "ResultMix": {"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.3},
        "Siblings": gateways, "Stages": ["records-engines"], "TickNs": 5_000_000, "Tier": 0, "Weights": "silent",
        "Workload": "queries", "WorthBy": "request", "Zone": 0, "Zones": ["bloemfontein"],
    }  # fmt: skip


class Record:
    """What was sent, answered and run: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text: str) -> float:
        """Write one line and return the time (monotonic)."""
        now = time.monotonic()
        with self._lock:
            self._file.write(f"{now - self.start:8.3f} {text}\n")
            self._file.flush()
        return now


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


class Coordinator:
    """The numbered events of the engine list; each follower gets those that it lacks, and a heartbeat each second."""

    def __init__(self, record: Record, members: list[dict[str, Any]]) -> None:
        self.record, self.port = record, free_port()
        self.first_answer_delay = 0.0  # s from `follow N` to the first line of a connection
        self._changed = threading.Condition()
        self._events: list[dict[str, Any]] = []
        self._listener: socket.socket | None = None
        self._followers: set[socket.socket] = set()
        self.publish(members, complete=True)
        self.start()

    @property
    def known(self) -> dict[str, Any]:
        """The events so far, in the form of the configuration's key `known`."""
        with self._changed:
            return {"index": len(self._events), "updates": list(self._events)}

    def publish(self, members: list[dict[str, Any]], complete: bool = False) -> float:
        """Add one event and return its time (monotonic)."""
        with self._changed:
            number = len(self._events) + 1
            endpoints = {"revision": number, "complete": complete, "members": members}
            self._events.append({"index": number, "endpoints": endpoints})
            self._changed.notify_all()
            states = {member["id"]: member["phase"] for member in members}
            return self.record(f"coordinator: event {number} complete={complete} {states}")

    def start(self) -> None:
        """Listen, also again after `stop`, at the same address."""
        self._listener = socket.create_server((HOST, self.port), backlog=128)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def stop(self) -> None:
        """Close the listener and all connections: connects are refused until `start`."""
        with contextlib.suppress(OSError):
            assert self._listener is not None
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
        self.break_off()

    def break_off(self) -> None:
        """Close all open connections."""
        with self._changed:
            followers, self._followers = self._followers, set()
            self._changed.notify_all()
        for sock in followers:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError, ValueError, IndexError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            at = int(sock.makefile("rb").readline().split()[1])
            delay = self.first_answer_delay
            self.record(f"coordinator: `follow {at}` came; the first line follows in {delay:g} s")
            with self._changed:
                self._followers.add(sock)
            time.sleep(delay)
            while True:
                with self._changed:
                    if sock not in self._followers:
                        return
                    new, last = self._events[at:], len(self._events)
                lines = [json.dumps(event) for event in new] or [str(last)]
                sock.sendall("".join(line + "\n" for line in lines).encode())
                at = last
                with self._changed:
                    self._changed.wait_for(lambda: len(self._events) > at or sock not in self._followers, 1.0)  # noqa: B023


def encode(*parts: bytes) -> bytes:
    """Return one RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


@dataclass(eq=False)
class Query:
    """One request at an engine."""

    engine: Engine
    sock: socket.socket
    call: bytes
    fields: dict[str, str]
    body: bytes
    at: float  # monotonic: when it had come whole
    over: threading.Event = field(default_factory=threading.Event)


class Engine:
    """One engine: it runs each request for the time that `work` says, unless it hangs."""

    def __init__(self, record: Record, name: str, work: Callable[[Query], float | None]) -> None:
        """Listen; `work` returns the seconds that a request takes, or None if it is never answered."""
        self.record, self.name, self.work = record, name, work
        self.queries: list[Query] = []
        self._lock = threading.Lock()
        self._socks: set[socket.socket] = set()
        self._listener = socket.create_server((HOST, 0), backlog=128)
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def member(self, phase: str, up_since_ms: int = 0) -> dict[str, Any]:
        """Return the engine's entry in the coordinator's list."""
        return {
            "id": self.name, "host_port": f"{HOST}:{self.port}", "locality": "bloemfontein", "flavor": "eight-core",
            "cell": 0, "phase": phase, "size": 1, "up_since_ms": up_since_ms,
        }  # fmt: skip

    def reset(self) -> None:
        """Reset all open connections, as a dying process does; the listener stays."""
        with self._lock:
            socks, self._socks = self._socks, set()
        self.record(f"{self.name}: resets {len(socks)} connections")
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._socks.add(sock)
            threading.Thread(target=self._read, args=(sock,), daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        out: dict[bytes, Query] = {}
        with sock, contextlib.suppress(OSError, ValueError):
            stream = sock.makefile("rb")
            while head := stream.readline():
                parts = []
                for _ in range(int(head[1:])):
                    size = int(stream.readline()[1:])
                    parts.append(stream.read(size + 2)[:size])
                self._message(sock, out, parts)
        for query in out.values():  # closing a connection gives up all that is open on it
            self._give_up(query, "connection closed")

    def _message(self, sock: socket.socket, out: dict[bytes, Query], parts: list[bytes]) -> None:
        word, call = parts[0], parts[1]
        if word == b"want":
            text = parts[2].decode()
            fields = dict(part.split("=", 1) for part in text.split(",")) if text != "-" else {}
            at = self.record(f"{self.name}: want {call.decode()} {text} {parts[3].decode()[:60]!r}")
            query = out[call] = Query(self, sock, call, fields, parts[3], at)
            self.queries.append(query)
            threading.Thread(target=self._run, args=(query,), daemon=True).start()
        elif word in (b"never_mind", b"shut") and call in out:
            self._give_up(out.pop(call), word.decode())

    def _give_up(self, query: Query, why: str) -> None:
        if not query.over.is_set():
            query.over.set()
            self.record(f"{self.name}: gives up {query.call.decode()}: {why}")

    def _run(self, query: Query) -> None:
        seconds = self.work(query)
        if seconds is None:  # it hangs
            query.over.wait()
            return
        while (left := query.at + seconds - time.monotonic()) > NOTE_INTERVAL:  # notes tell how far it is
            if query.over.wait(NOTE_INTERVAL):
                return
            done = min(1.0, (time.monotonic() - query.at) / seconds)
            with contextlib.suppress(OSError):
                query.sock.sendall(encode(query.call, b"status", b"why=frac,val=%.3f" % done, b""))
        if query.over.wait(max(0.0, left)):
            return
        query.over.set()
        row = b"%b\t%b\tdone\n" % (query.call, self.name.encode())
        self.record(f"{self.name}: answers {query.call.decode()}")
        with contextlib.suppress(OSError):
            query.sock.sendall(encode(query.call, b"200", b"sheets=1,rep=queue:0;inflight:1", row))


@dataclass(frozen=True)
class Answer:
    """How a query ended for its client: served, refused, failed or lost (no whole answer)."""

    outcome: str
    text: str
    at: float  # monotonic

    def __str__(self) -> str:
        return f"{self.outcome} {self.text}"


class Client:
    """One session of the MySQL client protocol."""

    def __init__(self, port: int, timeout: float = 5.0) -> None:
        self.sock = socket.create_connection((HOST, port), timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream = self.sock.makefile("rb")
        greeting = self._packet()
        self.number = int.from_bytes(greeting[greeting.index(b"\0") + 1 :][:4], "little")
        flags = 0x200 | 0x8 | 0x80000 | 0x8000
        login = flags.to_bytes(4, "little") + (0xFFFFFF).to_bytes(4, "little") + b"\x2d" + bytes(23)
        self._write(1, login + b"app\0\0reports\0mysql_native_password\0")
        if self._packet()[:1] != b"\0":
            raise ConnectionError("the login was not accepted")

    def ping(self) -> None:
        """Send COM_PING; raise OSError unless it is answered with OK."""
        self._write(0, b"\x0e")
        if self._packet()[:1] != b"\0":
            raise ConnectionError("the ping was not answered with OK")

    def send(self, text: str) -> None:
        """Send COM_QUERY."""
        self._write(0, b"\x03" + text.encode())

    def send_together(self, texts: list[str]) -> None:
        """Send several COM_QUERY in one write."""
        packets = [b"\x03" + text.encode() for text in texts]
        self.sock.sendall(b"".join(len(packet).to_bytes(3, "little") + b"\0" + packet for packet in packets))

    def receive(self, timeout: float) -> Answer:
        """Return the answer to the query that was sent."""
        self.sock.settimeout(timeout)
        try:
            first = self._packet()
            if first[:1] == b"\xff":
                code, text = int.from_bytes(first[1:3], "little"), first[9:].decode("utf-8", "replace")
                return Answer("refused" if code in REFUSED else "failed", f"{code} {text}", time.monotonic())
            if first[:1] == b"\0":
                return Answer("served", "OK", time.monotonic())
            while not self._is_eof(self._packet()):
                pass
            rows = 0
            while not self._is_eof(self._packet()):
                rows += 1
            return Answer("served", f"{rows} rows", time.monotonic())
        except TimeoutError:
            return Answer("lost", f"no answer within {timeout:g} s", time.monotonic())
        except (OSError, ValueError) as error:
            return Answer("lost", f"the connection ended: {error}", time.monotonic())

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self.sock.close()

    @staticmethod
    def _is_eof(payload: bytes) -> bool:
        return payload[:1] == b"\xfe" and len(payload) < 9

    def _write(self, sequence: int, payload: bytes) -> None:
        self.sock.sendall(len(payload).to_bytes(3, "little") + bytes([sequence]) + payload)

    def _packet(self) -> bytes:
        head = self._stream.read(4)
        if head is None or len(head) < 4:
            raise ConnectionError("the gateway closed the connection")
        size = int.from_bytes(head[:3], "little")
        payload = self._stream.read(size)
        if len(payload) < size:
            raise ConnectionError("the gateway closed the connection within an answer")
        return payload


def call_id() -> str:
    """Return a new `call`."""
    return secrets.token_hex(8)


def statement(op: str, call: str, ttl: float, key: str = "") -> str:
    """Return a statement with its fields."""
    fields = f"op={op},call={call},ttl={round(ttl * 1e3)},org=graan-koop,work=150.0,heap_mb=64"
    if key:
        fields += f",dedupe={key}"
    return f"/* {fields} */ SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '{call}' GROUP BY day"


def ask(record: Record, port: int, who: str, op: str, ttl: float) -> Answer:
    """Send one request on a new connection, and return its answer; what ends the connection is `lost`."""
    call = call_id()
    try:
        client = Client(port)
        record(f"{who}: sends {op} {call}")
        client.send(statement(op, call, ttl, call if op == "load" else ""))
        answer = client.receive(ttl + 1)
        client.close()
    except OSError as error:
        answer = Answer("unreached", str(error), time.monotonic())
    record(f"{who}: {op} {call}: {answer}")
    return answer


class Platform:
    """Starts gateways with the command of the deploy file, and ends all that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.run: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.folder = Path(tempfile.mkdtemp(prefix="tealwing-review-"))
        self._started: list[subprocess.Popen[bytes]] = []

    def configuration(self, name: str, port: int, coordinator: Coordinator, facts: dict[str, Any]) -> Path:
        """Write a gateway's configuration and return its path."""
        path = self.folder / f"{name}.json"
        data = {
            "name": name, "listen": f"{HOST}:{port}", "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "coordinator": f"{HOST}:{coordinator.port}",
            "known": coordinator.known, "settings": facts,
        }  # fmt: skip
        path.write_text(json.dumps(data), encoding="utf-8")
        return path

    def start(
        self, name: str, config: Path, descriptors: tuple[int, ...] = (), share_temporary: bool = False, **more: str
    ) -> subprocess.Popen[bytes]:
        """Start one gateway; its log goes to a file of its own.

        `$TMPDIR` is empty at each start, or shared by all processes of that name (as at an upgrade). `more` are further
        environment variables.
        """
        temporary = self.folder / (f"{name}-shared" if share_temporary else f"{name}-{len(self._started)}")
        temporary.mkdir(exist_ok=share_temporary)
        variables = {"LB_NAME": name, "LB_CONFIG": str(config), "TMPDIR": str(temporary)} | more
        inherited = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "TEALWING"))}
        log = (self.folder / f"{name}-{len(self._started)}.log").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", self.run], cwd=ROOT, env=inherited | variables, stdout=log, stderr=subprocess.STDOUT,
            pass_fds=descriptors,
        )  # fmt: skip
        log.close()
        self._started.append(process)
        self.record(f"platform: starts {name} as process {process.pid}")
        return process

    def log(self, process: subprocess.Popen[bytes]) -> list[dict[str, Any]]:
        """Return the log lines of a gateway so far."""
        number = self._started.index(process)
        (path,) = self.folder.glob(f"*-{number}.log")
        found = []
        for line in path.read_text("utf-8", "replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def wait_ready(self, port: int, limit: float = 30.0) -> None:
        """Wait until the gateway at this port answers COM_PING."""
        until = time.monotonic() + limit
        while True:
            try:
                client = Client(port, 1.0)
                client.ping()
                client.close()
                return
            except OSError:
                if time.monotonic() > until:
                    raise
                time.sleep(0.05)

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a gateway."""
        self.record(f"platform: {number.name} to process {process.pid}")
        process.send_signal(number)

    def end(self) -> None:
        """End all processes that were started, by their ids, and remove the temporary folder."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder: Path, case: Callable[[Record, Platform], str]) -> None:
    """Run one case; it returns what broke the rule, or nothing. Exit codes: 1 broken, 0 held, 2 could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that all processes are ended
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    platform = Platform(record)
    code = 2
    try:
        broken = case(record, platform)
        code = 1 if broken else 0
        record(f"result: {'BROKEN: ' + broken if broken else 'the rule held'}")
        print(f"{'BROKEN: ' + broken if broken else 'the rule held'}")
    except Exception as error:
        record(f"result: the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        platform.end()
    sys.stdout.flush()
    os._exit(code)  # threads of the stand-ins may still wait
