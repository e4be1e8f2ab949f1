"""RESP arrays of bulk strings, and the contents of engine messages. No I/O; malformed input raises RespError."""

from __future__ import annotations

import math
from collections.abc import Mapping

MAX_PARTS = 8  # bulk strings in an array
MAX_PART_BYTES = 16 * 1024  # of a received bulk string: a page has at most 6,000
MAX_MESSAGE_BYTES = 20 * 1024  # of all bulk strings of a received array together: one page, and short fields
MAX_LENGTH_LINE_BYTES = 16  # bytes of a length line, with its prefix and CRLF


class RespError(ValueError):
    """The input is malformed; the connection that it came from must be closed."""


def encode(*parts: bytes) -> bytes:
    """Return the parts as one RESP array of bulk strings."""
    out = [b"*%d\r\n" % len(parts)]
    for part in parts:  # a part may be large, and is copied once
        out += (b"$%d\r\n" % len(part), part, b"\r\n")
    return b"".join(out)


class Parser:
    """Splits a byte stream into RESP arrays of bulk strings, of bounded size."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._at = 0
        self._expected_parts = 0  # bulk strings that the incomplete array still lacks
        self._parts: list[bytes] = []
        self._part_bytes = 0  # of `_parts`
        self.fault: RespError | None = None  # error in the bytes after the arrays that `feed` returned last

    @property
    def begun(self) -> bool:
        """Whether the parser holds an incomplete array."""
        return bool(self._data or self._expected_parts)

    def feed(self, data: bytes | memoryview) -> list[list[bytes]]:
        """Add data and return the arrays that are complete now; an error after them is kept in `fault`."""
        if self.fault is not None:
            raise self.fault
        self._data += data
        found = []
        try:
            while (parts := self._next()) is not None:
                found.append(parts)
        except RespError as error:
            if not found:
                raise
            self.fault = error
        del self._data[: self._at]
        self._at = 0
        return found

    def _next(self) -> list[bytes] | None:
        if not self._expected_parts:
            count = self._length(b"*")
            if count is None:
                return None
            if not 1 <= count <= MAX_PARTS:
                raise RespError(f"an array has {count} strings, not 1 to {MAX_PARTS}")
            self._expected_parts, self._parts, self._part_bytes = count, [], 0
        while self._expected_parts:
            start = self._at
            length = self._length(b"$")
            if length is None:
                return None
            if length > MAX_PART_BYTES:
                raise RespError(f"a bulk string has {length} bytes, more than {MAX_PART_BYTES}")
            if self._part_bytes + length > MAX_MESSAGE_BYTES:
                raise RespError(f"an array has more than {MAX_MESSAGE_BYTES} bytes")
            end = self._at + length
            if len(self._data) < end + 2:
                self._at = start
                return None
            if self._data[end : end + 2] != b"\r\n":
                found = bytes(self._data[end : end + 2])
                raise RespError(f"a bulk string of {length} bytes is followed by {found!r}, not CRLF")
            self._parts.append(bytes(self._data[self._at : end]))
            self._part_bytes += length
            self._at, self._expected_parts = end + 2, self._expected_parts - 1
        return self._parts

    def _length(self, prefix: bytes) -> int | None:
        """Return the number on a line that begins with the prefix; None while the line is incomplete."""
        end = self._data.find(b"\r\n", self._at, self._at + MAX_LENGTH_LINE_BYTES)
        first = self._data[self._at : self._at + 1]
        if first and first != prefix:
            raise RespError(f"the prefix {prefix!r} is expected, not {bytes(first)!r}")
        if end < 0:
            if len(self._data) - self._at >= MAX_LENGTH_LINE_BYTES:
                raise RespError(f"a length line has no CRLF in its first {MAX_LENGTH_LINE_BYTES} bytes")
            return None
        digits = bytes(self._data[self._at + 1 : end])
        if not digits.isdigit():
            raise RespError(f"the length {digits!r} is not a number")
        self._at = end + 2
        return int(digits)


def fields(data: bytes) -> dict[str, str]:
    """Return the fields of a message (`name=value,...`) as a dict; empty for `-`."""
    if data in (b"-", b""):
        return {}
    found = {}
    for part in data.decode("utf-8", "replace").split(","):
        name, equals, value = part.partition("=")
        if not name or not equals:
            raise RespError(f"the field {part[:40]!r} is not of the form name=value")
        found[name] = value
    return found


def report(found: Mapping[str, str], names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report of an answer, in the order of `names`; empty if there is none, NaN for a missing value."""
    if not found.get("rep"):
        return ()
    values = dict(part.partition(":")[::2] for part in found["rep"].split(";"))
    return tuple(number(values.get(name, ""), math.nan) for name in names)


def number(text: str, default: float) -> float:
    """Return the text as a finite number, or the default if it is none."""
    try:
        value = float(text)
    except ValueError:
        return default
    return value if math.isfinite(value) else default


def count(text: str | None, max_value: int) -> int:
    """Return the text as an integer from 0 to max_value. Raises RespError."""
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 9 or int(text) > max_value:
        raise RespError(f"{text!r} is not an integer from 0 to {max_value}")
    return int(text)
