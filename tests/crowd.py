"""A crowd of clients of one gateway process, and engines that serve them, for tests of the process's limits."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from pathlib import Path
from typing import Any

from tealwing.mysql import packets
from tealwing.resp import messages
from tests.peers import LIMIT, SETTINGS, Program, event, member

CLIENTS = 341  # a third of 1,024 descriptors, as the protocol says
LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}  # the least that the operators name
LOGIN = packets.packet(1, (0xA20D).to_bytes(4, "little") + bytes(28) + b"app\0\0reports\0")


class CrowdEngine:
    """An engine that answers each attempt after a delay, or never, with pages of rows."""

    def __init__(self, delay: float | None = 0.0, pages: int = 1, rows: int = 1) -> None:
        """Set the delay in s (None: no answers), and the number of pages and of rows in each."""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._delay, self._pages, self._page = delay, pages, (b"a\t" + b"b" * 100 + b"\tc\n") * rows
        self.arrivals: list[tuple[float, bytes]] = []  # monotonic time and id of each attempt
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._read, args=(sock,), daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        parser = WideParser()
        with contextlib.suppress(OSError):
            while data := sock.recv(1 << 16):
                for parts in parser.feed(data):
                    self._handle(sock, parts)

    def _handle(self, sock: socket.socket, parts: list[bytes]) -> None:
        if parts[0] == b"turn":
            sock.sendall(messages.encode(parts[1], b"chunk", b"sheet=" + parts[2], self._page))
        if parts[0] != b"want":
            return
        self.arrivals.append((time.monotonic(), parts[1]))
        if self._delay is not None:
            threading.Timer(self._delay, self._answer, (sock, parts[1])).start()

    def _answer(self, sock: socket.socket, request_id: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(messages.encode(request_id, b"200", b"sheets=%d" % self._pages, self._page))


class WideParser:
    """Splits what a gateway sends into messages, statements of any size included."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        self._data += data
        found = []
        while (message := self._next()) is not None:
            found.append(message)
        return found

    def _next(self) -> list[bytes] | None:
        at, parts = 0, list[bytes]()
        end = self._data.find(b"\r\n")
        if end < 0:
            return None
        for _ in range(int(self._data[1:end])):
            at = end + 2
            end = self._data.find(b"\r\n", at)
            if end < 0:
                return None
            length = int(self._data[at + 1 : end])
            at, end = end + 2, end + 2 + length
            if len(self._data) < end + 2:
                return None
            parts.append(bytes(self._data[at:end]))
        del self._data[: end + 2]
        return parts


def start_gateway(folder: Path, engines: list[CrowdEngine], **changes: Any) -> Program:
    """Start a gateway with the least memory that the operators name, in front of the engines."""
    members = [member(f"s-{number}", engine.address) for number, engine in enumerate(engines)]
    family = SETTINGS["FamilyInfo"] | {"CoresByKind": [64], "RamOfKindMb": [1e6]}
    settings = SETTINGS | {"Accounts": [], "FamilyInfo": family}
    config: dict[str, Any] = {"known": {"index": 1, "updates": [event(1, *members)]}, "limits": LIMITS}
    return Program(folder, "", **(config | {"settings": settings} | changes))


def peak_memory_mb(program: Program) -> float:
    """Return the largest resident memory (MB) that the process has had."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def read_log(program: Program) -> list[dict[str, Any]]:
    """Collect the events of the program's log, from now on, on a thread."""
    found: list[dict[str, Any]] = []

    def read() -> None:
        assert program.process.stdout is not None
        for line in program.process.stdout:
            found.append(json.loads(line))

    threading.Thread(target=read, daemon=True).start()
    return found


def connect(address: tuple[str, int], also: bytes = b"") -> socket.socket:
    """Connect a client, which sends its login and the further bytes."""
    sock = socket.create_connection(address, LIMIT)
    sock.sendall(LOGIN + also)
    return sock


def statement(number: int, size: int = 0, ttl: int = 5000, **fields: Any) -> bytes:
    """Return the packet of a request with this number as its id, and a string of `size` characters."""
    named = {"op": "lookup", "call": f"{number:016x}", "ttl": ttl} | fields
    comment = ",".join(f"{name}={value}" for name, value in named.items())
    text = f"/* {comment} */ SELECT a FROM s_7.t WHERE b = '{'x' * size}'"
    return packets.packet(0, b"\x03" + text.encode())


def send_pieces(socks: list[socket.socket], data: bytes, piece: int, seconds: float) -> int:
    """Write the data to all sockets in pieces, evenly over the seconds; return how many bytes were written."""
    sent = [0] * len(socks)
    for sock in socks:
        sock.setblocking(False)
    rounds = -(-len(data) // piece)
    for _ in range(rounds):
        for number, sock in enumerate(socks):
            with contextlib.suppress(OSError):  # the gateway reads slower, or has closed the connection
                sent[number] += sock.send(data[sent[number] : sent[number] + piece])
        time.sleep(seconds / rounds)
    return sum(sent)


def ask(address: tuple[str, int], number: int, ttl: int = 5000) -> tuple[bytes, float]:
    """Send a small request on a new connection; return the first payload of its answer, and the seconds it took."""
    begun = time.monotonic()
    with connect(address, statement(number, ttl=ttl)) as sock:
        parser, found = packets.Parser(), list[bytes]()
        while len(found) < 3:  # greeting, login, answer
            data = sock.recv(1 << 16)
            if not data:
                raise EOFError
            parser.feed(data)
            while (message := parser.next()) is not None:
                found.append(message[1])
    return found[2], time.monotonic() - begun
