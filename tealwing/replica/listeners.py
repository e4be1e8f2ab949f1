"""Who is told of what a member applies, of its leading, and of the time while it leads."""

from __future__ import annotations

from collections.abc import Callable

from tealwing.replica.commands import Command, CommandResult

Applied = Callable[[int, Command | None, CommandResult | None], None]
Led = Callable[[bool], None]


class Listeners:
    """Those that are told, on the member's thread: registered before the start, quick, never waiting."""

    def __init__(self) -> None:
        self._watchers: list[Applied] = []
        self._led: list[Led] = []
        self._ticked: list[Callable[[float], None]] = []
        self._installed: list[Callable[[], None]] = []

    def watch(self, watch: Applied) -> None:
        """Be told of every entry once it is applied, on the member's thread; before the start."""
        self._watchers.append(watch)

    def on_led(self, led: Led) -> None:
        """Be told when this member begins and ceases to lead, on its thread; before the start."""
        self._led.append(led)

    def on_tick(self, ticked: Callable[[float], None]) -> None:
        """Be told of the time while this member leads, on its thread; before the start."""
        self._ticked.append(ticked)

    def on_installed(self, installed: Callable[[], None]) -> None:
        """Be told that another's snapshot took the place of the state, on the member's thread; before the start."""
        self._installed.append(installed)
