"""The registry's three tables, read and written; pure. A change of a record is another record in its place."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Any

from msgspec.structs import replace

from tealwing.record import CommandResult
from tealwing.rules.records import FACTS_KEY, IN_FLIGHT, Facts, Member, Phase, Version

Tables = dict[str, dict[str, Any]]
_EPOCH = datetime(1970, 1, 1)
_LAST_MS = 250_000_000_000_000  # of the calendar that datetime knows


def facts(tables: Tables) -> Facts:
    """What holds of all versions."""
    found: Facts = tables["rule_facts"].get(FACTS_KEY) or Facts()
    return found


def version(tables: Tables, number: int) -> Version | None:
    """The version of that number, as far as it is kept."""
    found: Version | None = tables["rules"].get(str(number))
    return found


def active(tables: Tables) -> Version | None:
    """The version in force; None before the first."""
    return version(tables, facts(tables).active_number)


def in_flight(tables: Tables) -> Version | None:
    """The version that is neither in force nor over; there is one at most."""
    return next((found for found in tables["rules"].values() if found.phase in IN_FLIGHT), None)


def members(tables: Tables) -> dict[str, Member]:
    """All members by name; the table itself."""
    return tables["rule_members"]


def put(tables: Tables, found: Version) -> None:
    """Keep a version as it is now."""
    tables["rules"][str(found.number)] = found


def set_phase(
    tables: Tables, index: int, found: Version, phase: Phase, outcome: str = "", federation_index: int = 0
) -> None:
    """A version comes into a phase by the entry at an index."""
    put(
        tables,
        replace(
            found, phase=phase, phase_index=index, outcome=outcome or found.outcome, federation_index=federation_index
        ),
    )


def reject(index: int, reason: str, number: int = 0) -> CommandResult:
    """The registry refuses a command."""
    return CommandResult(False, index, number, reason)


def accept(index: int, number: int) -> CommandResult:
    """The registry has applied a command."""
    return CommandResult(True, index, number)


def format_timestamp(unix_ms: int) -> str:
    """A time of the Unix clock in ms, as people read it; always UTC."""
    if unix_ms > _LAST_MS:
        return f"{unix_ms} ms"
    return (_EPOCH + timedelta(milliseconds=unix_ms)).isoformat(" ", "seconds") + " UTC"


def describe(found: Version) -> str:
    """Whose a version is, and since when."""
    return f"version {found.number} by {found.author} of {format_timestamp(found.created_ms)}"
