"""The operators' file: reading reports all errors with their places, and no part of an invalid file takes effect."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tealwing.conf import reader, render, values
from tealwing.conf.grammar import Directive, Place, Problem, parse_line, quoted
from tealwing.conf.reader import ConfError

ROOT = Path(__file__).parent.parent
GOOD = """\
# service levels
levels
    window 2s      # a comment after a directive
    level fewer
        enter when fleet.load > 1.8 or (class.lookup.late > 20% and own.lag > 50ms) for 1s
        exit when fleet.load < 1.2 and class.lookup.late < 5% for 5s
        admit report 20%..100%
"""


def problems(tmp_path: Path, text: str | bytes) -> list[Problem]:
    """Return the problems that the reader reports for an invalid file with this text."""
    path = tmp_path / "t.conf"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    with pytest.raises(ConfError) as caught:
        reader.read(str(path))
    return caught.value.problems


def test_valid_file_gives_the_records_of_its_section(tmp_path: Path) -> None:
    path = tmp_path / "t.conf"
    path.write_text(GOOD)
    plan = reader.read(str(path)).records["levels"]
    (level,) = plan.levels
    assert (plan.window, plan.interval, level.timings.name, level.timings.min_stay) == (2.0, 0.25, "fewer", 60.0)
    assert level.admitted_shares == {"report": (0.2, 1.0)} and len(level.enter.products) == 2


def test_show_prints_a_file_with_the_same_records(tmp_path: Path) -> None:
    path = tmp_path / "t.conf"
    path.write_text(GOOD)
    first = reader.read(str(path))
    path.write_text(render.show(first))
    assert reader.read(str(path)).records == first.records


def test_deployed_file_is_valid_and_the_page_has_the_manual() -> None:
    assert reader.read(str(ROOT / "deploy" / "tealwing.conf"))
    page = (ROOT / "docs" / "configuration.md").read_text()
    assert render.manual() in page, "docs/configuration.md must contain the output of `tealwing config manual`"


def test_all_errors_of_a_file_are_reported_with_their_places(tmp_path: Path) -> None:
    found = problems(
        tmp_path,
        """\
levels
    window fast
    every 1s 2s
    Level x
    level a
        enter when fleet.lode > 1 for 1s
        exit when fleet.load < 1 for 1s
        admit report 120%
    colour red
   level b
        enter when fleet.load > 1 for 1s
spare
""",
    )
    assert [(p.place.line, p.directive) for p in found] == [
        (4, "syntax"),
        (10, "level"),
        (2, "window"),
        (3, "every"),
        (6, "enter"),
        (8, "admit"),
        (9, "levels colour"),
        (10, "level"),
        (12, "spare"),
    ]
    first = str(found[2])
    assert first.startswith(f"{tmp_path}/t.conf:2: window: found fast; allowed: a duration with its unit")
    assert "fleet.load" in found[4].allowed and "from 0% to 100%" in found[5].allowed


@pytest.mark.parametrize(
    ("enter", "exit_", "directive"),
    [
        ("fleet.load > 2 for 1s", "fleet.load < 2 for 5s", "exit"),  # no gap between entry and exit
        ("fleet.load > 2 for 1s", "fleet.load < 3 for 5s", "exit"),  # entry and exit overlap
        ("fleet.load > 2 or fleet.slow > 3 for 1s", "fleet.load < 1 or fleet.slow < 2 for 5s", "exit"),
        ("fleet.load > 2 for 1s", "own.lag < 5ms for 5s", "exit"),  # no signal in common
        ("fleet.load > 2 and fleet.load < 1 for 1s", "fleet.load < 1 for 5s", "enter"),  # can never hold
        ("class.lookup.late > 100% for 1s", "class.lookup.late < 5% for 5s", "enter"),  # can never hold
        ("fleet.load > 2 for 9s", "fleet.load < 1 for 5s", "exit"),  # the exit's duration is shorter than the entry's
    ],
)
def test_contradicting_conditions_are_rejected(tmp_path: Path, enter: str, exit_: str, directive: str) -> None:
    text = f"levels\n  level a\n    enter when {enter}\n    exit when {exit_}\n    admit report 0%\n"
    found = problems(tmp_path, text)
    assert [p.directive for p in found] == [directive] and found[0].place.line in (3, 4)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("levels\n", "no level"),
        ("levels\n  level a\n  level a\n", "no enter"),
        ("levels extra\n  window 1s\n", "name alone"),
        ("levels\nlevels\n", "a second section"),
        ("  window 1s\n", "a section first"),
        ("include nowhere.conf\n", "No such file"),
        ("include t.conf\n", "not included already"),
        (b"levels \xff\n", "UTF-8"),
        ("levels\n  window 1s\n    every 1s\n", "indented lines"),
        ("levels\n  window " + "9" * 5000 + "\n", "characters"),
        (GOOD + "        stay 5m growing to 1m\n", "growing to 5m"),
        (GOOD + "        admit report 5%\n", "a second time"),
        (GOOD.replace("        admit report 20%..100%\n", ""), "does nothing"),
        (GOOD.replace("2s ", "100ms "), "from 500ms"),
    ],
)
def test_errors_describe_the_problem(tmp_path: Path, text: str | bytes, message: str) -> None:
    assert any(message in str(problem) for problem in problems(tmp_path, text))


def test_included_lines_replace_the_include_directive(tmp_path: Path) -> None:
    head, _, tail = GOOD.partition("        exit")
    (tmp_path / "part.conf").write_text("exit" + tail.replace("\n        ", "\n"))
    (tmp_path / "t.conf").write_text(head + "        include part.conf\n")
    (level,) = reader.read(str(tmp_path / "t.conf")).records["levels"].levels
    assert level.exit.text.startswith("fleet.load < 1.2") and level.admitted_shares


@given(st.lists(st.text(min_size=1, max_size=20).filter(lambda t: t.isprintable()), max_size=4))
def test_any_quoted_arguments_parse_to_themselves(words: list[str]) -> None:
    found = parse_line(" ".join(["name", *map(quoted, words)]), Place("f", 1))
    assert isinstance(found, Directive) and found.arguments == tuple(words)


@given(st.text(max_size=60))
def test_any_line_parses_to_a_directive_a_problem_or_none(text: str) -> None:
    assert isinstance(parse_line(text, Place("f", 1)), Directive | Problem | None)


def test_values_are_read_with_their_units_and_invalid_durations_are_rejected() -> None:
    assert [values.duration(t) for t in ("250ms", "1.5s", "2m", "1h", "7d")] == [0.25, 1.5, 120, 3600, 604800]
    assert values.size("64MB") == 64 << 20 and values.share("85%") == 0.85
    for invalid in ("", "5", "ms", "-1s", "1e3s", "٣s", "1..2s", "infs"):
        with pytest.raises(values.InvalidValueError):
            values.duration(invalid)
    assert values.format_duration(0.25) == "250ms" and values.format_duration(240) == "4m"
