"""The section `levels` of the operators' file: its directives, and the checks of their consistency."""

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

MAX_LEVELS = 8  # operators cannot distinguish more levels during an incident
RANGE_HELP = "VALUE or LOW..HIGH"


class TimedCondition(msgspec.Struct, frozen=True):
    """A condition and the time in seconds for which it must hold."""

    condition: Condition
    seconds: float


def _timed_condition(min_seconds: float) -> values.ArgumentReader:
    """Return a reader of `when CONDITION for DURATION`, whose duration is at least min_seconds."""

    def read(arguments: values.Arguments) -> TimedCondition:
        if len(arguments) < 5 or arguments[0] != "when" or arguments[-2] != "for":
            raise values.InvalidValueError('the word "when", a condition, the word "for" and a duration')
        seconds = values.durations(min_seconds, 3600.0)(arguments[-1:])
        try:
            return TimedCondition(conditions.parse(" ".join(arguments[1:-2])), seconds)
        except ConditionError as error:
            raise values.InvalidValueError(str(error)) from None

    return read


def _stay(arguments: values.Arguments) -> tuple[float, float]:
    """Return the minimum and maximum stay of `DURATION` or `DURATION growing to DURATION`, in seconds."""
    bounded = values.durations(1.0, 86400.0)
    if len(arguments) == 1:
        return bounded(arguments), bounded(arguments)
    if len(arguments) == 4 and arguments[1:3] == ("growing", "to"):
        return bounded(arguments[:1]), bounded(arguments[3:])
    raise values.InvalidValueError('one duration, or two joined by "growing to"')


def _range(read: values.ArgumentReader, text: str) -> tuple[Any, Any]:
    low, dots, high = text.partition("..")
    return read((low,)), read((high,)) if dots else read((low,))


def _admit(arguments: values.Arguments) -> tuple[str, tuple[float, float]]:
    if len(arguments) != 2:
        raise values.InvalidValueError("a class, and the share of its requests that is admitted")
    low, high = _range(values.shares(), arguments[1])
    if low > high:
        raise values.InvalidValueError("a range whose first share is not above the second")
    return arguments[0], (low, high)


def _account(arguments: values.Arguments) -> tuple[str, float]:
    if len(arguments) != 2:
        raise values.InvalidValueError("an account, and the share of its requests that is admitted")
    return arguments[0], values.shares()(arguments[1:])


def _attempts(arguments: values.Arguments) -> tuple[str, int]:
    if len(arguments) != 2:
        raise values.InvalidValueError("a class, and the maximum number of attempts of its requests")
    return arguments[0], values.integers(1, 100)(arguments[1:])


def _pushback(arguments: values.Arguments) -> tuple[float, float]:
    if len(arguments) != 1:
        raise values.InvalidValueError('one duration, or two joined by ".." as a range')
    low, high = _range(values.durations(0.0, 3600.0), arguments[0])
    if low > high:
        raise values.InvalidValueError("a range whose first duration is not above the second")
    return low, high


LEVEL = (
    Spec(
        "enter",
        "when CONDITION for DURATION",
        "The level is entered from the level below when the condition has held for the duration.",
        _timed_condition(0.0),
        needed=True,
    ),
    Spec(
        "strong",
        "when CONDITION for DURATION",
        "The level is entered directly from any level below when the condition has held for the duration.",
        _timed_condition(0.0),
    ),
    Spec(
        "exit",
        "when CONDITION for DURATION",
        "The level is left for the level below when the condition has held for the duration and the minimum stay is"
        " over. The condition must not overlap or touch those of `enter` and `strong`, and its duration must not be"
        " shorter than that of `enter`.",
        _timed_condition(0.0),
        needed=True,
    ),
    Spec(
        "stay",
        "DURATION [growing to DURATION]",
        "Minimum stay in the level, from the change that entered it. It doubles, up to the second duration, each time"
        " that the level is entered again within 5 minutes of its exit. Below 60s it weakens the protection: no"
        " minute has more than two changes of level, so after an early exit the next entry may be delayed.",
        _stay,
        "60s growing to 4m",
    ),
    Spec(
        "admit",
        f"CLASS {RANGE_HELP}",
        "Admitted share of a class's requests: it starts at the lower value on entry, falls no lower under overload,"
        " and rises to the higher value as the overload ends. All requests of a class that is not named are admitted.",
        _admit,
        many=True,
    ),
    Spec(
        "account",
        "ACCOUNT SHARE",
        "Upper bound on the admitted share of an account's requests, in every class.",
        _account,
        many=True,
    ),
    Spec(
        "attempts",
        "CLASS NUMBER",
        "Maximum number of attempts of a request, for a class that is safe to repeat; a keyed request that was sent to"
        " an engine keeps all its attempts.",
        _attempts,
        many=True,
    ),
    Spec(
        "pushback",
        "DURATION or LOW..HIGH",
        "Retry-After time of a rejected request, drawn at random from the range for each one, up to the maximum that"
        " the platform's settings allow.",
        _pushback,
        "250ms..500ms",
    ),
)

