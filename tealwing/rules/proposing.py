"""New versions, and what members say of them; pure."""

from __future__ import annotations

from msgspec.structs import replace

from tealwing.record import CommandResult
from tealwing.rules import history, kept
from tealwing.rules.cover import update_phase
from tealwing.rules.digests import digest
from tealwing.rules.kept import Tables, accept, reject
from tealwing.rules.records import Facts, Propose, RecordedVerdict, Verdict, Version


def propose(tables: Tables, index: int, body: Propose) -> CommandResult:
    """Take a version up. Refused where another is in flight, or it was made from one that is not in force."""
    now = kept.facts(tables)
    if digest(body.text) != body.digest:
        return reject(index, f"the text's digest is not {body.digest}: it was changed on its way; propose it again")
    if body.parent != now.active:
        active = kept.active(tables)
        whose = kept.describe(active) if active else "none"
        return reject(index, f"made from version {body.parent}, but in force is {whose}; look at it, and propose"
                         " what you want with that as the parent", now.active)  # fmt: skip
    in_flight = kept.in_flight(tables)
    if in_flight is not None:
        return reject(
            index,
            f"{kept.describe(in_flight)} is {in_flight.phase}; wait for its end, or withdraw it",
            in_flight.number,
        )
    if body.federated != bool(body.number):
        return reject(index, "a number is given by the federation's log and by nobody else", now.last)
    number = body.number or now.last + 1
    if number <= now.last and not _is_retried(tables, body):
        return reject(index, f"number {number} was given already; {now.last} is the last", now.last)
    kept.put(tables, Version(
        number, body.parent, body.digest, body.text, body.who, body.when, body.why, "proposed", index, index,
        body.federated, body.needs,
    ))  # fmt: skip
    tables["rule_facts"]["now"] = Facts(max(number, now.last), now.active)
    history.trim(tables)
    return accept(index, number)


def _is_retried(tables: Tables, body: Propose) -> bool:
    """Whether it is the federation's version that a member here has rejected: elsewhere it may be in force.

    It comes up again once the member is mended. Its text stays what it was.
    """
    before = kept.version(tables, body.number)
    return (
        before is not None
        and before.federated
        and before.phase == "rejected"
        and before.text == body.text
        and body.number > kept.facts(tables).active
    )


def verdict(tables: Tables, index: int, body: Verdict) -> CommandResult:
    """A member's word. One no ends it; when all have said yes, it is checked."""
    found = kept.version(tables, body.number)
    if found is None:
        return reject(index, f"there is no version {body.number}")
    if found.phase not in ("proposed", "checked"):
        return reject(index, f"version {body.number} is {found.phase}", body.number)
    member = kept.members(tables).get(body.member)
    if member is None or member.start != body.start or member.expiry_index:
        return reject(index, f"{body.member} has not begun in that start, or it has lapsed: begin first", body.number)
    able = member.build >= found.needs
    reason = body.reason if able or not body.yes else f"it needs build {found.needs}, and this is {member.build}"
    found = replace(
        found, verdicts={**found.verdicts, body.member: RecordedVerdict(body.start, body.yes and able, reason)}
    )
    if body.yes and able:
        kept.put(tables, found)
        update_phase(tables, index)
    else:
        kept.set_phase(tables, index, found, "rejected", f"{body.member}: {reason}")
    return accept(index, body.number)
