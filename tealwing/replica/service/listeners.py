"""Who is told of what a member applies, of its leading, and of the time while it leads."""

from __future__ import annotations

from collections.abc import Callable

from tealwing.replica.commands import Command, CommandResult

AppliedListener = Callable[[int, Command | None, CommandResult | None], None]
LeadershipListener = Callable[[bool], None]


class Listeners:
    """Those that are told, on the member's thread: registered before the start, quick, never waiting."""

    def __init__(self) -> None:
        self._on_applied: list[AppliedListener] = []
        self._on_leadership: list[LeadershipListener] = []
        self._on_leader_tick: list[Callable[[float], None]] = []
        self._on_state_replaced: list[Callable[[], None]] = []

    def on_applied(self, watch: AppliedListener) -> None:
        """Be told of every entry once it is applied, on the member's thread; before the start."""
        self._on_applied.append(watch)

    def on_leadership(self, led: LeadershipListener) -> None:
        """Be told when this member begins and ceases to lead, on its thread; before the start."""
        self._on_leadership.append(led)

    def on_leader_tick(self, ticked: Callable[[float], None]) -> None:
        """Be told of the time while this member leads, on its thread; before the start."""
        self._on_leader_tick.append(ticked)

    def on_state_replaced(self, installed: Callable[[], None]) -> None:
        """Be told that another's snapshot took the place of the state, on the member's thread; before the start."""
        self._on_state_replaced.append(installed)
