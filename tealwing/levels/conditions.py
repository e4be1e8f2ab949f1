"""Parses and checks conditions on signals, such as `fleet.load > 1.8 or class.lookup.late > 20%`; pure.

A condition is kept as written and as a sum of products (disjunctive normal form). The sum of products serves two
checks: whether a condition can hold at all, and whether two conditions can hold at once. Both checks compare the
intervals of each signal and are exact.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cache
from math import inf

from lark import Lark, Token, Tree, UnexpectedInput

from tealwing.conf import values

MAX_PRODUCTS = 64  # products of one condition; operators cannot read a longer one

GRAMMAR = r"""
    ?start: any
    any: all ("or" all)*
    all: atom ("and" atom)*
    ?atom: compare | "(" any ")"
    compare: SIGNAL OP VALUE
    SIGNAL: /[a-z][a-z0-9-]*(\.[A-Za-z0-9_-]+)+/
    OP: ">" | "<"
    VALUE: /[0-9][0-9.]*[A-Za-z%]*/
    %import common.WS_INLINE
    %ignore WS_INLINE
"""


class LevelsError(ValueError):
    """Base class of the errors of tealwing.levels."""


class ConditionError(LevelsError):
    """Raised for an invalid condition; the message describes the allowed form."""


@dataclass(frozen=True, slots=True)
class SignalKind:
    """The kind of a signal: its unit, the direction that is worse, its value without traffic, and its bounds."""

    unit: str  # share, duration or number
    worse_operator: str  # operator of an entry condition: > or <
    idle_value: float
    minimum: float
    maximum: float
    help: str

    def read(self, text: str) -> float:
        """Parse a value written as in the operators' file; raise values.InvalidValueError."""
        reader = {"share": values.share, "duration": values.duration, "number": values.number}[self.unit]
        return reader(text)

    def write(self, value: float) -> str:
        """Format a value as the operators' file writes it."""
        if self.unit == "share":
            return f"{value * 100:.3g}%"
        return values.format_duration(value) if self.unit == "duration" else f"{value:.3g}"


def _share(worse_operator: str, help_: str, maximum: float = 1.0) -> SignalKind:
    return SignalKind("share", worse_operator, 1.0 if worse_operator == "<" else 0.0, 0.0, maximum, help_)


def _number(help_: str, idle_value: float = 0.0) -> SignalKind:
    return SignalKind("number", ">", idle_value, 0.0, inf, help_)


FLEET_SIGNALS = {
    "load": _number("threads in use per core of the ready engines, by engine reports or the gateway's own accounting"),
    "queue": _number("queries that wait for memory at an engine, by engine reports"),
    "slow": _number("latency over the best latency, of open and of answered requests", 1.0),
    "ready": _share("<", "ready engines over the maximum of ready engines in the last five minutes"),
    "cold": _share(">", "capacity that ready engines still lack because they are in slow start"),
    "kept": _share("<", "priority weight served in time over the weight of all requests that ended"),
    "refused": _share(">", "requests that the decision module rejected, without those shed by a level"),
}
GATEWAY_SIGNALS = {
    "lag": SignalKind("duration", ">", 0.0, 0.0, inf, "mean time from a request's last byte to its first attempt"),
    "unread": SignalKind("duration", ">", 0.0, 0.0, inf, "mean age of received data when the gateway reads it"),
    "processor": _share(">", "processor time over the share that this process may use", inf),
}
CLASS_SIGNALS = {
    "late": _share(">", "requests past their latency objective, over the class's requests that ended or are past it"),
    "refused": _share(">", "requests of the class that the decision module rejected, without those shed by a level"),
    "timeouts": _share(">", "attempts of the class that timed out"),
    "kept": _share("<", "priority weight of the class served in time over the weight of its requests that ended"),
    "rate": _number("requests of the class per second"),
}
ACCOUNT_SIGNALS = {
    "beyond": _share(">", "requests of the account beyond its quota"),
    "rate": _number("requests of the account per second"),
}


def signal_kind(signal: str) -> SignalKind:
    """Return the kind of the named signal; raise ConditionError. Class and account names are not checked."""
    head, _, rest = signal.partition(".")
    if head in ("fleet", "own") and rest in (table := FLEET_SIGNALS if head == "fleet" else GATEWAY_SIGNALS):
        return table[rest]
    name, _, what = rest.rpartition(".")
    if (
        name
        and head in ("class", "account")
        and what in (table := CLASS_SIGNALS if head == "class" else ACCOUNT_SIGNALS)
    ):
        return table[what]
    known = [f"fleet.{n}" for n in FLEET_SIGNALS] + [f"own.{n}" for n in GATEWAY_SIGNALS]
    known += [f"class.NAME.{n}" for n in CLASS_SIGNALS] + [f"account.NAME.{n}" for n in ACCOUNT_SIGNALS]
    raise ConditionError(f"one of the signals {', '.join(known)}")


