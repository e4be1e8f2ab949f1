"""Whether a change is covered: nobody can decide under the old rules any more; pure.

A member is covered that has closed in its present start, or whose permits are surely over.
"""

from __future__ import annotations

from tealwing.rules.kept import Tables, in_flight, members, turn
from tealwing.rules.records import Member, Phase, Version

CLOCKS = 2  # different members whose clocks must say that a lapse is over, where there are so many


def uncovered(tables: Tables, number: int) -> list[str]:
    """Names of the members that may still decide without the change to that version."""
    return sorted(name for name, member in members(tables).items() if member.closed != number and not _over(member))


def covered(tables: Tables, number: int) -> bool:
    """Whether no member may decide without the change to that version."""
    return not uncovered(tables, number)


def witnesses_needed(tables: Tables, name: str) -> int:
    """How many must say that this member's lapse is over: one clock that was stepped must not do it alone.

    Others that have lapsed count until that is over: else a leader whose clock runs wild could lapse all but itself,
    and be the only one left to ask.
    """
    others = sum(1 for other, member in members(tables).items() if other != name and not _over(member))
    return max(1, min(CLOCKS, others))


def unheard(tables: Tables, found: Version) -> list[str]:
    """Names of the members that have not said yes to a version in their present start; the lapsed are not asked."""
    return sorted(
        name
        for name, member in members(tables).items()
        if not member.lapsed and (name not in found.said or found.said[name].start != member.start)
    )


def settle(tables: Tables, index: int) -> None:
    """Bring the version in flight into the phase that its members' words make, after any of them has changed."""
    found = in_flight(tables)
    if found is None:
        return
    phase: Phase = found.phase
    if phase in ("proposed", "checked"):
        asked = any(not member.lapsed for member in members(tables).values())
        phase = "checked" if asked and not unheard(tables, found) else "proposed"
    else:
        phase = "agreed" if covered(tables, found.number) else "preparing"
    if phase != found.phase:
        turn(tables, index, found, phase)


def _over(member: Member) -> bool:
    return bool(member.lapsed) and member.over
