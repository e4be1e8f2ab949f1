"""What a section may hold, and the check of a block of directives against that; pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from tealwing.conf import values
from tealwing.conf.grammar import Directive, Place, Problem, quoted


@dataclass(frozen=True, slots=True)
class Spec:
    """One directive: how it is written, what it means, and how its arguments are read."""

    name: str
    usage: str  # of its arguments, as the manual prints it
    help: str
    read: values.ArgumentReader
    default: str = ""  # as a file would write it; empty: there is none
    many: bool = False  # whether it may stand more than once
    needed: bool = False
    children: tuple[Spec, ...] = ()


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the file, which belongs to one subsystem."""

    name: str
    help: str
    specs: tuple[Spec, ...]
    build: Callable[[Block, Report], Any]  # the subsystem's own record; problems go to the report
    # what it contradicts in other sections: all records and blocks by section, once each stands by itself
    across: Callable[[Mapping[str, Any], Mapping[str, Block], Report], None] | None = None


@dataclass(slots=True)
class Entry:
    """One directive that holds: its value, its words as written or by default, and where it stands."""

    value: Any
    arguments: tuple[str, ...]
    place: Place
    block: Block | None = None
    given: bool = True


@dataclass(slots=True)
class Block:
    """The checked directives of one section, or of one directive with lines of its own."""

    entries: dict[str, list[Entry]] = field(default_factory=dict)

    def one(self, name: str) -> Any:
        """The value of a directive that stands once at most; None where it is absent."""
        found = self.entries.get(name)
        return found[0].value if found else None

    def all(self, name: str) -> list[Entry]:
        """All of a directive that may stand more than once."""
        return self.entries.get(name, [])

    def place(self, name: str, other: Place) -> Place:
        """Where a directive stands, or the other where it is absent."""
        found = self.entries.get(name)
        return found[0].place if found else other


class Report:
    """All problems of one reading."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def add(self, place: Place, directive: str, found: str, allowed: str) -> None:
        """Note one problem."""
        self.problems.append(Problem(place, directive, found, allowed))


def check(specs: tuple[Spec, ...], lines: list[Directive], place: Place, parent: str, report: Report) -> Block:
    """The block that some lines make. Absent directives get their defaults; what is wrong is reported."""
    block, known = Block(), {spec.name: spec for spec in specs}
    for line in lines:
        spec = known.get(line.name)
        if spec is None:
            report.add(line.place, f"{parent} {line.name}".strip(), f'"{line.name}"', _names(known))
            continue
        if spec.name in block.entries and not spec.many:
            first = block.entries[spec.name][0].place
            report.add(line.place, line.name, f"a second {line.name}", f"one, and {first} has it")
            continue
        if line.children and not spec.children:
            report.add(line.children[0].place, line.name, "indented lines below it", "none there")
        try:
            value = spec.read(line.arguments)
        except values.InvalidValueError as error:
            found = " ".join(map(quoted, line.arguments)) or "nothing"
            allowed = f"{error}; {spec.name} {spec.usage}".rstrip() if spec.usage else str(error)
            report.add(line.place, line.name, found, allowed)
            value = None
        entry = Entry(value, line.arguments, line.place)
        if spec.children:
            entry.block = check(spec.children, line.children, line.place, line.name, report)
        block.entries.setdefault(spec.name, []).append(entry)
    for spec in specs:
        if spec.name in block.entries:
            continue
        if spec.needed:
            report.add(place, parent, f"no {spec.name}", f"{spec.name} {spec.usage}")
        elif spec.default:
            arguments = tuple(spec.default.split())
            block.entries[spec.name] = [Entry(spec.read(arguments), arguments, place, given=False)]
    return block


def _names(known: dict[str, Spec]) -> str:
    return ", ".join(sorted(known)) or "nothing"
