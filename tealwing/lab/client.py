"""A minimal MySQL client for load generation, on the project's own packet parser: one query at a time per session."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from tealwing.mysql import packets
from tealwing.mysql.packets import CONNECT_WITH_DB, PLUGIN_AUTH, PROTOCOL_41, SECURE_CONNECTION

READ = 64 * 1024  # bytes read at once
LOGIN_LIMIT = 5.0  # s that connecting and each step of the login may take
FLAGS = PROTOCOL_41 | CONNECT_WITH_DB | PLUGIN_AUTH | SECURE_CONNECTION
QUERY, PING, QUIT = 0x03, 0x0E, 0x01  # command bytes of the MySQL protocol
REFUSED = (1040, 1203, 1226)  # MySQL error codes of a refusal: a retry is harmless


@dataclass(frozen=True, slots=True)
class Answer:
    """How a query ended: served, refused or failed, the number of rows, and the text of an error.

    site: the first column of the first row; with engines that have sites, the site that answered.
    """

    outcome: str
    rows: int
    text: str = ""
    site: str = ""

    @property
    def pushback(self) -> float:
        """The wait before a retry that a refusal requests, in seconds; 0 if it names none."""
        digits = self.text.partition("pushback=")[2]
        return int(digits) / 1e3 if digits.isdigit() else 0.0


class Session:
    """A logged-in connection to a gateway."""

    def __init__(self, address: tuple[str, int], user: str = "app", database: str = "reports") -> None:
        self._sock = socket.create_connection(address, LOGIN_LIMIT)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._parser = packets.Parser()
        login = (
            FLAGS.to_bytes(4, "little") + (packets.MAX_PACKET_BYTES).to_bytes(4, "little") + bytes([packets.UTF8MB4])
        )
        login += bytes(23) + user.encode() + b"\0\0" + database.encode() + b"\0" + packets.PLUGIN + b"\0"
        self._sock.sendall(packets.packet(1, login))
        greeting = self._next()
        self.number = int.from_bytes(greeting[greeting.index(b"\0") + 1 :][:4], "little")
        answer = self._next()
        if answer[:1] != b"\0":
            raise ConnectionError(f"the gateway rejected the login: {answer[9:].decode('utf-8', 'replace')}")

    def query(self, text: bytes, limit: float) -> Answer:
        """Send a query; raises OSError if the connection ends or a read of the answer takes over `limit` seconds."""
        self._sock.settimeout(limit)
        self._sock.sendall(packets.packet(0, bytes([QUERY]) + text))
        first = self._next()
        if first[:1] == b"\xff":
            code, message = int.from_bytes(first[1:3], "little"), first[9:].decode("utf-8", "replace")
            return Answer("refused" if code in REFUSED else "failed", 0, message)
        if first[:1] == b"\0":
            return Answer("served", 0)
        while not _eof(self._next()):
            pass  # column definitions
        rows, site = 0, ""
        while not _eof(payload := self._next()):
            if payload[:1] == b"\xff":
                return Answer("failed", rows, payload[9:].decode("utf-8", "replace"))
            if rows == 0 and payload[0] <= len(payload) - 1:  # a site's name is short: its length takes one byte
                site = payload[1 : 1 + payload[0]].decode("utf-8", "replace")
            rows += 1
        return Answer("served", rows, site=site)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    def _next(self) -> bytes:
        while (message := self._parser.next()) is None:
            data = self._sock.recv(READ)
            if not data:
                raise ConnectionError("the gateway closed the connection")
            self._parser.feed(data)
        return message[1]


def _eof(payload: bytes) -> bool:
    return payload[:1] == b"\xfe" and len(payload) < 9
