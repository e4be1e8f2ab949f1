"""Trust of a restarted gateway in its stored state, and the phases of its recovery; pure.

After a power loss no peer may be reachable, and the stored state may be outdated. Each item is therefore trusted only
as far as an error does no harm: the last good settings are used at once, a drain keeps its first cut-off, a lease held
before the restart is never trusted, and an item of unknown age is marked.

The phases of recovery: storage is checked (checksums, torn tails truncated), the peers are queried for a bounded time,
then the gateway is ready, with or without a quorum. Changes of the shared state need a quorum; serving a client never
does.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tealwing.lease_bounds import DEFAULT_BOUNDS
from tealwing.replica.state import State

PEER_QUERY_TIMEOUT = 2.0  # s after which the gateway is ready without an answer from its peers
MAX_AGE_MS = 600_000  # ms of age beyond which a note or a level is marked as possibly outdated
MAX_CLOCK_AHEAD_MS = 5_000  # ms by which a stored time may be ahead of the local clock


class Trust(Enum):
    """Degree of trust in a stored item."""

    TRUSTED = "held"  # used without restriction
    MARKED = "marked"  # in force, but marked as of unknown age or unconfirmed
    WAITS = "waits"  # not used before a given time
    NEVER = "never"  # not used at all


@dataclass(frozen=True, slots=True)
class AssessedItem:
    """An item of the stored state, the degree of trust in it, and the reason."""

    kind: str
    key: str
    trust: Trust
    reason: str
    until_ms: int = 0  # Unix time in ms, 0 if there is no time limit


def assess_trust(state: State, last_index: int, now_ms: int) -> list[AssessedItem]:
    """Return the degree of trust in each item of a restored state; `last_index` is the end of the stored log."""
    found = [*_settings(state), *_leases(state, now_ms), *_drains(state, now_ms)]
    for table in ("notes", "levels"):
        for key, entry in state.tables[table].items():
            found.append(_aged(table, key, entry.since, now_ms))
    if last_index > state.applied:
        why = f"entries {state.applied + 1} to {last_index} may be uncommitted: a leader keeps or replaces them"
        found.append(AssessedItem("log", f"{state.applied + 1}..{last_index}", Trust.MARKED, why))
    return found


def _settings(state: State) -> Iterable[AssessedItem]:
    last_good = state.last_good()
    for key in sorted(state.tables["settings"], key=int):
        version = int(key)
        if version == last_good:
            yield AssessedItem("settings", key, Trust.TRUSTED, "the last good version, used at once")
        elif version > last_good:
            yield AssessedItem("settings", key, Trust.NEVER, "an invalid version, never used")


def _leases(state: State, now_ms: int) -> Iterable[AssessedItem]:
    for name, lease in state.tables["leases"].items():
        if lease.held:
            wait = DEFAULT_BOUNDS.expiry_delay(lease.ttl / 1e3)
            why = (
                f"granted to {lease.holder} before the restart: not valid here, and not granted to another holder until"
                f" {wait:.2f} s after a leader is elected"
            )
            yield AssessedItem("lease", name, Trust.WAITS, why, now_ms + round(wait * 1e3))


def _drains(state: State, now_ms: int) -> Iterable[AssessedItem]:
    for key, drain in state.tables["drains"].items():
        if drain.notified > now_ms + MAX_CLOCK_AHEAD_MS:
            why = "announced at a time ahead of the local clock: the cut-off counts as past"
            yield AssessedItem("drain", key, Trust.MARKED, why, now_ms)
        else:
            yield AssessedItem("drain", key, Trust.TRUSTED, "continues with its first announced cut-off", drain.cutoff)


def _aged(table: str, key: str, since: int, now_ms: int) -> AssessedItem:
    age = now_ms - since
    if not since or age < -MAX_CLOCK_AHEAD_MS:
        return AssessedItem(table, key, Trust.MARKED, "its age is unknown", since)
    if age > MAX_AGE_MS:
        return AssessedItem(table, key, Trust.MARKED, f"{age // 1000} s old: possibly outdated", since)
    return AssessedItem(table, key, Trust.TRUSTED, f"{age // 1000} s old", since)


class Phase(Enum):
    """Phase of a restarted gateway's recovery."""

    DISK = "disk"  # storage is being read and checked; no message is sent yet
    QUERYING_PEERS = "asking"  # the peers are being queried, for at most PEER_QUERY_TIMEOUT
    STANDALONE = "alone"  # ready, but without a quorum or not caught up: the state is marked
    MEMBER = "member"  # caught up with a leader


