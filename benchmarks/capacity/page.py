"""Generates the tables of docs/CAPACITY.md from the committed runs and detects tables that differ from the runs.

    python -m benchmarks.capacity.page

Each table stands between two comments, `<!-- table NAME -->` and `<!-- end -->`; the text around them is written by
hand.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from benchmarks.capacity import rows
from benchmarks.capacity.records import Measured, Run, Series

ROOT = Path(__file__).parent.parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RUNS = Path(__file__).parent / "runs"
_TABLE = re.compile(r"(<!-- table (\S+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)


def runs() -> dict[str, Run]:
    """The committed runs by file name without its ending."""
    return {path.stem: msgspec.json.decode(path.read_bytes(), type=Run) for path in sorted(RUNS.glob("*.json"))}


def slopes(found: dict[str, Run]) -> Iterator[tuple[str, Measured]]:
    """All slopes of all runs, each with the name of its run."""
    for name, run in found.items():
        for measured in run.slopes:
            yield name, measured


def table(name: str, found: dict[str, Run]) -> str:
    """The Markdown text of a table; raises KeyError for an unknown table name."""
    makers = {"runs": _runs, "slopes": _slopes, "roles": _roles, "ranking": _ranking, "calibration": _calibration}
    return makers[name](found)


def differences() -> list[str]:
    """Names of the tables that differ from the runs or are missing from the page."""
    text, found = PAGE.read_text(), runs()
    present = {match[2]: match[3] for match in _TABLE.finditer(text)}
    expected = {"runs", "slopes", "roles", "ranking", "calibration"}
    return sorted(expected - present.keys()) + [name for name, body in present.items() if body != table(name, found)]


def write() -> None:
    """Replace all tables of the page with those generated from the runs."""
    found = runs()
    PAGE.write_text(_TABLE.sub(lambda match: match[1] + table(match[2], found) + match[4], PAGE.read_text()))


def _lines(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *body]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"


def _runs(found: dict[str, Run]) -> str:
    body = [
        (
            name, run.commit + (" and changes" if run.dirty else ""), str(run.seed), str(run.processors),
            f"{run.reference_us:.0f}, {run.reference_us_after:.0f}", ", ".join(one.slope for one in run.slopes),
        )
        for name, run in found.items()
    ]  # fmt: skip
    return _lines(("run", "commit", "seed", "processors", "reference loop, us, before and after", "slopes"), body)


def _fitted(series: Series) -> tuple[str, str]:
    fit = series.fit
    if fit is None:
        return "none", ""
    text = f"{fit.term}: {_number(fit.constant)}"
    if fit.term != "constant":
        text += f" + {fit.factor:.4g} x"
    return f"{text}, residual {fit.residual:.1%}", f"{fit.held_out_error:+.1%}" + (", **bent**" if fit.bent else "")


def _slopes(found: dict[str, Run]) -> str:
    body = []
    for name, measured in slopes(found):
        if measured.slope == "calibration":
            continue
        for series in measured.series:
            ordered = sorted(series.points, key=lambda point: point.size)
            values = ", ".join(f"{point.size:,}: {_number(point.value)}" for point in ordered)
            fitted, error = _fitted(series)
            body.append((measured.slope, f"{series.name}, {series.unit}", values, fitted, error, name))
    head = ("slope", "quantity", "measured, by size", "fit but for the largest", "error at the largest", "run")
    return _lines(head, body)


def _roles(found: dict[str, Run]) -> str:
    body = [
        (row.role, row.quantity, row.at_size(), row.limit_text(), row.margin(), row.basis, row.mechanism, row.run)
        for row in rows.roles(list(slopes(found)))
    ]
    head = ("role", "quantity", "at the coming size", "limit", "margin", "basis", "carried by", "run")
    return _lines(head, body)


def _ranking(found: dict[str, Run]) -> str:
    ranked = rows.ranking(list(slopes(found)))
    body = [
        (str(place), row.role, row.quantity, row.at_size(), row.limit_text(), row.margin(), row.answer)
        for place, row in enumerate(ranked, 1)
    ]
    return _lines(("", "role", "quantity", "need", "limit", "limit over need", "mechanisms weighed"), body)


def _calibration(found: dict[str, Run]) -> str:
    body = []
    for name, measured in slopes(found):
        if measured.slope != "calibration":
            continue
        for series in measured.series:
            hollow, real = (point.value for point in series.points)
            quantity = series.name.removesuffix(", hollow and real")
            body.append((quantity, _number(hollow), _number(real), f"{hollow / real:.3f}", name))
    return _lines(("role and quantity", "hollow", "real", "hollow over real", "run"), body)


if __name__ == "__main__":
    write()
    sys.exit(0)
