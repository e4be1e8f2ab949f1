"""Reads the operators' file with all files that it includes, and builds the records of its sections."""

from __future__ import annotations

import importlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tealwing.conf.grammar import Directive, Place, Problem, parse_line
from tealwing.conf.schema import Block, Report, Section, check

# Module of each section. It is imported only when a file has the section, as memory is limited.
SECTIONS = {
    "levels": "tealwing.levels.section",
    "gossip": "tealwing.gossip.section",
    "peers": "tealwing.peers.section",
    "replica": "tealwing.replica.section",
    "rules": "tealwing.rollout.section",
    "federation": "tealwing.federation.section",
}
MAX_FILES = 64  # files of one configuration, includes and the operators' file counted
MAX_FILE_BYTES = 1 << 20  # bytes of one file


class ConfError(ValueError):
    """Raised for an unusable operators' file; the message has a line for each problem."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(slots=True)
class Conf:
    """A file that was read: the record of each section, and its checked directives, from which `render` prints it."""

    path: str
    records: dict[str, Any] = field(default_factory=dict)
    blocks: dict[str, Block] = field(default_factory=dict)


def section(name: str) -> Section:
    """Import and return the section of that name."""
    found: Section = importlib.import_module(SECTIONS[name]).SECTION
    return found


def read(path: str) -> Conf:
    """Read the file at path with its includes; raise ConfError with all its problems."""
    report = Report()
    lines = _lines(Path(path), Place(path, 1), report, [])
    conf = Conf(path)
    for top in lines:
        if top.name not in SECTIONS:
            report.add(top.place, top.name, f'"{top.name}"', f"a section: {', '.join(sorted(SECTIONS))}")
        elif top.arguments:
            report.add(top.place, top.name, " ".join(top.arguments), "the section's name alone")
        elif top.name in conf.blocks:
            report.add(top.place, top.name, f"a second section {top.name}", "one section of each name")
        else:
            found = section(top.name)
            problems_before = len(report.problems)
            block = check(found.specs, top.children, top.place, top.name, report)
            conf.blocks[top.name] = block
            if len(report.problems) == problems_before:  # a record can only be built from valid directives
                conf.records[top.name] = found.build(block, report)
    for name in conf.blocks:
        if (across := section(name).across) is not None:
            across(conf.records, conf.blocks, report)
    if report.problems:
        raise ConfError(report.problems)
    return conf


def _lines(path: Path, included_at: Place, report: Report, seen: list[Path]) -> list[Directive]:
    """Return the top-level directives of a file, with the directives indented below them as children."""
    if path.resolve() in seen:
        report.add(included_at, "include", f'"{path}"', "a file that is not included already")
        return []
    seen.append(path.resolve())
    if len(seen) > MAX_FILES:
        report.add(included_at, "include", f"more than {MAX_FILES} files", f"at most {MAX_FILES}")
        return []
    text = _read_text(path, included_at, report)
    if text is None:
        return []
    top: list[Directive] = []
    open_blocks: list[Directive] = []  # the directives that enclose the current line, the outermost first
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
        _check_indent(found, siblings, bool(open_blocks), report)
        if found.name == "include":
            if len(found.arguments) != 1:
                report.add(found.place, "include", " ".join(found.arguments) or "nothing", "one path")
            else:
                inner = _lines(path.parent / found.arguments[0], found.place, report, seen)
                for item in inner:
                    item.indent = found.indent  # included directives replace the include, at its indentation
                siblings += inner
            continue
        siblings.append(found)
        open_blocks.append(found)
    return top


def _read_text(path: Path, included_at: Place, report: Report) -> str | None:
    """Return the text of a file; report a problem and return None if the file cannot be used."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode()
    except OSError as error:
        report.add(included_at, "file", f'"{path}": {error.strerror}', "a readable file")
        return None
    except UnicodeDecodeError as error:
        report.add(
            included_at, "file", f'"{path}": a byte that is not UTF-8, at offset {error.start}', "text encoded in UTF-8"
        )
        return None
    if len(data) > MAX_FILE_BYTES:
        report.add(
            included_at, "file", f'"{path}": more than {MAX_FILE_BYTES} bytes', f"at most {MAX_FILE_BYTES} bytes"
        )
        return None
    return text


def _check_indent(found: Directive, siblings: list[Directive], in_block: bool, report: Report) -> None:
    """Report a directive whose indentation differs from that of its siblings, or that is outside any section."""
    if siblings and siblings[-1].indent != found.indent:
        report.add(
            found.place,
            found.name,
            f"an indentation of {found.indent} columns",
            f"{siblings[-1].indent} columns, as in the directive before",
        )
    elif not in_block and found.indent:
        report.add(
            found.place,
            found.name,
            f"an indentation of {found.indent} columns outside a section",
            "a section first, at the left margin",
        )
