"""What a gateway's part in changes needs of the federation that its site takes part in."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from tealwing.replica.service.node import Replica
from tealwing.rollout.seen import Seen


class Outside(Protocol):
    """The federation, as this process takes part in its log."""

    @property
    def seen(self) -> Seen:
        """Its registry as it is applied here."""

    @property
    def replica(self) -> Replica:
        """Its log."""

    def on_change(self, changed: Callable[[], None]) -> None:
        """Be told, on the log's thread, when versions or sites have changed there."""

    def status(self) -> dict[str, Any]:
        """What operators ask for."""
