"""Between the old rules and the new: members close, or lapse until that is surely over; pure."""

from __future__ import annotations

from msgspec.structs import replace

from tealwing.record import CommandResult
from tealwing.rules import kept
from tealwing.rules.cover import settle, witnesses_needed
from tealwing.rules.kept import Tables, no, yes
from tealwing.rules.members import remove
from tealwing.rules.records import Close, Closed, Lapse, Witness


def close(tables: Tables, index: int, body: Close) -> CommandResult:
    """Every member closes as it applies this."""
    found = kept.version(tables, body.number)
    if found is None or found.phase != "checked":
        return no(index, _not(body.number, found.phase if found else "unknown", "checked"), body.number)
    kept.turn(tables, index, found, "preparing")
    settle(tables, index)
    return yes(index, body.number)


def closed(tables: Tables, index: int, body: Closed) -> CommandResult:
    """A member has closed, and its disk says so."""
    found = kept.version(tables, body.number)
    if found is None or found.phase not in ("preparing", "agreed"):
        return no(index, _not(body.number, found.phase if found else "unknown", "preparing"), body.number)
    member = kept.members(tables).get(body.member)
    if member is None or member.start != body.start:
        return no(index, f"{body.member} has not begun in that start: begin first", body.number)
    kept.members(tables)[body.member] = replace(member, closed=body.number)
    settle(tables, index)
    return yes(index, body.number)


def lapse(tables: Tables, index: int, body: Lapse) -> CommandResult:
    """No permit of that start is given after this entry; those given before run out."""
    member = kept.members(tables).get(body.member)
    if member is None or member.start != body.start or member.lapsed:
        return no(index, f"{body.member} has not begun in that start, or it has lapsed already")
    if member.lost_touch != "hold":
        return no(index, f"{body.member} serves on when it is cut off: it has no permit that could lapse")
    kept.members(tables)[body.member] = replace(member, lapsed=index, witnesses=(), over=False)
    settle(tables, index)
    return yes(index, index)


def witness(tables: Tables, index: int, body: Witness) -> CommandResult:
    """By another member's clock, what was given before a lapse is over; two must say so, where there are two."""
    table = kept.members(tables)
    member, other = table.get(body.member), table.get(body.by)
    if member is None or not member.lapsed or member.lapsed != body.lapse:
        return no(index, f"{body.member} has no lapse at {body.lapse}")
    if other is None or other.lapsed or body.by == body.member:
        return no(index, f"{body.by} is no other member, or has lapsed itself: its clock is not asked")
    if member.over or body.by in member.witnesses:
        return yes(index, index)
    told = (*member.witnesses, body.by)
    member = replace(member, witnesses=told, over=len(told) >= witnesses_needed(tables, body.member))
    table[body.member] = member
    if member.over and member.leaving:
        remove(tables, index, body.member)
    settle(tables, index)
    return yes(index, index)


def _not(number: int, phase: str, wanted: str) -> str:
    return f"version {number} is {phase}, not {wanted}"
