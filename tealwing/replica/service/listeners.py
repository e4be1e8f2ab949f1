"""Listeners for applied entries, leadership changes, leader ticks and replaced states."""

from __future__ import annotations

from collections.abc import Callable

from tealwing.replica.commands import Command, CommandResult

AppliedListener = Callable[[int, Command | None, CommandResult | None], None]
LeadershipListener = Callable[[bool], None]


class Listeners:
    """Registry of listeners; they are registered before the start, run on the member's thread and must not block."""

    def __init__(self) -> None:
        self._on_applied: list[AppliedListener] = []
        self._on_leadership: list[LeadershipListener] = []
        self._on_leader_tick: list[Callable[[float], None]] = []
        self._on_state_replaced: list[Callable[[], None]] = []

    def on_applied(self, watch: AppliedListener) -> None:
        """Register a listener for every applied entry, called on the member's thread; only before the start."""
        self._on_applied.append(watch)

    def on_leadership(self, led: LeadershipListener) -> None:
        """Register a listener for leadership changes, called on the member's thread; only before the start."""
        self._on_leadership.append(led)

    def on_leader_tick(self, ticked: Callable[[float], None]) -> None:
        """Register a listener for ticks while this member leads, called on its thread; only before the start."""
        self._on_leader_tick.append(ticked)

    def on_state_replaced(self, installed: Callable[[], None]) -> None:
        """Register a listener for installed snapshots, called on the member's thread; only before the start."""
        self._on_state_replaced.append(installed)
