"""The section `levels` of the operators' file: its directives, and the checks that hold them together."""

from __future__ import annotations

from math import inf
from typing import Any

import msgspec

from tealwing.conf import values
from tealwing.conf.grammar import Place, quoted
from tealwing.conf.schema import Block, Entry, Report, Section, Spec
from tealwing.levels import conditions
from tealwing.levels.admission import RecoveryRamp
from tealwing.levels.conditions import Condition, ConditionError
from tealwing.levels.controller import LevelTimings
from tealwing.levels.plan import Level, Plan

MAX_LEVELS = 8  # more than operators can tell apart under stress
RANGE_HELP = "VALUE or LOW..HIGH"


class TimedCondition(msgspec.Struct, frozen=True):
    """A condition and the time for which it must hold."""

    condition: Condition
    seconds: float


def _timed_condition(min_seconds: float) -> values.ArgumentReader:
    """`when CONDITION for DURATION`."""

    def read(words: values.Arguments) -> TimedCondition:
        if len(words) < 5 or words[0] != "when" or words[-2] != "for":
            raise values.InvalidValueError("when, a condition, for, a duration")
        seconds = values.durations(min_seconds, 3600.0)(words[-1:])
        try:
            return TimedCondition(conditions.parse(" ".join(words[1:-2])), seconds)
        except ConditionError as error:
            raise values.InvalidValueError(str(error)) from None

    return read


def _stay(words: values.Arguments) -> tuple[float, float]:
    """`DURATION` or `DURATION growing to DURATION`."""
    bounded = values.durations(1.0, 86400.0)
    if len(words) == 1:
        return bounded(words), bounded(words)
    if len(words) == 4 and words[1:3] == ("growing", "to"):
        return bounded(words[:1]), bounded(words[3:])
    raise values.InvalidValueError("a duration, or: a duration growing to a duration")


def _range(read: values.ArgumentReader, text: str) -> tuple[Any, Any]:
    low, dots, high = text.partition("..")
    return read((low,)), read((high,)) if dots else read((low,))


def _admit(words: values.Arguments) -> tuple[str, tuple[float, float]]:
    if len(words) != 2:
        raise values.InvalidValueError("a class, and the share of it that is admitted")
    low, high = _range(values.shares(), words[1])
    if low > high:
        raise values.InvalidValueError("a lower share, two dots, a higher share")
    return words[0], (low, high)


def _account(words: values.Arguments) -> tuple[str, float]:
    if len(words) != 2:
        raise values.InvalidValueError("an account, and the share of it that is admitted")
    return words[0], values.shares()(words[1:])


def _attempts(words: values.Arguments) -> tuple[str, int]:
    if len(words) != 2:
        raise values.InvalidValueError("a class, and how many attempts its requests have")
    return words[0], values.integers(1, 100)(words[1:])


def _pushback(words: values.Arguments) -> tuple[float, float]:
    if len(words) != 1:
        raise values.InvalidValueError("a duration, or two with two dots between")
    low, high = _range(values.durations(0.0, 3600.0), words[0])
    if low > high:
        raise values.InvalidValueError("a shorter duration, two dots, a longer one")
    return low, high


LEVEL = (
    Spec(
        "enter",
        "when CONDITION for DURATION",
        "Entered from the level below when this has held so long.",
        _timed_condition(0.0),
        needed=True,
    ),
    Spec(
        "strong",
        "when CONDITION for DURATION",
        "Entered at once from any level below when this has held so long.",
        _timed_condition(0.0),
    ),
    Spec(
        "exit",
        "when CONDITION for DURATION",
        "Left for the level below when this has held so long, and the least stay is over. Must lie apart from"
        " `enter`, with a gap, and hold for no shorter time.",
        _timed_condition(0.0),
        needed=True,
    ),
    Spec(
        "stay",
        "DURATION [growing to DURATION]",
        "Least stay in the level, from the change that led there. Doubled, up to the second figure, each time that"
        " the level is entered again within 5 minutes of being left. Below 60s it costs protection: no minute has"
        " more than two changes, so after an early exit an entry may have to wait.",
        _stay,
        "60s growing to 4m",
    ),
    Spec(
        "admit",
        f"CLASS {RANGE_HELP}",
        "Share of a class's requests that is admitted: the lower figure on entry and under pressure, up to the"
        " higher one as pressure goes. A class that is not named is admitted whole.",
        _admit,
        many=True,
    ),
    Spec(
        "account",
        "ACCOUNT SHARE",
        "Most that is admitted of an account's requests, of every class.",
        _account,
        many=True,
    ),
    Spec(
        "attempts",
        "CLASS NUMBER",
        "Most attempts of a request of a class that is safe to repeat; a keyed one once sent is never cut short.",
        _attempts,
        many=True,
    ),
    Spec(
        "pushback",
        "DURATION or LOW..HIGH",
        "What a refused client is told to wait, drawn anew for each; never beyond what the platform lets a"
        " client heed.",
        _pushback,
        "250ms..500ms",
    ),
)

