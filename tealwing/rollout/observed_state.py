"""Snapshot of the registry's tables after an applied entry, for any thread; and the interface of a federation's log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from tealwing.replica.service.node import Replica
from tealwing.replica.state import State
from tealwing.rollout.agent.view import View, view_of
from tealwing.rules import registry_state
from tealwing.rules.coverage import unanswered, uncovered
from tealwing.rules.records import Facts, Member, Version

TABLES = ("rules", "rule_members", "rule_facts")


@dataclass(frozen=True, slots=True)
class ObservedState:
    """The registry at the last applied entry. Records are immutable, so shallow copies of the tables suffice."""

    index: int
    tables: dict[str, dict[str, Any]]
    view: View

    @property
    def facts(self) -> Facts:
        """The facts that concern all versions."""
        return registry_state.facts(self.tables)

    @property
    def members(self) -> dict[str, Member]:
        """The members by name."""
        return registry_state.members(self.tables)

    def version(self, number: int) -> Version | None:
        """Return a version; None if it is unknown or trimmed."""
        return registry_state.version(self.tables, number)

    def text(self, number: int) -> bytes:
        """Return a version's bundle; empty for 0. Raises LookupError if it is unknown or trimmed."""
        found = self.version(number)
        if number and found is None:
            raise LookupError(f"version {number} of the rules is not kept here")
        return found.text if found is not None else b""

    def phase(self, number: int) -> str:
        """Return a version's phase, or `unknown`."""
        return self.view.phase_of(number) or "unknown"

    def waits_for(self) -> list[str]:
        """Return the members whose reports the version in flight waits for."""
        flight = self.view.in_flight
        if flight is None:
            return []
        return uncovered(self.tables, flight.number) if self.view.closing_for else unanswered(self.tables, flight)


class FederationLog(Protocol):
    """The federation's log as the rollout uses it, if the site is part of a federation."""

    @property
    def state(self) -> ObservedState:
        """The federation's registry at the last applied entry."""

    @property
    def replica(self) -> Replica:
        """This gateway's replica of the federation's log."""

    def on_change(self, changed: Callable[[], None]) -> None:
        """Call `changed`, on the thread of that log, whenever its versions or sites have changed."""

    def status(self) -> dict[str, Any]:
        """Return the federation's status for operators."""


def observe(state: State, name: str) -> ObservedState:
    """Return a snapshot for the member `name`; call it on the thread that applies entries."""
    tables = {table: dict(state.tables[table]) for table in TABLES}
    return ObservedState(state.applied, tables, view_of(tables, state.applied, name))
