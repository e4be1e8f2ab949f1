"""Reads the operators' file with all that it includes, and builds the records of its sections."""

from __future__ import annotations

import importlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tealwing.conf.grammar import Directive, Place, Problem, parse_line
from tealwing.conf.schema import Block, Report, Section, check

# A section's module is imported when a file has the section, and not before: memory is short.
SECTIONS = {
    "levels": "tealwing.levels.section",
    "gossip": "tealwing.gossip.section",
    "peers": "tealwing.peers.section",
    "replica": "tealwing.replica.section",
    "rules": "tealwing.rollout.section",
    "federation": "tealwing.federation.section",
}
MAX_FILES = 64  # files that one file may include, in all
MAX_FILE_BYTES = 1 << 20  # bytes of one file


class ConfError(ValueError):
    """A file that can't be used; its text has a line for each problem."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(slots=True)
class Conf:
    """A file that was read: the records by section, and what each section holds, for showing it."""

    path: str
    records: dict[str, Any] = field(default_factory=dict)
    blocks: dict[str, Block] = field(default_factory=dict)


def section(name: str) -> Section:
    """The section of that name."""
    found: Section = importlib.import_module(SECTIONS[name]).SECTION
    return found


def read(path: str) -> Conf:
    """The file at path. ConfError with every problem that it has; nothing of a bad file holds."""
    report = Report()
    lines = _lines(Path(path), Place(path, 1), report, [])
    conf = Conf(path)
    for top in lines:
        if top.name not in SECTIONS:
            report.add(top.place, top.name, f'"{top.name}"', f"a section: {', '.join(sorted(SECTIONS))}")
        elif top.arguments:
            report.add(top.place, top.name, " ".join(top.arguments), "the section's name alone")
        elif top.name in conf.blocks:
            report.add(top.place, top.name, f"a second section {top.name}", "one")
        else:
            what = section(top.name)
            before = len(report.problems)
            block = check(what.specs, top.children, top.place, top.name, report)
            conf.blocks[top.name] = block
            if len(report.problems) == before:  # what does not stand by itself can't be held together
                conf.records[top.name] = what.build(block, report)
    for name in conf.blocks:
        if (across := section(name).across) is not None:
            across(conf.records, conf.blocks, report)
    if report.problems:
        raise ConfError(report.problems)
    return conf


def _lines(path: Path, included_at: Place, report: Report, seen: list[Path]) -> list[Directive]:
    """The directives at the left margin of a file, those below them as their children."""
    if path.resolve() in seen:
        report.add(included_at, "include", f'"{path}"', "a file that is not included already")
        return []
    seen.append(path.resolve())
    if len(seen) > MAX_FILES:
        report.add(included_at, "include", f"more than {MAX_FILES} files", f"at most {MAX_FILES}")
        return []
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode()
    except OSError as error:
        report.add(included_at, "file", f'"{path}": {error.strerror}', "a file that can be read")
        return []
    except UnicodeDecodeError as error:
        report.add(included_at, "file", f"a byte that is no UTF-8 at {error.start}", "text in UTF-8")
        return []
    if len(data) > MAX_FILE_BYTES:
        report.add(included_at, "file", f"more than {MAX_FILE_BYTES} bytes", f"at most {MAX_FILE_BYTES} bytes")
        return []
    top: list[Directive] = []
    open_blocks: list[Directive] = []  # from the margin inwards
    for number, raw in enumerate(text.splitlines(), 1):
        found = parse_line(raw, Place(str(path), number))
        if found is None:
            continue
        if isinstance(found, Problem):
            report.problems.append(found)
            continue
        while open_blocks and open_blocks[-1].indent >= found.indent:
            open_blocks.pop()
        siblings = open_blocks[-1].children if open_blocks else top
        if siblings and siblings[-1].indent != found.indent:
            report.add(
                found.place,
                found.name,
                f"an indentation of {found.indent}",
                f"{siblings[-1].indent}, as its neighbours have",
            )
        elif not open_blocks and found.indent:
            report.add(found.place, found.name, f"an indentation of {found.indent}", "a section first")
        if found.name == "include":
            if len(found.arguments) != 1:
                report.add(found.place, "include", " ".join(found.arguments) or "nothing", "one path")
            else:
                inner = _lines(path.parent / found.arguments[0], found.place, report, seen)
                for item in inner:
                    item.indent = found.indent  # they stand where the include stands
                siblings += inner
            continue
        siblings.append(found)
        open_blocks.append(found)
    return top