@dataclass(frozen=True, slots=True)
class Comparison:
    """A comparison of one signal with one bound."""

    signal: str
    op: str
    bound: float

    def holds(self, signals: Mapping[str, float]) -> bool:
        """Return whether the comparison holds; an absent signal has its idle value."""
        value = signals.get(self.signal)
        if value is None:
            value = signal_kind(self.signal).idle_value
        return value > self.bound if self.op == ">" else value < self.bound

    def __str__(self) -> str:
        return f"{self.signal} {self.op} {signal_kind(self.signal).write(self.bound)}"


Product = tuple[Comparison, ...]


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition as a sum of products: it holds when all comparisons of one product hold."""

    text: str
    products: tuple[Product, ...]

    def first_match(self, signals: Mapping[str, float]) -> Product | None:
        """Return the first product that holds, or None."""
        for product in self.products:
            if all(compare.holds(signals) for compare in product):
                return product
        return None

    def signals(self) -> set[str]:
        """Return the names of the signals that the condition reads."""
        return {compare.signal for product in self.products for compare in product}


def format_values(product: Iterable[Comparison], signals: Mapping[str, float]) -> dict[str, str]:
    """Return the values of a product's signals, formatted as in the operators' file."""
    formatted = {}
    for compare in product:
        kind = signal_kind(compare.signal)
        formatted[compare.signal] = kind.write(signals.get(compare.signal, kind.idle_value))
    return formatted


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def parse(text: str) -> Condition:
    """Parse a condition. Raises ConditionError, whose message describes the allowed form."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        at = max(getattr(error, "column", 1) - 1, 0)
        where = f'error at "{text[at : at + 20]}"' if text[at:] else "the condition is incomplete"
        raise ConditionError(f'SIGNAL > VALUE or SIGNAL < VALUE, joined by "and" and "or" ({where})') from None
    products = _products(tree)
    if len(products) > MAX_PRODUCTS:
        raise ConditionError(f"at most {MAX_PRODUCTS} alternatives after expansion, not {len(products)}")
    return Condition(re.sub(r"\s+", " ", text.strip()), tuple(products))


def _products(tree: Tree[Token] | Token) -> list[Product]:
    assert isinstance(tree, Tree)
    if tree.data == "compare":
        signal, op, value = map(str, tree.children)
        kind = signal_kind(signal)
        try:
            bound = kind.read(value)
        except values.InvalidValueError as error:
            raise ConditionError(f"for {signal}, {error}, not {value}") from None
        return [(Comparison(signal, op, bound),)]
    parts = [_products(child) for child in tree.children]
    if tree.data == "any":
        return [product for part in parts for product in part]
    joined: list[Product] = [()]
    for part in parts:
        joined = [left + right for left in joined for right in part]
        if len(joined) > MAX_PRODUCTS:
            raise ConditionError(f"at most {MAX_PRODUCTS} alternatives after expansion, not {len(joined)} or more")
    return joined


def _intervals(product: Product) -> dict[str, tuple[float, float]] | None:
    """Return the open interval that the product allows each signal; None if one is empty or outside the bounds."""
    found: dict[str, tuple[float, float]] = {}
    for compare in product:
        kind = signal_kind(compare.signal)
        low, high = found.get(compare.signal, (-inf, inf))
        low, high = (max(low, compare.bound), high) if compare.op == ">" else (low, min(high, compare.bound))
        if not low < high or low >= kind.maximum or high <= kind.minimum:
            return None
        found[compare.signal] = low, high
    return found


def is_satisfiable(condition: Condition) -> bool:
    """Return whether some signal values make the condition hold."""
    return any(_intervals(product) is not None for product in condition.products)


def overlap(one: Condition, other: Condition) -> dict[str, str] | None:
    """Return signal values at which both conditions hold or their intervals touch; None if there are none."""
    for left in one.products:
        for right in other.products:
            left_intervals, right_intervals = _intervals(left), _intervals(right)
            if left_intervals is None or right_intervals is None:
                continue
            shared = left_intervals.keys() & right_intervals.keys()
            if all(
                max(left_intervals[s][0], right_intervals[s][0]) <= min(left_intervals[s][1], right_intervals[s][1])
                for s in shared
            ):
                witness = {}
                for signal in sorted(left_intervals.keys() | right_intervals.keys()):
                    intervals = [
                        interval[signal] for interval in (left_intervals, right_intervals) if signal in interval
                    ]
                    low, high = max(interval[0] for interval in intervals), min(interval[1] for interval in intervals)
                    middle = (low + high) / 2 if low > -inf and high < inf else low if low > -inf else high
                    witness[signal] = signal_kind(signal).write(middle)
                return witness
    return None
