"""Membership: members join at their start, and leave when an operator removes them; pure."""

from __future__ import annotations

from msgspec.structs import replace

from tealwing.record import CommandResult
from tealwing.rules import registry_state
from tealwing.rules.coverage import update_phase
from tealwing.rules.records import Begin, Forget, Member
from tealwing.rules.registry_state import Tables, accept, reject

MAX_MEMBERS = 1100  # the limit of the section `peers`


def begin(tables: Tables, index: int, body: Begin) -> CommandResult:
    """Record a member's new start; reports of its previous start no longer count.

    In both modes the member must report again that it has closed: this entry may arrive late from a process that has
    ended, while its successor holds a permit given earlier.
    """
    table = registry_state.members(tables)
    before = table.get(body.member)
    present = before.start if before else 0
    if before is not None and present == body.start:  # a duplicate command
        return (
            reject(index, "that start has lapsed: begin with another", present)
            if before.expiry_index
            else accept(index, index)
        )
    if body.replaces != present:
        return reject(
            index, f"{body.member} is there with the start {present}, not {body.replaces}: name that", present
        )
    if before is None and len(table) >= MAX_MEMBERS:
        return reject(index, f"{MAX_MEMBERS} members already; forget those that are gone")
    in_flight = registry_state.in_flight(tables)
    for found in (registry_state.active(tables), in_flight):
        # a version that is only proposed is rejected by the member's verdict
        if found is not None and found.phase != "proposed" and found.min_build > body.build:
            return reject(
                index,
                f"version {found.number} of the rules needs build {found.min_build}, and {body.member} is"
                f" build {body.build}: install that one or a newer one",
                present,
            )
    table[body.member] = Member(body.start, body.partition_mode, body.build, body.permit, index)
    _discard_verdict(tables, body.member)
    update_phase(tables, index)
    return accept(index, index)


def forget(tables: Tables, index: int, body: Forget) -> CommandResult:
    """Remove a member: immediately if an operator confirms that it is off, else once its permits have expired."""
    table = registry_state.members(tables)
    member = table.get(body.member)
    if member is None:
        return reject(index, f"there is no member {body.member}")
    if body.switched_off or (member.expiry_index and member.expiry_confirmed):
        remove(tables, index, body.member)
    elif member.partition_mode == "serve":
        return reject(
            index, f"{body.member} serves on when it is cut off: switch it off for good, then forget it with off"
        )
    else:
        table[body.member] = replace(member, expiry_index=member.expiry_index or index, leaving=True)
        update_phase(tables, index)
    return accept(index, index)


def remove(tables: Tables, index: int, name: str) -> None:
    """Delete a member and its verdict."""
    del registry_state.members(tables)[name]
    _discard_verdict(tables, name)
    update_phase(tables, index)


def _discard_verdict(tables: Tables, name: str) -> None:
    """Delete a member's verdict on the version in flight."""
    in_flight = registry_state.in_flight(tables)
    if in_flight is not None and name in in_flight.verdicts:
        registry_state.put(
            tables,
            replace(in_flight, verdicts={who: verdict for who, verdict in in_flight.verdicts.items() if who != name}),
        )
