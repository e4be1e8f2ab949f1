"""The service levels in a bundle: a section of the operators' file, by the same grammar; pure.

Read from the text alone: it may not include files, as those could differ from gateway to gateway.
"""

from __future__ import annotations

from tealwing.conf.grammar import Directive, Place, Problem, parse_line
from tealwing.conf.schema import Report, check
from tealwing.levels.plan import Plan
from tealwing.levels.section import SECTION
from tealwing.rules.errors import BadLevels

FILE = "levels"  # stands for a file's name in what is told


def plan(text: str) -> Plan:
    """The plan of a text: the section's name, and its lines indented below it. BadLevels for the first fault."""
    report = Report()
    tops = _nested(text, report)
    _tell(report)
    if len(tops) != 1 or tops[0].name != SECTION.name or tops[0].arguments:
        raise BadLevels(f"{FILE}:1", f"{len(tops)} lines at the margin; allowed: the line `levels`, the rest below it")
    block = check(SECTION.specs, tops[0].children, tops[0].place, SECTION.name, report)
    _tell(report)
    found: Plan = SECTION.build(block, report)
    _tell(report)
    return found


def _nested(text: str, report: Report) -> list[Directive]:
    """The lines at the margin, those below them as their children."""
    top: list[Directive] = []
    outer: list[Directive] = []  # from the margin inwards
    for number, raw in enumerate(text.splitlines(), 1):
        found = parse_line(raw, Place(FILE, number))
        if found is None:
            continue
        if isinstance(found, Problem):
            report.problems.append(found)
            continue
        while outer and outer[-1].indent >= found.indent:
            outer.pop()
        siblings = outer[-1].children if outer else top
        if siblings and siblings[-1].indent != found.indent:
            report.add(found.place, found.name, f"an indentation of {found.indent}", f"{siblings[-1].indent}")
        siblings.append(found)
        outer.append(found)
    return top


def _tell(report: Report) -> None:
    for problem in report.problems:
        what = f"{problem.directive}: found {problem.found}; allowed: {problem.allowed}"
        raise BadLevels(str(problem.place), what)
