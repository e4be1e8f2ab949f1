"""Parses the coordinator's lines into watch updates, without I/O. Invalid lines raise UpdateError."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, replace
from typing import Any

import orjson

from tealwing import interface

MAX_LINE_BYTES = 1 << 20  # bytes; enough for some thousand engines
STATES = {
    "up": interface.Health.READY,
    "draining": interface.Health.DRAINING,
    "removed": interface.Health.GONE,
}


class UpdateError(ValueError):
    """An invalid line, which is an error of the coordinator."""


@dataclass(frozen=True, slots=True)
class Member:
    """One listed engine: its name and address, and its entry in the decision module's engine list."""

    name: str
    host: str
    port: int
    entry: interface.EngineListEntry  # zone and kind numbered by the settings; -1 where not numbered yet
    zone: str = ""
    kind: str = ""


@dataclass(frozen=True, slots=True)
class Update:
    """One numbered event of the coordinator: a complete engine list or a change of it."""

    index: int
    revision: int
    complete: bool
    members: tuple[Member, ...]
    unusable: tuple[str, ...] = ()  # reasons why members were skipped: one must not hide the others
    unplaced: tuple[Member, ...] = ()  # skipped members whose zone or kind other settings may name


def engine_number(name: str) -> int:
    """Return the engine's number for the decision module, a hash of its id, so that all gateways use the same."""
    return zlib.crc32(name.encode())


def address(text: Any, min_port: int = 1) -> tuple[str, int]:
    """Return HOST:PORT as a pair; the port is at least min_port. Raises UpdateError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not (port.isascii() and port.isdigit()) or not min_port <= int(port[:6]) < 65536:
        raise UpdateError(f"not HOST:PORT with a port from {min_port} to 65535: {text!r}")
    return host, int(port)


def _integer(value: Any, what: str) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise UpdateError(f"{what} is not a whole number of 0 or more: {value!r}")
    return value


def _number(value: Any, what: str) -> float:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not number or not math.isfinite(value) or value < 0:
        raise UpdateError(f"{what} is not a finite number of 0 or more: {value!r}")
    return float(value)


def renumbered(member: Member, settings: interface.Settings) -> Member:
    """Return the member with its zone and kind numbered by the settings. Raises UpdateError if they don't name them."""
    kinds = [kind.name for kind in settings.machine_kinds]
    if member.zone not in settings.zones:
        raise UpdateError(f"locality is not in the settings: {member.zone!r}")
    if member.kind not in kinds:
        raise UpdateError(f"flavor is not in the settings: {member.kind!r}")
    entry = replace(member.entry, zone=settings.zones.index(member.zone), kind=kinds.index(member.kind))
    return replace(member, entry=entry)


def _member(data: Any) -> Member:
    if not isinstance(data, dict):
        raise UpdateError(f"a member is not an object: {data!r:.80}")
    name, state = data.get("id"), data.get("phase")
    if not isinstance(name, str) or not name:
        raise UpdateError(f"id is not a non-empty string: {name!r}")
    if state not in STATES:
        raise UpdateError(f"phase is none of {', '.join(STATES)}: {state!r}")
    zone, kind = data.get("locality"), data.get("flavor")
    if not isinstance(zone, str) or not isinstance(kind, str):
        raise UpdateError(f"locality or flavor is not a string: {zone!r}, {kind!r}")
    entry = interface.EngineListEntry(
        engine=engine_number(name),
        zone=-1,
        kind=-1,
        cell=_integer(data["cell"], "cell") if "cell" in data else -1 - engine_number(name),  # unknown: its own
        health=STATES[state],
        weight=_number(data.get("size", 1), "size"),
        started=_number(data.get("up_since_ms", 0), "up_since_ms") / 1e3,
    )
    return Member(name, *address(data.get("host_port")), entry, zone, kind)


def parse_update(data: Any, settings: interface.Settings) -> Update:
    """Return one event from its JSON object."""
    if not isinstance(data, dict) or not isinstance(data.get("endpoints"), dict):
        raise UpdateError("an event has no object endpoints")
    points = data["endpoints"]
    members = points.get("members")
    if not isinstance(members, list) or not isinstance(points.get("complete"), bool):
        raise UpdateError("endpoints needs a list members and a boolean complete")
    usable, unusable, unplaced = [], [], []
    for item in members:
        member = None
        try:
            member = _member(item)
            usable.append(renumbered(member, settings))
        except UpdateError as error:
            unusable.append(str(error))
            if member is not None:
                unplaced.append(member)
    return Update(
        _integer(data.get("index"), "index"),
        _integer(points.get("revision", 0), "revision"),
        points["complete"],
        tuple(usable),
        tuple(unusable),
        tuple(unplaced),
    )


def parse_line(text: bytes, settings: interface.Settings) -> Update | int:
    """Parse one line: an event, or the number of the last event alone."""
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise UpdateError(f"not JSON: {error}") from None
    if isinstance(data, dict) and "endpoints" in data:
        return parse_update(data, settings)
    return _integer(data.get("index") if isinstance(data, dict) else data, "index")


def cached_updates(data: Any, settings: interface.Settings) -> tuple[int, tuple[Update, ...]]:
    """Return the number of the last event and the cached events of the configuration's key `known`."""
    if not isinstance(data, dict) or not isinstance(data.get("updates"), list):
        raise UpdateError("it is missing or has no list updates")
    return _integer(data.get("index"), "index"), tuple(parse_update(item, settings) for item in data["updates"])


class LineParser:
    """Splits a stream into lines of bounded length."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add data, and return the lines that are complete now. Raises UpdateError for a line that is too long."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MAX_LINE_BYTES:
            raise UpdateError(f"a line is longer than {MAX_LINE_BYTES} bytes: {len(self._rest)} so far")
        return [text for text in lines if text.strip()]
