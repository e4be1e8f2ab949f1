"""Test doubles for the gateway's counterparts over sockets (client, engine, coordinator), and its process."""

from __future__ import annotations

import json
import queue
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from pathlib import Path
from typing import Any

from tealwing.mysql import packets
from tealwing.resp import messages
from tests.test_wire import WIRE_SETTINGS

LIMIT = 30.0  # s after which a wait fails; no test here waits for a fixed time
ROOT = Path(__file__).parent.parent
DEPLOYED = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
# the deployed command, but with this interpreter, with asserts enabled and without TEALWING_CONF
RUN = DEPLOYED.replace(".venv/bin/python -O", sys.executable).replace("TEALWING_CONF=deploy/tealwing.conf ", "")
GRADE = {"Credit": 1, "DeadlineNs": 20_000_000_000, "Effect": "repeatable", "TargetNs": 1_000_000_000}
SETTINGS = WIRE_SETTINGS | {
    "Accounts": [{"Name": "acme", "QuotaRps": 5.0, "Share": 1.0}],
    "Clients": {"MarksRetry": False},
    "Grades": [
        GRADE | {"Name": "lookup"},
        GRADE | {"Name": "load", "Effect": "by_key", "Group": "all", "WindowNs": 20_000_000_000},
    ],
    "FamilyInfo": {"CoresByKind": [8], "RamOfKindMb": [1024.0], "WidthByClass": [1, 2]},
    "Report": {"Columns": ["queue", "inflight"], "Via": "piggyback"},
    "Siblings": 1,
}


class Peer:
    """A listener that puts the messages of all its connections into one queue, each with its socket."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.got: queue.Queue[tuple[socket.socket, list[bytes]]] = queue.Queue()
        threading.Thread(target=self._accept, daemon=True).start()

    def next(self, word: bytes) -> tuple[socket.socket, list[bytes]]:
        sock, parts = self.got.get(timeout=LIMIT)
        assert parts[0] == word
        return sock, parts

    def parser(self) -> Any:
        return messages.Parser()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._read, args=(sock,), daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        parser = self.parser()
        try:
            while data := sock.recv(4096):
                for parts in parser.feed(data):
                    self.got.put((sock, parts))
        except OSError:
            pass


class Coordinator(Peer):
    """A coordinator, which receives each line as a list of its words."""

    def parser(self) -> Any:
        class Words:
            def feed(self, data: bytes) -> list[list[bytes]]:
                return [line.split() for line in data.splitlines()]

        return Words()


def say(sock: socket.socket, *parts: bytes) -> None:
    """Send one RESP message with these parts."""
    sock.sendall(messages.encode(*parts))


def answer_next(engine: Peer, page: bytes) -> None:
    """Answer the engine's next attempt with one page."""
    sock, parts = engine.next(b"want")
    say(sock, parts[1], b"200", b"sheets=1", page)


def member(name: str, address: str, **changes: Any) -> dict[str, Any]:
    """Return an engine's entry in the coordinator's engine list."""
    defaults = {"id": name, "host_port": address, "locality": "z", "flavor": "k", "cell": 0, "phase": "up"}
    return defaults | {"size": 1, "up_since_ms": 0} | changes


def event(index: int, *members: dict[str, Any]) -> dict[str, Any]:
    """Return the coordinator's update of the engine list with this index; index 1 is the complete list."""
    return {"index": index, "endpoints": {"revision": index, "complete": index == 1, "members": members}}


class Program:
    """The gateway's process, run as it is deployed except that asserts are enabled."""

    def __init__(
        self,
        folder: Path,
        engine: str,
        coordinator: str = "127.0.0.1:1",
        conf: str = "",
        listener: socket.socket | None = None,
        **changes: Any,
    ) -> None:
        """Start the gateway; with a listener, as one of the processes that share it (and their folder)."""
        known = {"index": 1, "updates": [event(1, member("s-1", engine))]}
        config = {"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": coordinator}
        config |= {"known": known, "settings": SETTINGS} | changes
        self.config, self.path, self.conf = config, folder / "config.json", folder / "tealwing.conf"
        self.conf.write_text(conf)
        self.path.write_text(json.dumps(config))
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", RUN],
            cwd=ROOT,
            env={"LB_CONFIG": str(self.path)}
            | ({"TEALWING_CONF": str(self.conf)} if conf else {})
            | ({"LB_ACCEPT_FD": str(listener.fileno()), "TMPDIR": str(folder)} if listener else {}),
            pass_fds=(listener.fileno(),) if listener else (),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def wait_for(self, name: str) -> dict[str, Any]:
        """Read the log up to an event of that name, and return the event."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            found: dict[str, Any] = json.loads(line)
            if found["event"] == name:
                return found
        raise AssertionError(f"the log ends without the event {name}")

    def address(self) -> tuple[str, int]:
        self.started = self.wait_for("started")
        host, port = self.started["listen"]
        return host, port

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def reload(self, text: str) -> None:
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def end(self) -> str:
        """Kill the process if it still runs; return what it wrote to standard error."""
        self.process.kill()
        return self.process.communicate(timeout=LIMIT)[1]


class Client:
    """A MySQL client that sends its login, and optional further bytes, before it reads the greeting."""

    def __init__(self, address: tuple[str, int], user: bytes = b"app", also: bytes = b"") -> None:
        self.sock = socket.create_connection(address, LIMIT)
        login = (0xA20D).to_bytes(4, "little") + bytes(28) + user + b"\0\0reports\0"
        self.sock.sendall(packets.packet(1, login) + also)
        self.parser = packets.Parser()
        self.greeting, self.login = self.read(), self.read()
        self.id = int.from_bytes(self.greeting[self.greeting.index(b"\0") + 1 :][:4], "little")

    def read(self) -> bytes:
        while (message := self.parser.next()) is None:
            data = self.sock.recv(4096)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return message[1]

    def send(self, command: int, body: bytes = b"") -> None:
        self.sock.sendall(packets.packet(0, bytes([command]) + body))

    def ask(self, **fields: Any) -> None:
        self.send(3, request(**fields))

    def rows(self) -> list[bytes]:
        """Read a result set, and return the payloads of its rows."""
        assert self.read() == b"\x03"
        while self.read() != packets.eof():
            pass
        rows = []
        while (row := self.read()) != packets.eof():
            rows.append(row)
        return rows

    def error(self) -> tuple[int, str]:
        payload = self.read()
        assert payload[0] == 0xFF
        return int.from_bytes(payload[1:3], "little"), payload[9:].decode()


def request(**changes: Any) -> bytes:
    """Return a statement with the fields of a request in its leading comment."""
    fields = {"op": "lookup", "call": "9b1f03aa5c7e2d41", "ttl": 20000, "org": "acme"} | changes
    return f"/* {','.join(f'{k}={v}' for k, v in fields.items())} */ SELECT a FROM s_7.t".encode()
