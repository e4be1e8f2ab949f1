"""The registry's tables as they were after one entry: copied as it is applied, read by any thread."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tealwing.replica.state import State
from tealwing.rollout.agent.view import View, view_of
from tealwing.rules import registry_state
from tealwing.rules.coverage import unanswered, uncovered
from tealwing.rules.records import Facts, Member, Version

TABLES = ("rules", "rule_members", "rule_facts")


@dataclass(frozen=True, slots=True)
class ObservedState:
    """All that is known of versions here. Records are immutable, so copies of the tables are enough."""

    index: int
    tables: dict[str, dict[str, Any]]
    view: View

    @property
    def facts(self) -> Facts:
        """What holds of all versions."""
        return registry_state.facts(self.tables)

    @property
    def members(self) -> dict[str, Member]:
        """All members by name."""
        return registry_state.members(self.tables)

    def version(self, number: int) -> Version | None:
        """A version that is kept."""
        return registry_state.version(self.tables, number)

    def text(self, number: int) -> bytes:
        """A version's bundle; empty for 0. LookupError where it is not kept here."""
        found = self.version(number)
        if number and found is None:
            raise LookupError(f"version {number} of the rules is not kept here")
        return found.text if found is not None else b""

    def phase(self, number: int) -> str:
        """A version's phase, or `unknown`."""
        return self.view.phase_of(number) or "unknown"

    def waits_for(self) -> list[str]:
        """Names of the members whose word the version in flight waits for."""
        flight = self.view.in_flight
        if flight is None:
            return []
        return uncovered(self.tables, flight.number) if self.view.closing_for else unanswered(self.tables, flight)


def observe(state: State, name: str) -> ObservedState:
    """The tables as they are now, for the member of that name; on the thread that applies."""
    tables = {table: dict(state.tables[table]) for table in TABLES}
    return ObservedState(state.applied, tables, view_of(tables, state.applied, name))
