"""Readers of the arguments in the operators' file: values with units, and names; pure. msgspec checks the ranges."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Annotated, Any

import msgspec

Arguments = tuple[str, ...]
ArgumentReader = Callable[[Arguments], Any]

DURATIONS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}  # s of each unit
SIZES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}  # bytes of each unit
_PLAIN = re.compile(r"\d{1,15}(?:\.\d{1,9})?", re.ASCII)


class InvalidValueError(ValueError):
    """Raised for an invalid value; the message describes the allowed values."""


def _number(text: str, allowed: str) -> float:
    if not _PLAIN.fullmatch(text):
        raise InvalidValueError(allowed)
    return float(text)


def duration(text: str) -> float:
    """Return a duration such as `250ms`, `1.5s` or `2m` in seconds."""
    allowed = "a duration with its unit, such as 250ms, 1.5s, 2m, 1h or 7d"
    unit = next((u for u in sorted(DURATIONS, key=len, reverse=True) if text.endswith(u)), None)
    if unit is None:
        raise InvalidValueError(allowed)
    return _number(text[: -len(unit)], allowed) * DURATIONS[unit]


def size(text: str) -> int:
    """Return a size such as `64MB` in bytes."""
    allowed = "a size with its unit, such as 512B, 16KB, 64MB or 1GB"
    unit = next((u for u in sorted(SIZES, key=len, reverse=True) if text.endswith(u)), None)
    if unit is None:
        raise InvalidValueError(allowed)
    return int(_number(text[: -len(unit)], allowed) * SIZES[unit])


def share(text: str) -> float:
    """Return a share such as `85%` as a fraction, here 0.85."""
    if not text.endswith("%"):
        raise InvalidValueError("a share with its percent sign, such as 85%")
    return _number(text[:-1], "a share with its percent sign, such as 85%") / 100


def number(text: str) -> float:
    """Return a number without a unit or a sign."""
    return _number(text, "a number, such as 2 or 1.5")


def integer(text: str) -> int:
    """Return an integer of at most 15 digits."""
    if not (text.isascii() and text.isdigit()) or len(text) > 15:
        raise InvalidValueError("a whole number of at most 15 digits, such as 3")
    return int(text)


def format_duration(seconds: float) -> str:
    """Return a number of seconds as the operators' file writes a duration."""
    for unit, length in (("h", 3600.0), ("m", 60.0), ("s", 1.0)):
        if seconds >= length and abs(seconds / length - round(seconds / length)) < 1e-9:
            return f"{round(seconds / length)}{unit}"
    return f"{seconds * 1e3:g}ms" if seconds < 1 else f"{seconds:g}s"


def format_share(value: float) -> str:
    """Return a fraction as the operators' file writes a share."""
    return f"{value * 100:g}%"


def _ranged(read: Callable[[str], Any], kind: type, minimum: float, maximum: float, formatted: Any) -> ArgumentReader:
    """Return a reader of one argument within a range."""
    bounded = Annotated[kind, msgspec.Meta(ge=minimum, le=maximum)]  # type: ignore[valid-type]

    def value(arguments: Arguments) -> Any:
        if len(arguments) != 1:
            raise InvalidValueError("exactly one value")
        found = read(arguments[0])
        try:
            return msgspec.convert(found, bounded)
        except msgspec.ValidationError:
            raise InvalidValueError(f"from {formatted(minimum)} to {formatted(maximum)}") from None

    return value


def durations(minimum: float, maximum: float) -> ArgumentReader:
    """Return a reader of one duration within a range of seconds."""
    return _ranged(duration, float, minimum, maximum, format_duration)


def shares(minimum: float = 0.0, maximum: float = 1.0) -> ArgumentReader:
    """Return a reader of one share within a range."""
    return _ranged(share, float, minimum, maximum, format_share)


def numbers(minimum: float, maximum: float) -> ArgumentReader:
    """Return a reader of one number within a range."""
    return _ranged(number, float, minimum, maximum, lambda value: f"{value:g}")


def integers(minimum: int, maximum: int) -> ArgumentReader:
    """Return a reader of one integer within a range."""
    return _ranged(integer, int, minimum, maximum, str)


def sizes(minimum: int, maximum: int) -> ArgumentReader:
    """Return a reader of one size within a range of bytes."""
    return _ranged(size, int, minimum, maximum, lambda value: f"{int(value)}B")


def choice(*allowed: str) -> ArgumentReader:
    """Return a reader of one word out of `allowed`."""

    def value(arguments: Arguments) -> str:
        if len(arguments) != 1 or arguments[0] not in allowed:
            raise InvalidValueError(" or ".join(allowed))
        return arguments[0]

    return value


def switch(arguments: Arguments) -> bool:
    """Read `on` or `off`."""
    return bool(choice("on", "off")(arguments) == "on")


def name(arguments: Arguments) -> str:
    """Read one name of lower-case letters, digits and hyphens."""
    if len(arguments) != 1 or not re.fullmatch(r"[a-z][a-z0-9-]{0,39}", arguments[0]):
        raise InvalidValueError("one name of at most 40 lower-case letters, digits and hyphens, a letter first")
    return arguments[0]


def text(arguments: Arguments) -> str:
    """Read one word or quoted string that is not empty."""
    if len(arguments) != 1 or not arguments[0]:
        raise InvalidValueError('one word or one "string"')
    return arguments[0]


def nothing(arguments: Arguments) -> None:
    """Check that the directive has no argument."""
    if arguments:
        raise InvalidValueError("no argument")


def instance(arguments: Arguments) -> str:
    """Read the name of one instance of the program, of at most 32 letters, digits, dots, hyphens and underscores."""
    if len(arguments) != 1 or not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,31}", arguments[0], re.ASCII):
        raise InvalidValueError(
            "one name of at most 32 letters, digits, dots, hyphens and underscores, a letter or digit first"
        )
    return arguments[0]


def address(arguments: Arguments) -> tuple[str, int]:
    """Read one IPv4 address with its port."""
    allowed = "one IPv4 address with its port, such as 10.0.0.4:7946 or 127.0.0.1:0"
    host, colon, port = arguments[0].rpartition(":") if len(arguments) == 1 else ("", "", "")
    if not colon or not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) > 65535:
        raise InvalidValueError(allowed)
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise InvalidValueError(allowed) from None
    return host, int(port)
