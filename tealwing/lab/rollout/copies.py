"""The state of one log at each index, computed once, by the first member that applies the entry, and shared by all.

All members have the same state because they apply the same entries; every entry is checked at every member.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from tealwing.log import check_invariant
from tealwing.replica import commands as c
from tealwing.replica.messages import Entry, Kind
from tealwing.replica.state import State
from tealwing.rollout.agent.view import View, view_of
from tealwing.rollout.observed_state import TABLES

MAX_SNAPSHOTS = 4096  # of the newest indices


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The tables of the rules after one entry, and the result of its command."""

    index: int
    entry: Entry | None
    command: c.Command | None
    result: c.CommandResult | None
    tables: dict[str, dict[str, Any]]
    plain: View  # the view of no particular member: `local_member` is None

    def view(self, name: str) -> View:
        """Return the view of the member of that name."""
        v = self.plain
        return replace(v, local_member=self.tables["rule_members"].get(name))


class StateHistory:
    """The snapshots of one log by index, of which the newest are kept."""

    def __init__(self) -> None:
        self._state = State()
        tables: dict[str, dict[str, Any]] = {name: {} for name in TABLES}
        self.first = StateSnapshot(0, None, None, None, tables, view_of(tables, 0, ""))
        self._snapshots = {0: self.first}

    @property
    def last(self) -> StateSnapshot:
        """Return the snapshot after the last entry that any member has applied."""
        return self._snapshots[self._state.applied]

    def apply(self, entry: Entry) -> StateSnapshot:
        """Return the snapshot after an entry that a member applies; the first member to apply it computes it."""
        if entry.index == self._state.applied + 1:
            self._snapshots[entry.index] = self._make(entry)
            self._snapshots.pop(entry.index - MAX_SNAPSHOTS, None)
        snapshot = self._snapshots[entry.index]
        check_invariant(snapshot.entry == entry, "members apply the same entries")
        return snapshot

    def _make(self, entry: Entry) -> StateSnapshot:
        before = self.last
        if entry.kind is not Kind.DATA:
            self._state.applied = entry.index
            plain = replace(before.plain, index=entry.index)
            return StateSnapshot(entry.index, entry, None, None, before.tables, plain)
        result = self._state.apply(entry.index, entry.data)
        tables = {name: dict(self._state.tables[name]) for name in TABLES}
        command = c.decode(entry.data)
        return StateSnapshot(entry.index, entry, command, result, tables, view_of(tables, entry.index, ""))