@dataclass(frozen=True, slots=True)
class FleetView:
    """A member's view of the fleet at one moment."""

    leader: str
    term: int
    unconfirmed: bool
    commit: int
    applied: int
    reachable: int  # reachable members, this one included
    members: int


class Recovery:
    """State machine of the recovery phases of one gateway."""

    def __init__(self, now: float) -> None:
        self.phase, self.started_at = Phase.DISK, now
        self._querying_since = now
        # term, and the commit index at which its leader was first seen
        self._catch_up_target: tuple[int, int] | None = None
        self.ready_after: float | None = None  # s from the start to the first ready phase
        self.member_after: float | None = None  # s from the start to the first phase MEMBER

    def disk_read(self, now: float) -> None:
        """Enter the phase QUERYING_PEERS, once storage has been read and checked."""
        self.phase, self._querying_since = Phase.QUERYING_PEERS, now

    def update(self, now: float, view: FleetView) -> Phase:
        """Advance the phase by the current view of the fleet, and return it."""
        if self.phase is Phase.DISK:
            return self.phase
        if view.leader and (self._catch_up_target is None or self._catch_up_target[0] != view.term):
            self._catch_up_target = view.term, view.commit
        caught_up = (
            bool(view.leader)
            and not view.unconfirmed
            and self._catch_up_target is not None
            and view.applied >= self._catch_up_target[1]
        )
        if caught_up:
            self._enter(now, Phase.MEMBER)
        elif self.phase is Phase.MEMBER and not view.leader:
            self.phase = Phase.STANDALONE  # the quorum is lost: serving continues, with the state marked
        elif self.phase is Phase.QUERYING_PEERS and now - self._querying_since >= PEER_QUERY_TIMEOUT:
            self._enter(now, Phase.STANDALONE)
        return self.phase

    def _enter(self, now: float, phase: Phase) -> None:
        if self.ready_after is None:
            self.ready_after = now - self.started_at
        if phase is Phase.MEMBER and self.member_after is None:
            self.member_after = now - self.started_at
        self.phase = phase

    @property
    def ready(self) -> bool:
        """Whether the gateway reports itself ready; earlier clients are served too, as no request needs a quorum."""
        return self.phase in (Phase.STANDALONE, Phase.MEMBER)

    @property
    def may_change(self) -> bool:
        """Whether this gateway may accept new settings and run fleet-wide tasks."""
        return self.phase is Phase.MEMBER

    def reason(self, view: FleetView) -> str:
        """Return the reason for the current phase, as a text for operators.

        The part before the first semicolon is the name of a metric, and the admin address answers with the whole text:
        keep the wording.
        """
        reachable = f"{view.reachable} of {view.members} members are heard"
        if self.phase is Phase.DISK:
            return "the disk is being read"
        if self.phase is Phase.QUERYING_PEERS:
            return f"the peers are being asked; {reachable}"
        if self.phase is Phase.MEMBER:
            return f"caught up; {view.leader} leads term {view.term}"
        if not view.leader:
            return f"no leader is known; {reachable}; serving from what this gateway knows"
        return f"catching up with {view.leader}; serving from what this gateway knows"

    def report(self, view: FleetView, items: list[AssessedItem]) -> dict[str, Any]:
        """Return the recovery report for operators."""
        return {
            "phase": self.phase.value, "ready": self.ready, "reason": self.reason(view),
            "ready_after_s": None if self.ready_after is None else round(self.ready_after, 3),
            "member_after_s": None if self.member_after is None else round(self.member_after, 3),
            "beliefs": [
                {"what": i.kind, "key": i.key, "trust": i.trust.value, "why": i.reason, "until_ms": i.until_ms}
                for i in items
            ],
        }  # fmt: skip
