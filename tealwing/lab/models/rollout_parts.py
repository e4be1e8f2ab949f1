"""Parts of the model of a rollout: logs, members, budgets and descriptions of commands."""

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

PERMIT, DT = 2.0, 1.0  # s: the lifetime of a permit, and model time per time step
COARSE = LeaseBounds(max_drift=0.25, max_step=0.0, loss_notice=0.0)
SLOW, FAST, WILD = 0.75, 1.25, 10.0  # speeds of clocks, in s per s; WILD is far out of bounds
LOG = "log"
TEXT = b"[attempts]\nmost = 3\n"
Tables = dict[str, dict[str, Any]]


class ImmediateRetry(Retry):
    """A retry schedule without delays: the model may apply a proposed command late or never anyway."""

    def ready(self, now: float, key: Hashable, members: int = 0) -> bool:
        """Return True: every action may be tried at once."""
        return True

    def retain(self, keys: Iterable[Hashable]) -> None:
        """Do nothing, as this schedule stores no keys."""


IMMEDIATE_RETRY = ImmediateRetry(0)


@dataclass(frozen=True, slots=True)
class Budget:
    """The maximum number of each kind of step on one path."""

    times: int = 3  # time steps
    crashes: int = 1
    old: int = 0  # crashes after which the member restarts with less than it had applied
    empty: int = 0  # crashes after which the member restarts without logs and marker
    flips: int = 0  # crashes after which the member restarts in the other partition mode
    lapses: int = 1  # expiries of permits that a leader proposes
    aborts: int = 0
    proposals: int = 0
    reads: int = 3  # ReadIndex requests


@dataclass(slots=True)
class Log:
    """A log: the registry's tables at each index, and each one's part in the identity of a state."""

    states: tuple[Tables, ...]
    keys: tuple[Hashable, ...]


@dataclass(slots=True)
class Node:
    """One member: its state machine, the applied index and the index surely on disk of each log, and its observers."""

    machine: Machine
    rate: float
    at: dict[str, int]
    disk: dict[str, int]
    observers: dict[str, ExpiryObserver]


@dataclass(slots=True)
class World:
    """One state of the model: the members, the logs and the commands proposed so far."""

    nodes: dict[str, Node]
    logs: dict[str, Log]
    requests: frozenset[tuple[str, r.Body]]
    budget: Budget
    at: int = 0  # time steps so far
    newest: int = 0  # the newest version that any gate was open under
    wrong: str = ""  # the safety violation found, empty if none
    gates: dict[str, Hashable] = field(default_factory=dict)


def empty() -> Tables:
    """Return the registry's tables before the first entry."""
    return {"rules": {}, "rule_members": {}, "rule_facts": {}}


def propose(parent: int, number: int = 0) -> r.Propose:
    """Return the proposal of a version based on version `parent`."""
    return r.Propose(parent, digest(TEXT), TEXT, "operator", 0, "", number, number > 0)


def message_key(tables: Tables) -> Hashable:
    """Return the part of the tables that later steps depend on."""
    found: list[r.Version] = list(tables["rules"].values())
    versions = tuple(
        (v.number, v.phase, tuple(sorted(v.verdicts.items())) if v.phase in r.IN_FLIGHT else (), v.federation_index)
        for v in found
    )
    return versions, tuple(sorted(tables["rule_members"].items())), tables["rule_facts"].get(r.FACTS_KEY)


def describe(body: r.Body) -> str:
    """Return the text for a command in a trace."""
    match body:
        case r.Propose(parent=parent, number=number):
            return f"propose version{f' {number}' if number else ''} based on {parent}"
        case r.Verdict(number, member, start, yes):
            return f"{member} (start {start}) {'accepts' if yes else 'rejects'} version {number}"
        case r.Closed(number, member, start):
            return f"{member} (start {start}) has closed for version {number}"
        case r.Begin(member, start, mode):
            return f"{member} begins (start {start}, {mode})"
        case r.ExpirePermit(member, start):
            return f"permit of {member} (start {start}) lapses"
        case r.ConfirmExpiry(member, lapse, by):
            return f"{by} confirms the permit expiry {lapse} of {member}"
        case _:
            return f"{type(body).__name__} {body.number}" if hasattr(body, "number") else repr(body)


LIKELY = (("crashes", 0.1), ("lapses", 0.3), ("Abort", 0.1), ("pass", 0.4), ("Close ", 2.0))


def likely(step: str) -> float:
    """Weigh a step of a random walk, so that entries are applied more often than faults occur."""
    return next((weight for part, weight in LIKELY if part in step), 1.0)
