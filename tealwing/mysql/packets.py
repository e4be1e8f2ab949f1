"""MySQL client protocol 4.1: packets, login and responses; no I/O. Malformed input raises PacketError."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

VERSION = b"8.0.0-tealwing"
MAX_PACKET_BYTES = 0xFFFFFF  # payload of one packet; a longer message continues in the next packet
MAX_MESSAGE_BYTES = 128 * 1024  # max_allowed_packet
MAX_LOGIN_BYTES = 4 * 1024  # of a client that has not logged in yet
PLUGIN = b"mysql_native_password"

# capability flags
CONNECT_WITH_DB, PROTOCOL_41, SSL, PLUGIN_AUTH = 0x8, 0x200, 0x800, 0x80000
SECURE_CONNECTION, LENENC_AUTH, LONG_PASSWORD, LONG_FLAG, TRANSACTIONS = 0x8000, 0x200000, 0x1, 0x4, 0x2000
CAPABILITIES = (
    CONNECT_WITH_DB | PROTOCOL_41 | PLUGIN_AUTH | SECURE_CONNECTION | LONG_PASSWORD | LONG_FLAG | TRANSACTIONS
)
AUTOCOMMIT = 0x2  # status flag
UTF8MB4 = 45  # character set and collation
VAR_STRING = 0xFD  # type of all columns
LENGTHS = [bytes([length]) for length in range(251)]  # length prefixes of strings below 251 bytes
COLUMN_LENGTH = 0xFFFF  # bytes; the maximum length declared for each column


class PacketError(ValueError):
    """Malformed input; code, state and sequence are those of the error packet that the server sends."""

    def __init__(self, text: str, code: int = 1043, state: str = "08S01", sequence: int = 0) -> None:
        super().__init__(text)
        self.code, self.state, self.sequence = code, state, sequence


@dataclass(frozen=True, slots=True)
class Login:
    """The client's handshake response."""

    user: bytes
    auth: bytes
    database: bytes


HEADER_BYTES = 4  # of a packet: three for the length, one for the sequence number


@dataclass(slots=True)
class Message:
    """One message: the sequence number of its packet, and its payload until it is released."""

    sequence: int
    payload: bytes

    @property
    def command(self) -> int:
        """The first byte of the payload; 0 if it is empty."""
        return self.payload[0] if self.payload else 0

    @property
    def body(self) -> memoryview:
        """The payload after its first byte, not copied."""
        return memoryview(self.payload)[1:]

    def release(self) -> None:
        """Drop the payload, which may be large, while an answer to the message is prepared."""
        self.payload = b""


class Parser:
    """Splits a byte stream into messages of bounded size, each with its sequence number.

    A message has one packet: only a packet of MAX_PACKET_BYTES is continued by the next one, and it is over the bound.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """Accept payloads up to this size."""
        self.max_message_bytes = max_message_bytes
        self._data = bytearray()

    @property
    def begun(self) -> bool:
        """Whether part of a message has been received."""
        return bool(self._data)

    @property
    def held_bytes(self) -> int:
        """The number of bytes of an incomplete message that have been received."""
        return len(self._data)

    @property
    def unread(self) -> bytes:
        """The received part of an incomplete message."""
        return bytes(self._data)

    @property
    def missing_bytes(self) -> int:
        """The number of bytes that the incomplete packet, or its header, still lacks."""
        if len(self._data) < HEADER_BYTES:
            return HEADER_BYTES - len(self._data)
        return HEADER_BYTES + int.from_bytes(self._data[:3], "little") - len(self._data)

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        self._data += data

    def clear(self) -> None:
        """Drop what has been received of an incomplete message."""
        self._data = bytearray()

    def next(self) -> tuple[int, bytes] | None:
        """Return the sequence number and payload of the next complete message; None if there is none."""
        if len(self._data) < HEADER_BYTES:
            return None
        length, sequence = int.from_bytes(self._data[:3], "little"), self._data[3]
        if length > self.max_message_bytes:  # checked before the payload is buffered
            text = "Got a packet bigger than 'max_allowed_packet' bytes"
            raise PacketError(text, 1153, "08S01", sequence)
        end = HEADER_BYTES + length
        if len(self._data) < end:
            return None
        with memoryview(self._data) as view:
            payload = bytes(view[HEADER_BYTES:end])
        del self._data[:end]
        return sequence, payload


def packet(sequence: int, payload: bytes) -> bytes:
    """Return a payload as one packet; all payloads sent here are below 16 MB."""
    return len(payload).to_bytes(3, "little") + bytes([sequence % 256]) + payload


def greeting(connection: int, scramble: bytes) -> bytes:
    """Return the payload of the server's initial handshake; the scramble has 20 bytes."""
    head = b"\x0a" + VERSION + b"\0" + struct.pack("<I", connection) + scramble[:8] + b"\0"
    flags = struct.pack("<HBHHB", CAPABILITIES & 0xFFFF, UTF8MB4, AUTOCOMMIT, CAPABILITIES >> 16, 21)
    return head + flags + bytes(10) + scramble[8:] + b"\0" + PLUGIN + b"\0"


