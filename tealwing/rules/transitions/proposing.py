"""Proposals of new versions, and the members' verdicts on them; pure."""

from __future__ import annotations

from msgspec.structs import replace

from tealwing.record import CommandResult
from tealwing.rules import registry_state
from tealwing.rules.coverage import update_phase
from tealwing.rules.records import Facts, Propose, RecordedVerdict, Verdict, Version, digest
from tealwing.rules.registry_state import Tables, accept, reject


def propose(tables: Tables, index: int, body: Propose) -> CommandResult:
    """Store a new version; rejected if another is in flight or its parent is not the version in force."""
    current = registry_state.facts(tables)
    if digest(body.text) != body.digest:
        return reject(index, f"the text's digest is not {body.digest}: it was changed on its way; propose it again")
    if body.parent != current.active_number:
        active = registry_state.active(tables)
        description = registry_state.describe(active) if active else "none"
        return reject(index, f"made from version {body.parent}, but in force is {description}; look at it, and propose"
                         " what you want with that as the parent", current.active_number)  # fmt: skip
    in_flight = registry_state.in_flight(tables)
    if in_flight is not None:
        return reject(
            index,
            f"{registry_state.describe(in_flight)} is {in_flight.phase}; wait for its end, or withdraw it",
            in_flight.number,
        )
    if body.federated != bool(body.number):
        return reject(index, "a number is given by the federation's log and by nobody else", current.last_number)
    number = body.number or current.last_number + 1
    if number <= current.last_number and not _is_retried(tables, body):
        return reject(
            index, f"number {number} was given already; {current.last_number} is the last", current.last_number
        )
    registry_state.put(
        tables,
        Version(
            number,
            body.parent,
            body.digest,
            body.text,
            body.author,
            body.created_ms,
            body.reason,
            "proposed",
            index,
            index,
            body.federated,
            body.min_build,
        ),
    )
    tables["rule_facts"]["now"] = Facts(max(number, current.last_number), current.active_number)
    registry_state.trim(tables)
    return accept(index, number)


def _is_retried(tables: Tables, body: Propose) -> bool:
    """Return whether this repeats a federated version that a member of this site rejected.

    Other sites may have it in force; it is proposed again with the same text until that member accepts it.
    """
    before = registry_state.version(tables, body.number)
    return (
        before is not None
        and before.federated
        and before.phase == "rejected"
        and before.text == body.text
        and body.number > registry_state.facts(tables).active_number
    )


def verdict(tables: Tables, index: int, body: Verdict) -> CommandResult:
    """Record a member's verdict: one rejection ends the version; it is checked once all members accept."""
    found = registry_state.version(tables, body.number)
    if found is None:
        return reject(index, f"there is no version {body.number}")
    if found.phase not in ("proposed", "checked"):
        return reject(index, f"version {body.number} is {found.phase}", body.number)
    member = registry_state.members(tables).get(body.member)
    if member is None or member.start != body.start or member.expiry_index:
        return reject(index, f"{body.member} has not begun in that start, or it has lapsed: begin first", body.number)
    able = member.build >= found.min_build
    reason = (
        body.reason if able or not body.accepted else f"it needs build {found.min_build}, and this is {member.build}"
    )
    found = replace(
        found, verdicts={**found.verdicts, body.member: RecordedVerdict(body.start, body.accepted and able, reason)}
    )
    if body.accepted and able:
        registry_state.put(tables, found)
        update_phase(tables, index)
    else:
        registry_state.set_phase(tables, index, found, "rejected", f"{body.member}: {reason}")
    return accept(index, body.number)
