"""Small stand-ins of clients, engines and the coordinator, and the gateway's process, for the cases 6 to 10.

Only the standard library is used. The gateway is started with the `run` command of deploy/balancer.toml. Everything
that is sent, answered and run is written to `record.txt` in the folder of the case.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NS = 1_000_000_000
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case
START_LIMIT = 30.0  # s in which a gateway has to be ready (STANDING: takes over 30 s to be ready)
REFUSED = (1040, 1203, 1226)  # MySQL error codes of a refusal


class NotRunError(Exception):
    """The case could not run; the message says why."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock, self._begun = threading.Lock(), time.time()

    def add(self, who: str, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.time() - self._begun:9.3f} {who:12} {text}\n")
            self._file.flush()


def encode(*parts: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def read_array(file: Any) -> list[bytes] | None:
    """Read one RESP array of bulk strings; None at the end of the stream."""
    head = file.readline()
    if not head:
        return None
    parts = []
    for _ in range(int(head[1:])):
        size = int(file.readline()[1:])
        parts.append(file.read(size + 2)[:-2])
    return parts


Handler = Callable[["Engine", socket.socket, list[bytes]], None]


class Engine:
    """An engine: `on_want` is called on a thread of its own for each request that has come whole."""

    def __init__(self, name: str, record: Record, on_want: Handler, site: str = "karoo-main") -> None:
        self.name, self.record, self._on_want, self.site = name, record, on_want, site
        self.wants: list[tuple[float, str, str]] = []  # Unix time, id and fields
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the engine's entry in the coordinator's list."""
        here = SITES[self.site]
        found = {"id": self.name, "host_port": self.address, "locality": here["zone"], "flavor": here["kinds"][0]}
        return found | {"cell": 0, "phase": "up", "size": 1, "up_since_ms": 0} | changes

    def say(self, sock: socket.socket, *parts: bytes) -> None:
        """Send one message on a connection."""
        with contextlib.suppress(OSError):
            sock.sendall(encode(*parts))

    def serve(self, sock: socket.socket, call: bytes) -> None:
        """Answer a request with one page of one row, which names the id and the engine."""
        self.record.add(self.name, f"answers {call.decode()} 200")
        rows = b"%b\t%b\tok\n" % (call, self.name.encode())
        self.say(sock, call, b"200", b"sheets=1,rep=queue:0;inflight:1", rows)

    def reset(self, sock: socket.socket) -> None:
        """Reset a connection."""
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RD)
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._read, args=(sock,), daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            file = sock.makefile("rb")
            while (parts := read_array(file)) is not None:
                if parts[0] == b"want":
                    call, fields = parts[1].decode(), parts[2].decode()
                    self.wants.append((time.time(), call, fields))
                    self.record.add(self.name, f"runs {call} {fields} {parts[3].decode()}")
                    threading.Thread(target=self._on_want, args=(self, sock, parts), daemon=True).start()
                else:
                    self.record.add(self.name, f"gets {b' '.join(parts[:2]).decode()}")


class Coordinator:
    """The coordinator: numbered events, and each second the last number."""

    def __init__(self, record: Record, members: list[dict[str, Any]]) -> None:
        self.record, self._events = record, list[dict[str, Any]]()
        self._changed = threading.Condition()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.publish(members, complete=True)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def known(self) -> dict[str, Any]:
        """The events so far, as the platform writes them into the configuration."""
        with self._changed:
            return {"index": len(self._events), "updates": list(self._events)}

    def publish(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        """Add an event."""
        with self._changed:
            number = len(self._events) + 1
            self._events.append(
                {"index": number, "endpoints": {"revision": number, "complete": complete, "members": members}}
            )
            shown = [(member["id"], member["phase"]) for member in members[:8]]
            self.record.add("coordinator", f"event {number} with {len(members)} members: {shown}")
            self._changed.notify_all()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError, ValueError, IndexError):
            at = int(sock.makefile("rb").readline().split()[1])
            while True:
                with self._changed:
                    if len(self._events) <= at:
                        self._changed.wait(1.0)
                    new = self._events[at:]
                    at += len(new)
                lines = [json.dumps(event) for event in new] or [json.dumps({"index": at})]
                sock.sendall("".join(line + "\n" for line in lines).encode())


class Client:
    """A MySQL client, one request at a time."""

    def __init__(self, address: tuple[str, int], record: Record, name: str = "client") -> None:
        self.record, self.name = record, name
        self.sock = socket.create_connection(address, 5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self.sock.makefile("rb")
        flags = 0x200 | 0x8 | 0x8000 | 0x80000
        login = struct.pack("<IIB23x", flags, 0xFFFFFF, 45) + b"app\0\0reports\0mysql_native_password\0"
        self.sock.sendall(len(login).to_bytes(3, "little") + b"\1" + login)
        greeting = self._packet()
        self.id = struct.unpack_from("<I", greeting, greeting.index(b"\0") + 1)[0]
        if self._packet()[:1] != b"\0":
            raise NotRunError("the gateway turned the login down")

    def _packet(self) -> bytes:
        head = self._file.read(4)
        if len(head) < 4:
            raise ConnectionError("the connection has ended")
        body: bytes = self._file.read(int.from_bytes(head[:3], "little"))
        if len(body) < int.from_bytes(head[:3], "little"):
            raise ConnectionError("the connection has ended")
        return body

    @staticmethod
    def text(op: str, call: str, ttl_ms: int, **fields: str) -> bytes:
        """Return a request's statement with its fields."""
        found = {"op": op, "call": call, "ttl": str(ttl_ms), **fields}
        head = ",".join(f"{key}={value}" for key, value in found.items())
        return f"/* {head} */ SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day".encode()

    def send(self, text: bytes) -> None:
        """Send COM_QUERY."""
        self.record.add(self.name, f"sends {text.decode()}")
        self.sock.sendall((len(text) + 1).to_bytes(3, "little") + b"\0\3" + text)

    def answer(self, limit: float) -> tuple[str, str]:
        """Return served, refused, failed or lost, and the rows or the text of the error."""
        self.sock.settimeout(limit)
        try:
            found = self._answer()
        except TimeoutError:
            found = "lost", f"no answer within {limit:g} s"
        except (ConnectionError, OSError) as error:
            found = "lost", f"the connection ended without an answer: {error}"
        self.record.add(self.name, f"gets {found[0]}: {found[1]}")
        return found

    def ask(self, text: bytes, limit: float) -> tuple[str, str]:
        """Send a request and return its answer."""
        self.send(text)
        return self.answer(limit)

    def _answer(self) -> tuple[str, str]:
        first = self._packet()
        if first[:1] == b"\xff":
            code = struct.unpack_from("<H", first, 1)[0]
            return "refused" if code in REFUSED else "failed", f"{code} {first[9:].decode('utf-8', 'replace')}"
        while not self._is_eof(self._packet()):
            pass
        rows = []
        while not self._is_eof(payload := self._packet()):
            if payload[:1] == b"\xff":
                return "failed", payload[9:].decode("utf-8", "replace")
            rows.append(payload.decode("utf-8", "replace"))
        return "served", repr(rows)

    @staticmethod
    def _is_eof(payload: bytes) -> bool:
        return payload[:1] == b"\xfe" and len(payload) < 9

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self._file.close()
        self.sock.close()


class Gateway:
    """One gateway's process, started with the command of the deploy file; its files outlive a restart."""

    def __init__(self, name: str, folder: Path, record: Record, config: dict[str, Any], conf: str = "") -> None:
        self.name, self.record, self.folder = name, record, folder / name
        self.folder.mkdir()
        self.path, self.conf, self.log = self.folder / "config.json", self.folder / "tealwing.conf", self.folder / "log"
        self.config = config
        self.write_config()
        self.has_conf = bool(conf)
        if conf:
            self.conf.write_text(conf)
        self.process: subprocess.Popen[bytes] | None = None
        self.extra: dict[str, str] = {}
        self.descriptors: tuple[int, ...] = ()  # that the process inherits
        self._seen = 0

    def write_config(self) -> None:
        """Write the configuration file whole, as the platform does."""
        part = self.path.with_suffix(".part")
        part.write_text(json.dumps(self.config))
        part.replace(self.path)

    def start(self) -> None:
        """Start the process and wait until it serves."""
        self.launch()
        self.wait_for("started", START_LIMIT)

    def launch(self) -> None:
        """Start the process."""
        environment = {"LB_CONFIG": str(self.path), "LB_NAME": self.name, "TMPDIR": str(self.folder)} | self.extra
        if self.has_conf:
            environment["TEALWING_CONF"] = str(self.conf)
        self._seen = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", RUN], cwd=ROOT, env={"PATH": os.environ.get("PATH", "/bin:/usr/bin")} | environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, pass_fds=self.descriptors,
            )  # fmt: skip
        RUNNING.append(self)
        self.record.add(self.name, f"started, process {self.process.pid}")

    def events(self) -> list[dict[str, Any]]:
        """Return the log's events since the last start."""
        found = []
        for line in self.log.read_bytes()[self._seen :].splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                event = json.loads(line)
                if isinstance(event, dict):
                    found.append(event)
        return found

    def wait_for(self, name: str, limit: float, **fields: Any) -> dict[str, Any]:
        """Wait for an event of the log with these fields. Raises NotRunError."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            for event in self.events():
                if event.get("event") == name and all(event.get(key) == value for key, value in fields.items()):
                    return event
            if not self.running:
                break
            time.sleep(0.02)
        raise NotRunError(f"{self.name} logged no {name} in time: {self.log.read_text(errors='replace')[-1500:]}")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def address(self) -> tuple[str, int]:
        """The address for clients."""
        host, port = self.wait_for("started", START_LIMIT)["listen"]
        return host, port

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.running:
            self.record.add(self.name, f"gets {number.name}")
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.running:
            self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10.0)


RUNNING: list[Gateway] = []


SITES: dict[str, dict[str, Any]] = {
    "karoo-main": {"zone": "bloemfontein", "kinds": ["eight-core", "sixteen-core"], "cores": [8, 16]},
    "samen-delen-dc": {"zone": "hall-a", "kinds": ["std-8a", "std-8b"], "cores": [8, 8]},
}
ACCOUNTS = [
    {"Name": "graan-koop", "QuotaRps": 58.0, "Share": 0.81},
    {"Name": "veldsure", "QuotaRps": 14.0, "Share": 0.19},
]


def settings(classes: list[dict[str, Any]], gateways: int = 1, site: str = "karoo-main") -> dict[str, Any]:
    """Return the settings of a small deployment of a site, with these classes."""
    here, peers = SITES[site], site != "karoo-main"  # karoo-main forbids talk between gateways, and has accounts
    return {
        "Accounts": [] if peers else ACCOUNTS,
        "Allowed": {"Cancelling": True, "ConnIdleNs": (15 if peers else 30) * NS, "ConnectTimeoutNs": NS // 4,
                    "MaxAttempts": 4 if peers else 3, "MaxOpen": 26666, "MaxRetryAfterNs": NS // 2,
                    "MayDuplicate": False, "Multiplex": 32 if peers else 100, "Peers": peers, "Probing": False,
                    "RetryAfter": True},
        "Clients": {"MarksRetry": False},
        "Contract": {"AnswerSlackNs": 20_000_000, "AskWithinNs": 10 * NS, "ColdNs": 13 * NS, "ColdShare": 0.32,
                     "DrainGraceNs": NS // 2 if peers else NS, "FallMultiple": 2.0, "TipAfterNs": 3 * NS},
        "Discovery": "push",
        "FamilyInfo": {"CoresByKind": here["cores"], "RamOfKindMb": [16384.0, 32768.0], "MostGrant": 0.4,
                       "WidthByClass": [1 for _ in classes], "HoldsTables": [False for _ in classes],
                       "ClassWaits": [False for _ in classes], "RanksHeeded": not peers, "TellsEveryNs": NS,
                       "Overbooked": "wait" if peers else "page"},
        "Grades": classes, "Kinds": here["kinds"], "Me": 0, "Prices": {"LateFail": 0.08},
        "Report": {"Columns": ["queue", "inflight"], "Via": "piggyback"}, "Siblings": gateways,
        "Stages": ["engines"], "TickNs": 5_000_000, "Tier": 0, "Weights": "silent", "Workload": "queries",
        "WorthBy": "request", "Zone": 0, "Zones": [here["zone"]],
    }  # fmt: skip


def grade(name: str, effect: str, deadline_s: float, **more: Any) -> dict[str, Any]:
    """Return one class of the settings."""
    found = {
        "Name": name,
        "Effect": effect,
        "DeadlineNs": round(deadline_s * NS),
        "TargetNs": round(deadline_s * NS / 5),
    }
    return found | {"Credit": 1.0, "AimStretch": 1.5, "Group": "all", "WindowNs": 25 * NS} | more


def config(coordinator: Coordinator, found: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration of a gateway."""
    return {
        "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "coordinator": coordinator.address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": coordinator.known, "settings": found,
    }  # fmt: skip


def play(case: Callable[[Record, Path], bool]) -> None:
    """Play a case, which returns whether the rule held; exit with its code once all processes have ended."""
    record = Record(Path(sys.argv[0]).resolve().parent)
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="tealwing-review-") as folder:
            try:
                code = HELD if case(record, Path(folder)) else BROKEN
            finally:
                for gateway in RUNNING:
                    gateway.kill()
    except Exception as error:  # a fault of the stand-ins is no verdict
        record.add("case", f"could not run: {error!r}")
        code = NOT_RUN
    word = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
    record.add("case", f"{word} (trouble: {'on' if TROUBLE else 'off'})")
    print(f"{Path(sys.argv[0]).resolve().parent.name}: {word}")
    sys.stdout.flush()
    os._exit(code)
