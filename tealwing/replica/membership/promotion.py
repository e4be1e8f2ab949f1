"""Where this member leads: a voter that is silent for long gives its place to a learner, one change after the other."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

from tealwing import log
from tealwing.replica.forwarding.protocol import ForwardReply
from tealwing.replica.membership import changes
from tealwing.replica.service.node import Replica

CHECK_INTERVAL = 0.5  # s between two looks: what is looked for is silence of seconds or minutes


class ProposedChange(Protocol):
    """The members after the next change, and why: roster.Change."""

    @property
    def voters(self) -> tuple[str, ...]:
        """Who votes then."""

    @property
    def learners(self) -> tuple[str, ...]:
        """Who only follows then."""

    @property
    def reason(self) -> str:
        """For the log."""


class NextChange(Protocol):
    """The decision, pure: roster.next_change."""

    def __call__(
        self,
        voters: Collection[str],
        learners: Collection[str],
        last_contact: Mapping[str, float],
        ready: Collection[str],
        now: float,
        silence_limit: float,
        desired_voters: int,
    ) -> ProposedChange | None:
        """The one next change, or None."""


class Promotion:
    """Asks the roster while this member leads, and proposes what it says. On the member's thread."""

    def __init__(self, replica: Replica, next_change: NextChange, silence_limit: float, desired_voters: int) -> None:
        """after: s of silence that make a voter lost for good. wanted: voters that there should be."""
        self._replica, self._next_change, self._silence_limit, self._desired_voters = (
            replica,
            next_change,
            silence_limit,
            desired_voters,
        )
        self._checked_at = float("-inf")
        self._under_way = False
        self._logged: ProposedChange | None = (
            None  # logged already: what can't be done yet is asked for again and again
        )
        replica.on_leader_tick(self.check)

    def check(self, now: float) -> None:
        """Propose the next change, if there is one and none is under way."""
        if self._under_way or self._checked_at <= now < self._checked_at + CHECK_INTERVAL:
            return
        self._checked_at = now
        core = self._replica.core
        last_contact = {name: progress.last_contact for name, progress in core.progress.items()} | {core.local_id: now}
        change = self._next_change(
            core.members,
            core.learners,
            last_contact,
            changes.ready(core, now),
            now,
            self._silence_limit,
            self._desired_voters,
        )
        if change is None:
            self._logged = None
            return
        if change != self._logged:
            self._logged = change
            log.event(
                "replica_replaces", voters=change.voters, learners=change.learners, why=change.reason,
                **self._replica.group.log_fields,
            )  # fmt: skip
        self._under_way = True
        self._replica.change_members_if_leader(list(change.voters), list(change.learners), self._on_reply)

    def _on_reply(self, reply: ForwardReply) -> None:
        self._under_way = False
        if reply.status == "ok":
            self._logged = None
        if reply.status != "busy":  # busy: it comes again by itself
            log.event("replica_replaced", word=reply.status, index=reply.index, **self._replica.group.log_fields)
