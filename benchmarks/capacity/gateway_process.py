"""One real gateway process, with any number of stand-in engines served by one thread."""

from __future__ import annotations

import json
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
from pathlib import Path
from types import TracebackType
from typing import Any

from benchmarks.capacity.records import CapacityError
from tealwing.mysql import packets
from tealwing.resp import messages
from tests.peers import SETTINGS, Client, event, member, say

ROOT = Path(__file__).parent.parent.parent
PAGE = b"1\t2\t3\n"  # the only page of every answer: one row
REPORT = b"sheets=1,rep=queue:0;inflight:3"  # number of pages, and the engine's load
POLL = 0.1  # s between two checks whether the stand-in engines are to stop
READ_SIZE = 64 * 1024


class Engines:
    """Stand-in engines, each listening at an address of its own, that answer every attempt at once."""

    def __init__(self, count: int) -> None:
        self.accepted = 0  # connections accepted so far
        self._select = selectors.DefaultSelector()
        self._listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
        for listener in self._listeners:
            listener.setblocking(False)
            self._select.register(listener, selectors.EVENT_READ)
        self._parsers: dict[socket.socket, messages.Parser] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def members(self) -> list[dict[str, Any]]:
        """The engines' entries in the coordinator's list."""
        addresses = [listener.getsockname() for listener in self._listeners]
        return [member(f"s-{number}", f"{host}:{port}") for number, (host, port) in enumerate(addresses)]

    def close(self) -> None:
        """Stop the engines' thread and close all sockets."""
        self._stopped.set()
        self._thread.join()
        for sock in [*self._listeners, *self._parsers]:
            sock.close()
        self._select.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, _ in self._select.select(POLL):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if sock in self._parsers:
                    self._read(sock)
                else:
                    self._accept(sock)

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        self.accepted += 1
        self._parsers[sock] = messages.Parser()
        self._select.register(sock, selectors.EVENT_READ)

    def _read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(READ_SIZE)
        except OSError:
            data = b""
        if not data:
            self._select.unregister(sock)
            del self._parsers[sock]
            sock.close()
            return
        for word, call, *_ in self._parsers[sock].feed(data):
            if word == b"want":
                say(sock, call, b"200", REPORT, PAGE)


class GatewayProcess:
    """The gateway as deployed (-O), in a folder of its own; the context manager kills it at its end."""

    def __init__(self, engines: Engines, sockets: int = 1024, gateways: int = 1) -> None:
        """Start a gateway whose list holds all `engines` and whose settings name `gateways` as the fleet's size."""
        self._folder = tempfile.TemporaryDirectory(prefix="tealwing-capacity-")
        path = Path(self._folder.name) / "config.json"
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "127.0.0.1:1",
            "known": {"index": 1, "updates": [event(1, *engines.members())]}, "limits": {"sockets": sockets},
            "settings": SETTINGS | {"Siblings": gateways},
        }  # fmt: skip
        path.write_text(json.dumps(config))
        self._process = subprocess.Popen(
            [sys.executable, "-O", "-m", "tealwing"], cwd=ROOT, stdout=subprocess.PIPE, text=True,
            env={"LB_CONFIG": str(path), "MALLOC_ARENA_MAX": "1", "PYTHONDONTWRITEBYTECODE": "1"},
        )  # fmt: skip
        self.address = self._started()
        threading.Thread(target=self._drain_log, daemon=True).start()
        self.calls = 0

    def _started(self) -> tuple[str, int]:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            found = json.loads(line)
            if found["event"] == "started":
                host, port = found["listen"]
                return host, port
        raise CapacityError("the gateway exited before it was ready; its log on standard error contains the reason")

    def _drain_log(self) -> None:
        assert self._process.stdout is not None
        for _ in self._process.stdout:
            pass

    def __enter__(self) -> GatewayProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._process.kill()
        self._process.wait()
        self._folder.cleanup()

    def processor_seconds(self) -> float:
        """Processor time of all its threads so far, from the scheduler's statistics (schedstat)."""
        tasks = Path(f"/proc/{self._process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9

    def resident_kilobytes(self) -> int:
        """Resident memory (RSS) in KB."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0])

    def descriptors(self) -> int:
        """Number of open file descriptors."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def threads(self) -> int:
        """Number of live threads."""
        return len(os.listdir(f"/proc/{self._process.pid}/task"))

    def statements(self, client: Client, count: int) -> float:
        """Send `count` statements one after another; returns the gateway's processor seconds for them."""
        begun = self.processor_seconds()
        for _ in range(count):
            self.calls += 1
            client.ask(call=f"{self.calls:016x}")
            if client.read()[:1] == b"\xff":
                raise CapacityError(
                    f"statement {self.calls} was refused: the stand-in engines answer too slowly on this machine"
                )
            _skip_result_set(client)
        return self.processor_seconds() - begun


def _skip_result_set(client: Client) -> None:
    ends = 0
    while ends < 2:
        ends += client.read() == packets.eof()
