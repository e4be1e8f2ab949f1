"""Specifies the directives that a section may contain, and checks a block of directives against them; pure."""

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
    usage: str  # the arguments, as the manual prints them
    help: str
    read: values.ArgumentReader
    default: str = ""  # arguments as a file would write them; empty: no default
    many: bool = False  # whether the directive may occur more than once
    needed: bool = False  # whether the directive must occur
    children: tuple[Spec, ...] = ()


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the operators' file, which configures one subsystem."""

    name: str
    help: str
    specs: tuple[Spec, ...]
    build: Callable[[Block, Report], Any]  # builds the subsystem's record; problems go to the report
    # checks the section against the others, after each was checked alone; takes all records and blocks by section
    across: Callable[[Mapping[str, Any], Mapping[str, Block], Report], None] | None = None


@dataclass(slots=True)
class Entry:
    """One checked directive: its value, its arguments as given in the file or by default, and its place."""

    value: Any
    arguments: tuple[str, ...]
    place: Place
    block: Block | None = None
    given: bool = True  # False: the entry is a default


@dataclass(slots=True)
class Block:
    """The checked directives of one section, or of one directive with directives indented below it."""

    entries: dict[str, list[Entry]] = field(default_factory=dict)

    def one(self, name: str) -> Any:
        """Return the value of a directive that may occur once; None where it is absent."""
        found = self.entries.get(name)
        return found[0].value if found else None

    def all(self, name: str) -> list[Entry]:
        """Return all entries of a directive that may occur more than once."""
        return self.entries.get(name, [])

    def place(self, name: str, other: Place) -> Place:
        """Return the place of a directive, or `other` if the directive is absent."""
        found = self.entries.get(name)
        return found[0].place if found else other


class Report:
    """Collects all problems found while a file is read."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def add(self, place: Place, directive: str, found: str, allowed: str) -> None:
        """Add one problem."""
        self.problems.append(Problem(place, directive, found, allowed))


def check(specs: tuple[Spec, ...], lines: list[Directive], place: Place, parent: str, report: Report) -> Block:
    """Return the block that some lines form, with defaults for absent directives; problems go to the report."""
    block, known = Block(), {spec.name: spec for spec in specs}
    for line in lines:
        spec = known.get(line.name)
        if spec is None:
            report.add(line.place, f"{parent} {line.name}".strip(), f'"{line.name}"', _names(known))
            continue
        if spec.name in block.entries and not spec.many:
            first = block.entries[spec.name][0].place
            report.add(line.place, line.name, f"a second {line.name}", f"one; the first is at {first}")
            continue
        if line.children and not spec.children:
            report.add(line.children[0].place, line.name, "indented lines below it", "no lines below this directive")
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
    _add_defaults(specs, block, place, parent, report)
    return block


def _names(known: dict[str, Spec]) -> str:
    return ", ".join(sorted(known)) or "nothing"


def _add_defaults(specs: tuple[Spec, ...], block: Block, place: Place, parent: str, report: Report) -> None:
    """Add the defaults of absent directives; report absent directives that are required."""
    for spec in specs:
        if spec.name in block.entries:
            continue
        if spec.needed:
            report.add(place, parent, f"no {spec.name}", f"{spec.name} {spec.usage}")
        elif spec.default:
            arguments = tuple(spec.default.split())
            block.entries[spec.name] = [Entry(spec.read(arguments), arguments, place, given=False)]