SPECS = (
    Spec(
        "window",
        "DURATION",
        "Over how much of the past signals are taken.",
        values.durations(0.5, 300.0),
        "3s",
    ),
    Spec("every", "DURATION", "How often the levels are looked at.", values.durations(0.05, 5.0), "250ms"),
    Spec(
        "cut",
        "SHARE",
        "What is left of an admitted share after a second of pressure.",
        values.shares(0.01, 1.0),
        "50%",
    ),
    Spec(
        "ramp",
        "DURATION",
        "Time in which an admitted share rises from nothing to the whole.",
        values.durations(0.1, 3600.0),
        "20s",
    ),
    Spec(
        "cold",
        "SHARE",
        "Capacity that engines which started cold still lack at which admitted shares wait before they rise.",
        values.shares(0.0, 1.0),
        "10%",
    ),
    Spec(
        "level",
        "NAME",
        "One level; the mildest comes first.",
        values.name,
        many=True,
        needed=True,
        children=LEVEL,
    ),
)


def build(block: Block, report: Report) -> Plan | None:
    """Return the plan of a checked section, and report contradictions."""
    entries, found = block.all("level"), list[Level]()
    for entry in entries[MAX_LEVELS:]:
        report.add(entry.place, "level", f"more than {MAX_LEVELS} levels", f"at most {MAX_LEVELS}")
    for entry in entries:
        if any(level.timings.name == entry.value for level in found):
            report.add(entry.place, "level", f"a second level {entry.value}", "names that differ")
        found.append(_level(entry, report))
    window, interval = block.one("window"), block.one("every")
    if interval > window:
        report.add(
            block.place("every", entries[0].place),
            "every",
            values.format_duration(interval),
            f"at most the window, {values.format_duration(window)}",
        )
    ramp = RecoveryRamp(block.one("cut"), block.one("ramp"), block.one("cold"))
    return Plan(tuple(found), window, interval, ramp)


def _level(entry: Entry, report: Report) -> Level:
    block, place = entry.block or Block(), entry.place
    enter, exit_, strong = block.one("enter"), block.one("exit"), block.one("strong")
    _check_conditions(block, place, report)
    min_stay, max_stay = block.one("stay")
    if max_stay < min_stay:
        report.add(
            block.place("stay", place),
            "stay",
            f"growing to {values.format_duration(max_stay)}",
            f"growing to {values.format_duration(min_stay)} or more",
        )
    timings = LevelTimings(
        entry.value, enter.seconds, exit_.seconds, min_stay, max_stay, strong.seconds if strong else inf
    )
    admit, accounts, attempts = (_repeated(block, name, report) for name in ("admit", "account", "attempts"))
    if not (admit or accounts or attempts):
        report.add(place, "level", f"a level {entry.value} that does nothing", "admit, account or attempts")
    return Level(
        timings,
        enter.condition,
        exit_.condition,
        strong.condition if strong else None,
        admit,
        accounts,
        attempts,
        block.one("pushback"),
    )


def _repeated(block: Block, name: str, report: Report) -> dict[str, Any]:
    """Return a repeatable directive's values by its first word, and report duplicates."""
    found: dict[str, Any] = {}
    for entry in block.all(name):
        key, value = entry.value
        if key in found:
            report.add(entry.place, name, f"{quoted(key)} a second time", "each once")
        found[key] = value
    return found


def _check_conditions(block: Block, place: Place, report: Report) -> None:
    """Report conditions that can't hold, and an exit that overlaps an entry or has no gap to it."""
    exit_ = block.one("exit")
    for name in ("enter", "strong", "exit"):
        times = block.one(name)
        if times is not None and not conditions.is_satisfiable(times.condition):
            report.add(block.place(name, place), name, f'"{times.condition.text}"', "a condition that can hold")
    for name in ("enter", "strong"):
        times = block.one(name)
        if times is None:
            continue
        witness = conditions.overlap(times.condition, exit_.condition)
        if witness is not None:
            written = ", ".join(f"{signal} {value}" for signal, value in witness.items())
            report.add(
                block.place("exit", place),
                "exit",
                f"a condition that meets {name} at {written}",
                f"one that lies apart from {name}, with a gap between the two",
            )
    enter = block.one("enter")
    if exit_.seconds < enter.seconds:
        report.add(
            block.place("exit", place),
            "exit",
            f"for {values.format_duration(exit_.seconds)}",
            f"for {values.format_duration(enter.seconds)} or more, as enter has",
        )


SECTION = Section(
    "levels",
    "Named levels of reduced service; see docs/operating/levels.md. Absent: always full service.",
    SPECS,
    build,
)
