"""Where this member leads: a voter that is silent for long gives its place to a learner, one change after the other."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

from tealwing import log
from tealwing.replica import roles
from tealwing.replica.node import Replica
from tealwing.replica.outcomes import Told

LOOK = 0.5  # s between two looks: what is looked for is silence of seconds or minutes


class Change(Protocol):
    """The members after the next change, and why: roster.Change."""

    @property
    def voters(self) -> tuple[str, ...]:
        """Who votes then."""

    @property
    def learners(self) -> tuple[str, ...]:
        """Who only follows then."""

    @property
    def why(self) -> str:
        """For the log."""


class NextChange(Protocol):
    """The decision, pure: roster.next_change."""

    def __call__(
        self, voters: Collection[str], learners: Collection[str], heard: Mapping[str, float], ready: Collection[str],
        now: float, after: float, wanted: int,
    ) -> Change | None:  # fmt: skip
        """The one next change, or None."""


class Promotion:
    """Asks the roster while this member leads, and proposes what it says. On the member's thread."""

    def __init__(self, replica: Replica, next_change: NextChange, after: float, wanted: int) -> None:
        """after: s of silence that make a voter lost for good. wanted: voters that there should be."""
        self._replica, self._next_change, self._after, self._wanted = replica, next_change, after, wanted
        self._looked = float("-inf")
        self._under_way = False
        self._said: Change | None = None  # logged already: what can't be done yet is asked for again and again
        replica.on_tick(self.look)

    def look(self, now: float) -> None:
        """Propose the next change, if there is one and none is under way."""
        if self._under_way or self._looked <= now < self._looked + LOOK:
            return
        self._looked = now
        core = self._replica.core
        heard = {name: progress.heard for name, progress in core.progress.items()} | {core.me: now}
        change = self._next_change(
            core.members, core.learners, heard, roles.ready(core, now), now, self._after, self._wanted
        )
        if change is None:
            self._said = None
            return
        if change != self._said:
            self._said = change
            log.event(
                "replica_replaces", voters=change.voters, learners=change.learners, why=change.why,
                **self._replica.group.mark,
            )  # fmt: skip
        self._under_way = True
        self._replica.change_here(list(change.voters), list(change.learners), self._told)

    def _told(self, told: Told) -> None:
        self._under_way = False
        if told.word == "ok":
            self._said = None
        if told.word != "busy":  # busy: it comes again by itself
            log.event("replica_replaced", word=told.word, index=told.index, **self._replica.group.mark)