SPECS = (
    Spec(
        "window",
        "DURATION",
        "Length of the sliding window over which signals are computed.",
        values.durations(0.5, 300.0),
        "3s",
    ),
    Spec("every", "DURATION", "Interval between two evaluations of the levels.", values.durations(0.05, 5.0), "250ms"),
    Spec(
        "cut",
        "SHARE",
        "Factor by which an admitted share falls in one second of overload.",
        values.shares(0.01, 1.0),
        "50%",
    ),
    Spec(
        "ramp",
        "DURATION",
        "Time in which an admitted share rises from 0% to 100%.",
        values.durations(0.1, 3600.0),
        "20s",
    ),
    Spec(
        "cold",
        "SHARE",
        "Share of capacity that engines in slow start lack; at this share or more, admitted shares do not rise.",
        values.shares(0.0, 1.0),
        "10%",
    ),
    Spec(
        "level",
        "NAME",
        "One service level, with its directives indented below it; the mildest level comes first.",
        values.name,
        many=True,
        needed=True,
        children=LEVEL,
    ),
)


def build(block: Block, report: Report) -> Plan | None:
    """Return the plan that a checked section describes, and report directives that contradict each other."""
    entries, found = block.all("level"), list[Level]()
    for entry in entries[MAX_LEVELS:]:
        report.add(entry.place, "level", f"more than {MAX_LEVELS} levels", f"at most {MAX_LEVELS}")
    for entry in entries:
        if any(level.timings.name == entry.value for level in found):
            report.add(entry.place, "level", f"a second level {entry.value}", "a different name for each level")
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
        report.add(
            place, "level", f"a level {entry.value} that does nothing", "at least one admit, account or attempts"
        )
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
    """Return the values of a repeatable directive, keyed by its first argument, and report duplicates."""
    found: dict[str, Any] = {}
    for entry in block.all(name):
        key, value = entry.value
        if key in found:
            report.add(entry.place, name, f"{quoted(key)} a second time", "each name once")
        found[key] = value
    return found


def _check_conditions(block: Block, place: Place, report: Report) -> None:
    """Report conditions that can never hold, and an exit condition that overlaps or touches an entry condition."""
    exit_ = block.one("exit")
    for name in ("enter", "strong", "exit"):
        timed = block.one(name)
        if timed is not None and not conditions.is_satisfiable(timed.condition):
            report.add(
                block.place(name, place),
                name,
                f'"{timed.condition.text}", which can never hold',
                "a condition that some signal values fulfil",
            )
    for name in ("enter", "strong"):
        timed = block.one(name)
        if timed is None:
            continue
        witness = conditions.overlap(timed.condition, exit_.condition)
        if witness is not None:
            signal_values = ", ".join(f"{signal} {value}" for signal, value in witness.items())
            report.add(
                block.place("exit", place),
                "exit",
                f"a condition that overlaps or touches {name} at {signal_values}",
                f"a condition with a gap between it and {name}",
            )
    enter = block.one("enter")
    if exit_.seconds < enter.seconds:
        report.add(
            block.place("exit", place),
            "exit",
            f"for {values.format_duration(exit_.seconds)}",
            f"for {values.format_duration(enter.seconds)} or more, the duration of enter",
        )


SECTION = Section(
    "levels",
    "Named levels of reduced service; see docs/operating/levels.md. Without this section, service is always full.",
    SPECS,
    build,
)
