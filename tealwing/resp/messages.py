"""RESP arrays of bulk strings and the engines' messages; pure. Malformed input is a RespError."""

from __future__ import annotations

import math
from collections.abc import Mapping

MAX_PARTS = 8  # strings in an array
MAX_PART_BYTES = 16 * 1024  # of one received string: a page has at most 6,000
MAX_LENGTH_DIGITS = 16  # bytes of a length line


class RespError(ValueError):
    """Malformed bytes; the connection they came from must end."""


def encode(*parts: bytes) -> bytes:
    """Return one array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class Parser:
    """Cuts a stream into arrays of bulk strings, of bounded size."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._at = 0
        self._expected_parts = 0  # missing strings of the incomplete array
        self._parts: list[bytes] = []
        self.fault: RespError | None = None  # of the bytes behind the arrays that `feed` returned last

    @property
    def begun(self) -> bool:
        """Whether a message is incomplete."""
        return bool(self._data or self._expected_parts)

    def feed(self, data: bytes | memoryview) -> list[list[bytes]]:
        """Return the complete arrays after more data; an error behind them is kept in `fault`."""
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
                raise RespError(f"an array of {count}")
            self._expected_parts, self._parts = count, []
        while self._expected_parts:
            start = self._at
            length = self._length(b"$")
            if length is None:
                return None
            if length > MAX_PART_BYTES:
                raise RespError(f"a string of {length} bytes")
            end = self._at + length
            if len(self._data) < end + 2:
                self._at = start
                return None
            if self._data[end : end + 2] != b"\r\n":
                raise RespError("a string without its end")
            self._parts.append(bytes(self._data[self._at : end]))
            self._at, self._expected_parts = end + 2, self._expected_parts - 1
        return self._parts

    def _length(self, mark: bytes) -> int | None:
        """Return the number on a line that begins with the mark; None while the line is incomplete."""
        end = self._data.find(b"\r\n", self._at, self._at + MAX_LENGTH_DIGITS)
        head = self._data[self._at : self._at + 1]
        if head and head != mark:
            raise RespError(f"{bytes(head)!r} where {mark!r} was due")
        if end < 0:
            if len(self._data) - self._at >= MAX_LENGTH_DIGITS:
                raise RespError("a length that does not end")
            return None
        digits = bytes(self._data[self._at + 1 : end])
        if not digits.isdigit():
            raise RespError(f"a length of {digits!r}")
        self._at = end + 2
        return int(digits)


def fields(data: bytes) -> dict[str, str]:
    """Return FIELDS as a dict; `-` is empty."""
    if data in (b"-", b""):
        return {}
    found = {}
    for part in data.decode("utf-8", "replace").split(","):
        name, equals, value = part.partition("=")
        if not name or not equals:
            raise RespError(f"a field without a value: {part[:40]!r}")
        found[name] = value
    return found


def report(found: Mapping[str, str], names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report among an answer's fields, in the settings' order; empty if absent, NaN for a gap."""
    if not found.get("rep"):
        return ()
    values = dict(part.partition(":")[::2] for part in found["rep"].split(";"))
    return tuple(number(values.get(name, ""), math.nan) for name in names)


def number(text: str, other: float) -> float:
    """Return the text as a number, or `other` if it is none."""
    try:
        value = float(text)
    except ValueError:
        return other
    return value if math.isfinite(value) else other


def count(text: str | None, max_value: int) -> int:
    """Return the text as an integer from 0 to max_value. Raises RespError."""
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 9 or int(text) > max_value:
        raise RespError(f"not a number up to {max_value}: {text!r}")
    return int(text)
