"""The operators' file: every error at once, each with its place, and nothing of a bad file in force."""

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
    window 2s      # a comment behind
    level fewer
        enter when fleet.load > 1.8 or (class.lookup.late > 20% and own.lag > 50ms) for 1s
        exit when fleet.load < 1.2 and class.lookup.late < 5% for 5s
        admit report 20%..100%
"""


def problems(tmp_path: Path, text: str | bytes) -> list[Problem]:
    path = tmp_path / "t.conf"
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    with pytest.raises(ConfError) as caught:
        reader.read(str(path))
    return caught.value.problems


def test_a_good_file(tmp_path: Path) -> None:
    path = tmp_path / "t.conf"
    path.write_text(GOOD)
    plan = reader.read(str(path)).records["levels"]
    (level,) = plan.levels
    assert (plan.window, plan.interval, level.timings.name, level.timings.min_stay) == (2.0, 0.25, "fewer", 60.0)
    assert level.admitted_shares == {"report": (0.2, 1.0)} and len(level.enter.products) == 2


def test_what_show_prints_is_a_file_that_means_the_same(tmp_path: Path) -> None:
    path = tmp_path / "t.conf"
    path.write_text(GOOD)
    first = reader.read(str(path))
    path.write_text(render.show(first))
    assert reader.read(str(path)).records == first.records


def test_the_deployed_file_is_good_and_the_manual_is_the_code() -> None:
    assert reader.read(str(ROOT / "deploy" / "tealwing.conf"))
    page = (ROOT / "docs" / "configuration.md").read_text()
    assert render.manual() in page, "docs/configuration.md: put in what `tealwing config manual` prints"


def test_all_errors_are_told_at_once_with_their_places(tmp_path: Path) -> None:
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
    ("enter", "exit_", "of"),
    [
        ("fleet.load > 2 for 1s", "fleet.load < 2 for 5s", "exit"),  # no gap
        ("fleet.load > 2 for 1s", "fleet.load < 3 for 5s", "exit"),
        ("fleet.load > 2 or fleet.slow > 3 for 1s", "fleet.load < 1 or fleet.slow < 2 for 5s", "exit"),
        ("fleet.load > 2 for 1s", "own.lag < 5ms for 5s", "exit"),  # nothing in common
        ("fleet.load > 2 and fleet.load < 1 for 1s", "fleet.load < 1 for 5s", "enter"),
        ("class.lookup.late > 100% for 1s", "class.lookup.late < 5% for 5s", "enter"),
        ("fleet.load > 2 for 9s", "fleet.load < 1 for 5s", "exit"),  # an exit sooner than an entry
    ],
)
def test_conditions_that_do_not_fit_together(tmp_path: Path, enter: str, exit_: str, of: str) -> None:
    text = f"levels\n  level a\n    enter when {enter}\n    exit when {exit_}\n    admit report 0%\n"
    found = problems(tmp_path, text)
    assert [p.directive for p in found] == [of] and found[0].place.line in (3, 4)


@pytest.mark.parametrize(
    ("text", "says"),
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
def test_errors_say_what_is_wrong(tmp_path: Path, text: str | bytes, says: str) -> None:
    assert any(says in str(problem) for problem in problems(tmp_path, text))


def test_includes_stand_where_they_are_asked_for(tmp_path: Path) -> None:
    head, _, tail = GOOD.partition("        exit")
    (tmp_path / "part.conf").write_text("exit" + tail.replace("\n        ", "\n"))
    (tmp_path / "t.conf").write_text(head + "        include part.conf\n")
    (level,) = reader.read(str(tmp_path / "t.conf")).records["levels"].levels
    assert level.exit.text.startswith("fleet.load < 1.2") and level.admitted_shares


@given(st.lists(st.text(min_size=1, max_size=20).filter(lambda t: t.isprintable()), max_size=4))
def test_any_words_survive_quoting(words: list[str]) -> None:
    found = parse_line(" ".join(["name", *map(quoted, words)]), Place("f", 1))
    assert isinstance(found, Directive) and found.arguments == tuple(words)


@given(st.text(max_size=60))
def test_any_line_is_a_directive_a_problem_or_nothing(text: str) -> None:
    assert isinstance(parse_line(text, Place("f", 1)), Directive | Problem | None)


def test_units() -> None:
    assert [values.duration(t) for t in ("250ms", "1.5s", "2m", "1h", "7d")] == [0.25, 1.5, 120, 3600, 604800]
    assert values.size("64MB") == 64 << 20 and values.share("85%") == 0.85
    for bad in ("", "5", "ms", "-1s", "1e3s", "٣s", "1..2s", "infs"):
        with pytest.raises(values.InvalidValueError):
            values.duration(bad)
    assert values.format_duration(0.25) == "250ms" and values.format_duration(240) == "4m"
