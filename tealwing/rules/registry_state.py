"""The three tables of the registry of versions: read and write them; pure. Records are immutable and get replaced."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Any

from msgspec.structs import replace

from tealwing.record import CommandResult
from tealwing.rules.records import FACTS_KEY, IN_FLIGHT, Facts, Member, Phase, Version

Tables = dict[str, dict[str, Any]]
MAX_VERSIONS = 32  # kept in the registry
_EPOCH = datetime(1970, 1, 1)
_LAST_MS = 250_000_000_000_000  # in the year 9892; datetime ends with 9999


def facts(tables: Tables) -> Facts:
    """Return the facts that concern all versions."""
    found: Facts = tables["rule_facts"].get(FACTS_KEY) or Facts()
    return found


def version(tables: Tables, number: int) -> Version | None:
    """Return the version with that number; None if it is unknown or was trimmed."""
    found: Version | None = tables["rules"].get(str(number))
    return found


def active(tables: Tables) -> Version | None:
    """Return the version in force; None before the first."""
    return version(tables, facts(tables).active_number)


def in_flight(tables: Tables) -> Version | None:
    """Return the version whose outcome is open, of which there is at most one; None without one."""
    return next((found for found in tables["rules"].values() if found.phase in IN_FLIGHT), None)


def members(tables: Tables) -> dict[str, Member]:
    """Return the table of members by name, not a copy."""
    return tables["rule_members"]


def put(tables: Tables, found: Version) -> None:
    """Store a version under its number."""
    tables["rules"][str(found.number)] = found


def set_phase(
    tables: Tables, index: int, found: Version, phase: Phase, outcome: str = "", federation_index: int = 0
) -> None:
    """Store a version in a new phase, set by the entry at `index`."""
    put(
        tables,
        replace(
            found, phase=phase, phase_index=index, outcome=outcome or found.outcome, federation_index=federation_index
        ),
    )


def reject(index: int, reason: str, number: int = 0) -> CommandResult:
    """Return the result of a rejected command; sessions store its reason in the replicated state: keep the wording."""
    return CommandResult(False, index, number, reason)


def accept(index: int, number: int) -> CommandResult:
    """Return the result of a command that was applied."""
    return CommandResult(True, index, number)


def format_timestamp(unix_ms: int) -> str:
    """Format a time of the Unix clock in ms for people, in UTC."""
    if unix_ms > _LAST_MS:
        return f"{unix_ms} ms"
    return (_EPOCH + timedelta(milliseconds=unix_ms)).isoformat(" ", "seconds") + " UTC"


def describe(found: Version) -> str:
    """Describe a version by its number, author and time."""
    return f"version {found.number} by {found.author} of {format_timestamp(found.created_ms)}"


def trim(tables: Tables) -> None:
    """Delete the oldest versions above the limit; never the active one, its parent (to roll back) or one in flight."""
    table: dict[str, Version] = tables["rules"]
    in_force = active(tables)
    protected = {in_force.number, in_force.parent} if in_force is not None else set()
    for number in sorted(map(int, table)):
        if len(table) <= MAX_VERSIONS:
            return
        if number not in protected and table[str(number)].phase not in IN_FLIGHT:
            del table[str(number)]
