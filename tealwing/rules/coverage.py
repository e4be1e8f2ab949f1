"""Whether a change is covered: nobody can decide under the old rules any more; pure.

A member is covered that has closed in its present start, or whose permits are surely over.
"""

from __future__ import annotations

from tealwing.rules.records import Member, Phase, Version
from tealwing.rules.registry_state import Tables, in_flight, members, set_phase

MIN_CONFIRMATIONS = 2  # different members whose clocks must say that a lapse is over, where there are so many


def uncovered(tables: Tables, number: int) -> list[str]:
    """Names of the members that may still decide without the change to that version."""
    return sorted(
        name for name, member in members(tables).items() if member.closed_for != number and not _is_expired(member)
    )


def is_covered(tables: Tables, number: int) -> bool:
    """Whether no member may decide without the change to that version."""
    return not uncovered(tables, number)


def confirmations_needed(tables: Tables, name: str) -> int:
    """How many must say that this member's lapse is over: one clock that was stepped must not do it alone.

    Others that have lapsed count until that is over: else a leader whose clock runs wild could lapse all but itself,
    and be the only one left to ask.
    """
    others = sum(1 for other, member in members(tables).items() if other != name and not _is_expired(member))
    return max(1, min(MIN_CONFIRMATIONS, others))


def unanswered(tables: Tables, found: Version) -> list[str]:
    """Names of the members that have not said yes to a version in their present start; the lapsed are not asked."""
    return sorted(
        name
        for name, member in members(tables).items()
        if not member.expiry_index and (name not in found.verdicts or found.verdicts[name].start != member.start)
    )


def update_phase(tables: Tables, index: int) -> None:
    """Bring the version in flight into the phase that its members' words make, after any of them has changed."""
    found = in_flight(tables)
    if found is None:
        return
    phase: Phase = found.phase
    if phase in ("proposed", "checked"):
        expects_verdicts = any(not member.expiry_index for member in members(tables).values())
        phase = "checked" if expects_verdicts and not unanswered(tables, found) else "proposed"
    else:
        phase = "agreed" if is_covered(tables, found.number) else "preparing"
    if phase != found.phase:
        set_phase(tables, index, found, phase)


def _is_expired(member: Member) -> bool:
    return bool(member.expiry_index) and member.expiry_confirmed
