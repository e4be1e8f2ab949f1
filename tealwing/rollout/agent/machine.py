"""State machine of one gateway in a rollout: when it may decide requests, and under which version; pure.

The member closes as it applies `Close`, reports that once the marker is on disk, and opens only on a known outcome. In
mode `serve` its disk suffices at a start; in mode `hold` it decides nothing until its Begin is applied here and a
permit shows that no change has completed without it. The proof is in docs/rules.md. The reasons of gate states also
name a metric of readiness: keep their wording.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable

from tealwing.lease_bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.rollout.agent.actions import (
    FOREVER,
    HOLD_MARKER,
    Action,
    CheckBundle,
    GateState,
    PersistMarker,
    ReadIndex,
    ReadToken,
    Restart,
    SubmitCommand,
)
from tealwing.rollout.agent.permit import Permit
from tealwing.rollout.agent.retry import MAX_BACKOFF, Retry
from tealwing.rollout.agent.view import FederatedView, View, federation_denial
from tealwing.rules.records import Begin, Closed, PartitionMode, Verdict, Version

SABOTAGED_OPEN_AFTER = 1.0  # s; sabotage only


class Machine:
    """The state machine; the runtime steps it after every applied entry and on a tick, and it never blocks."""

    def __init__(  # noqa: PLR0913 -- facts known before the start; callers name them
        self, name: str, partition_mode: PartitionMode, start: int, permit: float = 2.0,
        bounds: LeaseBounds = DEFAULT_BOUNDS, marker: int = 0, build: int = 1, seed: int = 0,
        sabotage: frozenset[str] = frozenset(), disk: View | None = None, federated: bool = False,
        disk_federated: FederatedView | None = None, peers: int = 0,
    ) -> None:  # fmt: skip
        """Set the state from disk; permit is in s, marker is the number on disk (0: none).

        disk is the view of the local state at the start, before any entry came from others; None, or a view without
        this member, proves nothing. peers is the number of members in the section `peers`, as the log is not known yet.
        federated: this site is part of a federation, and disk_federated is the view of its log on this disk.
        """
        self.name, self.partition_mode, self.start, self.marker = name, partition_mode, start, marker
        self._permit, self._build, self._sabotage, self._federated = permit, build, sabotage, federated
        holds = partition_mode == "hold"
        self._site_permit = Permit(permit, bounds, holds)
        self._federation_permit = Permit(permit, bounds, holds)
        self._view: View | None = disk
        self._federated_view: FederatedView | None = disk_federated
        self._from_disk = disk is not None and disk.local_member is not None
        if (
            not holds
            and disk is not None
            and disk.local_member is not None
            and disk.local_member.partition_mode == "serve"
            and marker != HOLD_MARKER
        ):
            # no change can have completed without a report of this member, which the marker would show
            self._site_permit.grant_forever()
        if not holds and disk_federated is not None and disk_federated.local_member is not None:
            self._federation_permit.grant_forever()
        self._retry, self._serial = Retry(seed), 0
        self._peers = peers
        self._checked: dict[int, tuple[bool, str]] = {}  # of the version in flight only
        self._closed_at: tuple[int, float] | None = None  # sabotage only

    # Results of actions

    def marker_written(self, number: int) -> None:
        """Record that the number is on disk."""
        self.marker = number

    def checked(self, number: int, accepted: bool, reason: str = "") -> None:
        """Record the result of the check of a version's bundle."""
        self._checked = {number: (accepted, reason)}

    def submitted(self, now: float, action: Action, ok: bool) -> None:
        """Do nothing: an action is retried until the state shows its effect, whatever the answer was."""

    def read_sent(self, now: float, federation: bool = False) -> ReadToken:
        """Return the token of a read that is sent now."""
        self._serial += 1
        return ReadToken(self._serial, now, self.start, federation)

    def read_completed(self, now: float, token: ReadToken, index: int) -> None:
        """Record the index that a read returned: all that was committed when the read was sent is at or before it."""
        (self._federation_permit if token.federation else self._site_permit).read_completed(token, index)
        self._apply_reads()

    def read_would_extend(self, federation: bool = False) -> bool:
        """Return whether a read of a log could extend its permit, for the model check."""
        return (self._federation_permit if federation else self._site_permit).until < FOREVER

    def read_failed(self, now: float, token: ReadToken) -> None:
        """Record that a read got no answer, and schedule another."""
        (self._federation_permit if token.federation else self._site_permit).read_failed(
            now, min(MAX_BACKOFF, 0.1 * self._permit)
        )

    def clone(self) -> Machine:
        """Return an independent copy, except that it shares the retries, for the model check."""
        duplicate = copy.copy(self)
        duplicate._site_permit = self._site_permit.clone()  # noqa: SLF001 -- a copy of its own class
        duplicate._federation_permit = self._federation_permit.clone()  # noqa: SLF001
        return duplicate

    def key(self) -> tuple[Hashable, ...]:
        """Return the state that determines later behaviour, except views and retries, for the model check."""
        closed = self._closed_at if self._sabotage else None
        return (
            self.partition_mode,
            self.start,
            self.marker,
            self._from_disk,
            self._site_permit.key(),
            self._federation_permit.key(),
            closed,
            *self._checked,
        )

    # Actions

    def step(self, now: float, view: View, federated: FederatedView | None = None) -> list[Action]:
        """Apply a view of the log, and of the federation's, and return the actions that are due."""
        self._view, self._federated_view = view, federated or self._federated_view
        found: list[Action] = []
        local, renewed = view.local_member, False
        if local is not None and (local.start > self.start or (local.start == self.start and local.expiry_index)):
            renewed = "no-permit" not in self._sabotage or local.start > self.start
        if local is not None and renewed:
            self.start = local.start + 1
            found.append(Restart(self.start))
            if self.partition_mode == "hold":
                self._site_permit.revoke()
                self._federation_permit.revoke()
        self._apply_reads()
        pending = self._pending_actions(view)
        members = max(view.member_count, self._peers)
        self._retry.retain([key for key, _ in pending])
        found += [action for key, action in pending if self._retry.ready(now, key, members)]
        return found + self._reads(now, view)

    def _pending_actions(self, view: View) -> list[tuple[Hashable, Action]]:
        local, holds = view.local_member, self.partition_mode == "hold"
        if holds and self.marker != HOLD_MARKER:
            # before the log can show this member as `hold`: if it starts as `serve` later, it must not trust its disk
            return [("mark", PersistMarker(HOLD_MARKER))]
        if local is None or local.start != self.start or local.partition_mode != self.partition_mode:
            replaces = local.start if local is not None else 0
            permit = round(self._permit * 1e3) if holds else 0
            begin = Begin(self.name, self.start, self.partition_mode, self._build, permit, replaces)
            return [(("begin", self.start, replaces), SubmitCommand(begin))]
        if view.in_flight is None:
            self._checked = {}
        if view.closing_for:
            return self._closing_actions(view.closing_for, local.closed_for)
        if self.marker == HOLD_MARKER and not holds and self._site_permit.until == FOREVER:
            return [("mark", PersistMarker(view.active))]
        return self._verdict_actions(view.in_flight)

    def _verdict_actions(self, flight: Version | None) -> list[tuple[Hashable, Action]]:
        if flight is None or flight.phase not in ("proposed", "checked"):
            return []
        number, recorded = flight.number, flight.verdicts.get(self.name)
        if recorded is not None and recorded.start == self.start:
            return []
        if number not in self._checked:
            return [(("check", number, self.start), CheckBundle(number))]
        verdict = Verdict(number, self.name, self.start, *self._checked[number])
        return [(("verdict", number, self.start), SubmitCommand(verdict))]

    def _closing_actions(self, number: int, closed_for: int) -> list[tuple[Hashable, Action]]:
        if closed_for == number:
            return []
        if self.partition_mode != "hold" and self.marker != number:
            is_stale = self.marker > number and not (self.marker == HOLD_MARKER and self._site_permit.until == FOREVER)
            return [] if is_stale else [(("mark", number), PersistMarker(number))]
        return [(("closed", number, self.start), SubmitCommand(Closed(number, self.name, self.start)))]

    def _reads(self, now: float, view: View) -> list[Action]:
        found: list[Action] = []
        local = view.local_member
        if (
            local is not None
            and local.start == self.start
            and local.partition_mode == self.partition_mode
            and self._site_permit.should_read(now)
        ):
            found.append(ReadIndex())
        fed = self._federated_view
        if (
            self._federated
            and fed is not None
            and fed.local_member is not None
            and self._federation_permit.should_read(now)
        ):
            found.append(ReadIndex(True))
        return found

    def _apply_reads(self) -> None:
        view, fed = self._view, self._federated_view
        if (
            view is not None
            and view.local_member is not None
            and view.local_member.partition_mode == self.partition_mode
        ):
            self._site_permit.apply_reads(view, self.start, self._permit, self.start)
        if (
            fed is not None
            and fed.local_member is not None
            and (self.partition_mode == "hold" or fed.local_member.partition_mode == "serve")
        ):
            duration = fed.local_member.permit / 1e3 if fed.local_member.partition_mode == "hold" else self._permit
            self._federation_permit.apply_reads(fed, self.start, duration, fed.local_member.start)

    # Admission

    def gate_state(self, now: float) -> GateState:
        """Return which requests may be decided now; call it again after every step, and once `until` has passed."""
        view = self._view
        if view is None:
            return GateState("shut", 0, 0, "nothing is known yet of the versions of the rules")
        closing = view.closing_for
        if not closing and self.marker not in (0, HOLD_MARKER) and not view.has_outcome(self.marker):
            closing = self.marker
        if not (closing and self._closed_at and self._closed_at[0] == closing):
            self._closed_at = (closing, now) if closing else None
        reason, until = self._denial(now, view)
        if reason:
            return GateState("shut", view.active, closing, reason)
        if (sabotaged := self._sabotaged_version(now, view, closing)) is not None:
            return GateState("open", sabotaged, 0, "", until)
        if not closing:
            return GateState("open", view.active, 0, "", until)
        if view.phase_of(closing) is None or (0 < self.marker < HOLD_MARKER and view.phase_of(self.marker) is None):
            return GateState(
                "shut", view.active, closing, f"closed for version {closing}, which is not known here", until
            )
        return GateState(
            "closed", view.active, closing, f"closed for version {closing} until its outcome is known", until
        )

    def _denial(self, now: float, view: View) -> tuple[str, float]:
        """Return why no request may be decided (empty if some may), and until when that is valid."""
        if "start-from-disk" in self._sabotage and self._from_disk and self.partition_mode == "hold":
            return "", FOREVER
        local, until = view.local_member, self._site_permit.until
        if "no-permit" in self._sabotage and until:
            return "", FOREVER
        if local is None:
            return "not in the fleet's table yet", until
        if self.partition_mode == "hold":
            if local.start != self.start or local.partition_mode != "hold":
                return "its start is not in the fleet's table yet", until
            if local.expiry_index:
                return "the fleet has gone on without it: it begins anew", until
            if not self._site_permit.valid(now):
                return "lost touch: its permit is over, and a majority has not answered since", until
        elif not self._site_permit.valid(now):
            return "it does not know yet whether what its disk has is the newest", until
        if not self._federated:
            return "", until
        reason = federation_denial(self.partition_mode, view, self._federated_view, self._federation_permit.valid(now))
        return reason, min(until, self._federation_permit.until)

    def _sabotaged_version(self, now: float, view: View, closing: int) -> int | None:
        """Return the version under which a sabotaged member opens without an outcome."""
        flight = view.in_flight
        if not closing or flight is None or flight.number != closing:
            return None
        reported = view.local_member is not None and view.local_member.closed_for == closing
        if "early-open" in self._sabotage and (self.marker == closing or reported):
            return closing
        if "site-early" in self._sabotage and flight.federated and flight.phase == "agreed":
            return closing
        if (
            "guess-after-close" in self._sabotage
            and self._closed_at
            and now - self._closed_at[1] >= SABOTAGED_OPEN_AFTER
        ):
            return view.active
        return None
