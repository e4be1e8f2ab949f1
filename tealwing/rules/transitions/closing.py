"""The close phase: members close, or their permits expire and others confirm that; pure."""

from __future__ import annotations

from msgspec.structs import replace

from tealwing.record import CommandResult
from tealwing.rules import registry_state
from tealwing.rules.coverage import confirmations_needed, update_phase
from tealwing.rules.records import Close, Closed, ConfirmExpiry, ExpirePermit
from tealwing.rules.registry_state import Tables, accept, reject
from tealwing.rules.transitions.membership import remove


def close(tables: Tables, index: int, body: Close) -> CommandResult:
    """Start the close phase of a checked version: each member closes as it applies this entry."""
    found = registry_state.version(tables, body.number)
    if found is None or found.phase != "checked":
        return reject(index, _wrong_phase(body.number, found.phase if found else "unknown", "checked"), body.number)
    registry_state.set_phase(tables, index, found, "preparing")
    update_phase(tables, index)
    return accept(index, body.number)


def closed(tables: Tables, index: int, body: Closed) -> CommandResult:
    """Record that a member has closed for a version and has persisted its marker."""
    found = registry_state.version(tables, body.number)
    if found is None or found.phase not in ("preparing", "agreed"):
        return reject(index, _wrong_phase(body.number, found.phase if found else "unknown", "preparing"), body.number)
    member = registry_state.members(tables).get(body.member)
    if member is None or member.start != body.start:
        return reject(index, f"{body.member} has not begun in that start: begin first", body.number)
    registry_state.members(tables)[body.member] = replace(member, closed_for=body.number)
    update_phase(tables, index)
    return accept(index, body.number)


def expire_permit(tables: Tables, index: int, body: ExpirePermit) -> CommandResult:
    """Expire a member's permits: none is given for its start after this entry, and earlier ones run out."""
    member = registry_state.members(tables).get(body.member)
    if member is None or member.start != body.start or member.expiry_index:
        return reject(index, f"{body.member} has not begun in that start, or it has lapsed already")
    if member.partition_mode != "hold":
        return reject(index, f"{body.member} serves on when it is cut off: it has no permit that could lapse")
    registry_state.members(tables)[body.member] = replace(
        member, expiry_index=index, confirmed_by=(), expiry_confirmed=False
    )
    update_phase(tables, index)
    return accept(index, index)


def confirm_expiry(tables: Tables, index: int, body: ConfirmExpiry) -> CommandResult:
    """Record that a member's permits have expired by another member's clock; see coverage.confirmations_needed."""
    table = registry_state.members(tables)
    member, other = table.get(body.member), table.get(body.confirmed_by)
    if member is None or not member.expiry_index or member.expiry_index != body.expiry_index:
        return reject(index, f"{body.member} has no lapse at {body.expiry_index}")
    if other is None or other.expiry_index or body.confirmed_by == body.member:
        return reject(index, f"{body.confirmed_by} is no other member, or has lapsed itself: its clock is not asked")
    if member.expiry_confirmed or body.confirmed_by in member.confirmed_by:
        return accept(index, index)
    confirmed_by = (*member.confirmed_by, body.confirmed_by)
    member = replace(
        member,
        confirmed_by=confirmed_by,
        expiry_confirmed=len(confirmed_by) >= confirmations_needed(tables, body.member),
    )
    table[body.member] = member
    if member.expiry_confirmed and member.leaving:
        remove(tables, index, body.member)
    update_phase(tables, index)
    return accept(index, index)


def _wrong_phase(number: int, phase: str, required: str) -> str:
    return f"version {number} is {phase}, not {required}"
