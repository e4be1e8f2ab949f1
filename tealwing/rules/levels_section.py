"""Parse the service levels of a bundle: a section in the grammar of the operators' file; pure.

The section may not include files, as those could differ between gateways.
"""

from __future__ import annotations

from tealwing.conf.grammar import Directive, Place, Problem, parse_line
from tealwing.conf.schema import Report, check
from tealwing.levels.plan import Plan
from tealwing.levels.section import SECTION
from tealwing.rules.errors import InvalidLevelsError

FILE = "levels"  # file name in error messages


def parse_levels(text: str) -> Plan:
    """Parse the line `levels` and the lines indented below it. Raises InvalidLevelsError for the first fault."""
    report = Report()
    top_level = _nested(text, report)
    _raise_first_problem(report)
    if len(top_level) != 1 or top_level[0].name != SECTION.name or top_level[0].arguments:
        raise InvalidLevelsError(
            f"{FILE}:1", f"{len(top_level)} top-level lines; allowed: only `levels`, with the rest indented below it"
        )
    block = check(SECTION.specs, top_level[0].children, top_level[0].place, SECTION.name, report)
    _raise_first_problem(report)
    found: Plan = SECTION.build(block, report)
    _raise_first_problem(report)
    return found


def _nested(text: str, report: Report) -> list[Directive]:
    """Return the top-level lines with the lines indented below them as their children."""
    top: list[Directive] = []
    outer: list[Directive] = []  # the enclosing lines, by depth
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


def _raise_first_problem(report: Report) -> None:
    for problem in report.problems:
        what = f"{problem.directive}: found {problem.found}; allowed: {problem.allowed}"
        raise InvalidLevelsError(str(problem.place), what)
