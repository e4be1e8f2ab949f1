"""Replacement of lost voters by learners, one change at a time, while this member leads."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

from tealwing import log
from tealwing.replica.forwarding.protocol import ForwardReply
from tealwing.replica.membership import changes
from tealwing.replica.service.node import Replica

CHECK_INTERVAL = 0.5  # s between two checks: the silence limits are seconds to minutes


class ProposedChange(Protocol):
    """The members after a change and its reason: voter_plan.MembershipChange."""

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters after the change."""

    @property
    def learners(self) -> tuple[str, ...]:
        """The learners after the change."""

    @property
    def reason(self) -> str:
        """The reason, for the log."""


class NextChange(Protocol):
    """The pure decision function: voter_plan.next_change."""

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
        """Return the next change, or None."""


class Promotion:
    """Proposes the planned membership changes while this member leads; confined to its thread."""

    def __init__(self, replica: Replica, next_change: NextChange, silence_limit: float, desired_voters: int) -> None:
        """Register for leader ticks.

        `silence_limit` is the silence in s after which a voter counts as lost, `desired_voters` the number of voters to
        restore.
        """
        self._replica, self._next_change, self._silence_limit, self._desired_voters = (
            replica,
            next_change,
            silence_limit,
            desired_voters,
        )
        self._checked_at = float("-inf")
        self._in_progress = False
        self._logged: ProposedChange | None = None  # last change logged, as a rejected change is proposed repeatedly
        replica.on_leader_tick(self.check)

    def check(self, now: float) -> None:
        """Propose the next membership change, if there is one and no other is in progress."""
        if self._in_progress or self._checked_at <= now < self._checked_at + CHECK_INTERVAL:
            return
        self._checked_at = now
        core = self._replica.core
        last_contact = {name: progress.last_contact for name, progress in core.progress.items()} | {core.local_id: now}
        change = self._next_change(
            core.members,
            core.learners,
            last_contact,
            changes.promotable_learners(core, now),
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
        self._in_progress = True
        self._replica.change_members_if_leader(list(change.voters), list(change.learners), self._on_reply)

    def _on_reply(self, reply: ForwardReply) -> None:
        self._in_progress = False
        if reply.status == "ok":
            self._logged = None
        if reply.status != "busy":  # busy: the next check proposes it again
            log.event("replica_replaced", word=reply.status, index=reply.index, **self._replica.group.log_fields)
