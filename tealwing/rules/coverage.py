"""Coverage of a change: whether any member may still decide under the old version; pure.

A member is covered once it has closed in its present start, or once its permits are confirmed to have expired.
"""

from __future__ import annotations

from tealwing.rules.records import Member, Phase, Version
from tealwing.rules.registry_state import Tables, in_flight, members, set_phase

MIN_CONFIRMATIONS = 2  # members whose clocks must confirm an expiry, if the fleet has as many other members


def uncovered(tables: Tables, number: int) -> list[str]:
    """Return the names of the members that may still decide under an older version."""
    return sorted(
        name for name, member in members(tables).items() if member.closed_for != number and not _is_expired(member)
    )


def is_covered(tables: Tables, number: int) -> bool:
    """Return whether no member may decide under an older version."""
    return not uncovered(tables, number)


def confirmations_needed(tables: Tables, name: str) -> int:
    """Return how many members must confirm this member's expiry, so that no single wrong clock decides it.

    Members whose own expiry is unconfirmed count too: otherwise a leader with a wrong clock could expire all other
    members and remain the only one to confirm.
    """
    others = sum(1 for other, member in members(tables).items() if other != name and not _is_expired(member))
    return max(1, min(MIN_CONFIRMATIONS, others))


def unanswered(tables: Tables, found: Version) -> list[str]:
    """Return the names of the members without a verdict in their present start; expired members need none."""
    return sorted(
        name
        for name, member in members(tables).items()
        if not member.expiry_index and (name not in found.verdicts or found.verdicts[name].start != member.start)
    )


def update_phase(tables: Tables, index: int) -> None:
    """Set the phase of the version in flight from the members' reports; call it after any report has changed."""
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