def login(payload: bytes) -> Login:
    """Parse the client's handshake response. Raises PacketError."""
    if len(payload) < 32:
        raise PacketError("Bad handshake")
    flags = int.from_bytes(payload[:4], "little")
    if not flags & PROTOCOL_41 or flags & SSL:
        raise PacketError("Bad handshake")
    user, at = _until_nul(payload, 32)
    if flags & (SECURE_CONNECTION | LENENC_AUTH):
        if at >= len(payload) or payload[at] > 250 or at + 1 + payload[at] > len(payload):
            raise PacketError("Bad handshake")
        auth, at = payload[at + 1 : at + 1 + payload[at]], at + 1 + payload[at]
    else:
        auth, at = _until_nul(payload, at)
    database = _until_nul(payload, at)[0] if flags & CONNECT_WITH_DB and at < len(payload) else b""
    return Login(user, auth, database)


def _until_nul(payload: bytes, at: int) -> tuple[bytes, int]:
    end = payload.find(b"\0", at)
    if end < 0:
        raise PacketError("Bad handshake")
    return payload[at:end], end + 1


def ok() -> bytes:
    """Return the OK payload."""
    return b"\0\0\0" + struct.pack("<HH", AUTOCOMMIT, 0)


def eof() -> bytes:
    """Return the EOF payload."""
    return b"\xfe" + struct.pack("<HH", 0, AUTOCOMMIT)


def error(code: int, state: str, text: str) -> bytes:
    """Return an ERR payload."""
    return b"\xff" + struct.pack("<H", code) + b"#" + state.encode() + text.encode()[:512]


def _string(data: bytes) -> bytes:
    """Return the bytes as a length-encoded string."""
    if len(data) < len(LENGTHS):
        return LENGTHS[len(data)] + data
    if len(data) < 1 << 16:
        return b"\xfc" + len(data).to_bytes(2, "little") + data
    return b"\xfd" + len(data).to_bytes(3, "little") + data


def result_set(columns: Iterable[bytes], rows: Iterable[Iterable[bytes]], sequence: int) -> bytes:
    """Return a result set of text columns as packets, with EOF after the columns and after the rows."""
    payloads = [
        b"".join(map(_string, (b"def", b"", b"", b"", name, name)))
        + struct.pack("<BHIBHBH", 12, UTF8MB4, COLUMN_LENGTH, VAR_STRING, 0, 0, 0)
        for name in columns
    ]
    out = bytearray()
    for payload in (bytes([len(payloads)]), *payloads, eof()):
        out += packet(sequence, payload)
        sequence += 1
    for row in rows:  # hot loop: a result has some hundred rows
        payload = b"".join([LENGTHS[len(c)] + c if len(c) < 251 else _string(c) for c in row])
        out += len(payload).to_bytes(3, "little")
        out.append(sequence & 255)
        out += payload
        sequence += 1
    return bytes(out + packet(sequence, eof()))
