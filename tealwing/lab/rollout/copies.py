"""The state of one log at each index: the same at all members, so it is made once, by whoever is there first.

That it is the same rests on their entries being the same, which is looked at for every entry at every member.
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

MAX_SNAPSHOTS = 4096  # indices


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The tables of the rules after one entry, and what came of it."""

    index: int
    entry: Entry | None
    command: c.Command | None
    result: c.CommandResult | None
    tables: dict[str, dict[str, Any]]
    plain: View  # nobody's: without `me`

    def view(self, name: str) -> View:
        """The state as a member of that name reads it."""
        v = self.plain
        return replace(v, local_member=self.tables["rule_members"].get(name))


class StateHistory:
    """All shots of one log."""

    def __init__(self) -> None:
        self._state = State()
        tables: dict[str, dict[str, Any]] = {name: {} for name in TABLES}
        self.first = StateSnapshot(0, None, None, None, tables, view_of(tables, 0, ""))
        self._shots = {0: self.first}

    @property
    def last(self) -> StateSnapshot:
        """After the last entry that any member has applied."""
        return self._shots[self._state.applied]

    def apply(self, entry: Entry) -> StateSnapshot:
        """A member applies an entry."""
        if entry.index == self._state.applied + 1:
            self._shots[entry.index] = self._make(entry)
            self._shots.pop(entry.index - MAX_SNAPSHOTS, None)
        snapshot = self._shots[entry.index]
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
