"""Listeners for applied entries, leadership changes, leader ticks and replaced states."""

from __future__ import annotations

from collections.abc import Callable

from tealwing.replica.commands import Command, CommandResult

AppliedListener = Callable[[int, Command | None, CommandResult | None], None]
LeadershipListener = Callable[[bool], None]


class Listeners:
    """Registry of listeners: registered before the member's start, called on its thread, and not allowed to block."""

    def __init__(self) -> None:
        self._on_applied: list[AppliedListener] = []
        self._on_leadership: list[LeadershipListener] = []
        self._on_leader_tick: list[Callable[[float], None]] = []
        self._on_state_replaced: list[Callable[[], None]] = []

    def on_applied(self, listener: AppliedListener) -> None:
        """Register a listener for every applied entry; only before the member's start."""
        self._on_applied.append(listener)

    def on_leadership(self, listener: LeadershipListener) -> None:
        """Register a listener for the gain and loss of leadership; only before the member's start."""
        self._on_leadership.append(listener)

    def on_leader_tick(self, listener: Callable[[float], None]) -> None:
        """Register a listener for ticks while this member leads; only before the member's start."""
        self._on_leader_tick.append(listener)

    def on_state_replaced(self, listener: Callable[[], None]) -> None:
        """Register a listener for states replaced by an installed snapshot; only before the member's start."""
        self._on_state_replaced.append(listener)
