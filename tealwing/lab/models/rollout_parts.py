"""What the model of a change of rules is made of: logs, members, budgets, and words for commands."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any

from tealwing.lease_bounds import LeaseBounds
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.agent.retry import Retry
from tealwing.rollout.leader.expiry_observer import ExpiryObserver
from tealwing.rules import records as r
from tealwing.rules.records import digest

PERMIT, DT = 2.0, 1.0  # s: of a permit, of a step of time
COARSE = LeaseBounds(max_drift=0.25, max_step=0.0, loss_notice=0.0)
SLOW, FAST, WILD = 0.75, 1.25, 10.0
LOG = "log"
TEXT = b"[attempts]\nmost = 3\n"
Tables = dict[str, dict[str, Any]]


class Eager(Retry):
    """All that is wanted is asked for at once: what is proposed may be applied late or never anyway."""

    def ready(self, now: float, key: Hashable, members: int = 0) -> bool:
        """Always."""
        return True

    def retain(self, wanted: Iterable[Hashable]) -> None:
        """Nothing is kept."""


EAGER = Eager(0)


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each thing may happen."""

    times: int = 3  # steps of time
    crashes: int = 1
    old: int = 0  # of the crashes, those that come back with less than was applied
    empty: int = 0  # those that come back with nothing
    flips: int = 0  # those that come back in the other mode
    lapses: int = 1
    aborts: int = 0
    proposals: int = 0
    reads: int = 3


@dataclass(slots=True)
class Log:
    """Tables at each index, and what they come to for the key."""

    states: tuple[Tables, ...]
    keys: tuple[Hashable, ...]


@dataclass(slots=True)
class Node:
    """One member: its machine, how far it has applied each log, how far its disk surely has."""

    machine: Machine
    rate: float
    at: dict[str, int]
    disk: dict[str, int]
    witnesses: dict[str, ExpiryObserver]


@dataclass(slots=True)
class World:
    """One state."""

    nodes: dict[str, Node]
    logs: dict[str, Log]
    requests: frozenset[tuple[str, r.Body]]
    budget: Budget
    at: int = 0  # steps of time so far
    newest: int = 0  # version that some request was decided under
    wrong: str = ""
    gates: dict[str, Hashable] = field(default_factory=dict)


def empty() -> Tables:
    """The registry before the first entry."""
    return {"rules": {}, "rule_members": {}, "rule_facts": {}}


def propose(parent: int, number: int = 0) -> r.Propose:
    """A version, made from another."""
    return r.Propose(parent, digest(TEXT), TEXT, "operator", 0, "", number, number > 0)


def message_key(tables: Tables) -> Hashable:
    """What of the tables decides anything later."""
    found: list[r.Version] = list(tables["rules"].values())
    versions = tuple(
        (v.number, v.phase, tuple(sorted(v.verdicts.items())) if v.phase in r.IN_FLIGHT else (), v.federation_index)
        for v in found
    )
    return versions, tuple(sorted(tables["rule_members"].items())), tables["rule_facts"].get(r.FACTS_KEY)


def describe(body: r.Body) -> str:
    """A command in a few words."""
    match body:
        case r.Propose(parent=parent, number=number):
            return f"a version{f' {number}' if number else ''} made from {parent}"
        case r.Verdict(number, member, start, yes):
            return f"{member} (start {start}) says {'yes' if yes else 'no'} to {number}"
        case r.Closed(number, member, start):
            return f"{member} (start {start}) has closed for {number}"
        case r.Begin(member, start, touch):
            return f"{member} begins (start {start}, {touch})"
        case r.ExpirePermit(member, start):
            return f"{member} (start {start}) lapses"
        case r.ConfirmExpiry(member, lapse, by):
            return f"{by} says that the lapse {lapse} of {member} is over"
        case _:
            return f"{type(body).__name__} {body.number}" if hasattr(body, "number") else repr(body)


LIKELY = (("crashes", 0.1), ("lapses", 0.3), ("Abort", 0.1), ("pass", 0.4), ("Close ", 2.0))


def likely(message: str) -> float:
    """For walks at random: entries are applied more often than anything breaks."""
    return next((weight for part, weight in LIKELY if part in message), 1.0)
