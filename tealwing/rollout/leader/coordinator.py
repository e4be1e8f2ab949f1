"""Rollout duties of the log's leader: which commands to propose, and when; pure.

Only progress depends on these duties: the registry rejects the activation of a version that is not covered.
"""

from __future__ import annotations

from collections.abc import Collection, Hashable, Mapping
from typing import Any

from tealwing.lease_bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.rollout.agent.retry import Retry
from tealwing.rollout.agent.view import CLOSING, view_of
from tealwing.rules.records import Abort, Activate, Body, Close, ExpirePermit, Member


class RolloutCoordinator:
    """Proposes the next command of a rollout; its timeouts start again with each leader."""

    def __init__(
        self, name: str, limit: float, patience: float, bounds: LeaseBounds = DEFAULT_BOUNDS, seed: int = 0
    ) -> None:
        """Name is the local member; limit and patience are in s, as in the plan."""
        self.name, self._limit, self._patience, self._seed = name, limit, patience, seed
        self._leads = False
        self.set_leading(0.0, False)

    def set_leading(self, now: float, leads: bool) -> None:
        """Set whether the local member leads."""
        if leads and self._leads:
            return
        self._leads, self._retry = leads, Retry(self._seed)
        self._stage: tuple[int, bool, float] | None = None  # version in flight, whether it is closing, since when
        self._silent: dict[str, float] = {}  # silent members, and since when

    def step(self, now: float, tables: Mapping[str, Mapping[str, Any]], silent: Collection[str]) -> list[Body]:
        """Return the commands to propose now; silent holds the names of the unreachable members."""
        self._silent = {
            name: self._silent.get(name, now) for name in silent if name != self.name and name in tables["rule_members"]
        }
        pending = self._proposals(now, tables) if self._leads else []
        self._retry.retain([key for key, _ in pending])
        members = len(tables["rule_members"])
        return [body for key, body in pending if self._retry.ready(now, key, members)]

    def _proposals(self, now: float, tables: Mapping[str, Mapping[str, Any]]) -> list[tuple[Hashable, Body]]:
        flight = view_of(tables, 0, "").in_flight
        if flight is None:
            self._stage = None
            return []
        number, closing = flight.number, flight.phase in CLOSING
        if self._stage is None or self._stage[:2] != (number, closing):
            self._stage = number, closing, now
        members: Mapping[str, Member] = tables["rule_members"]
        found: list[tuple[Hashable, Body]] = []
        for name, since in sorted(self._silent.items()):
            member = members[name]
            covered = closing and member.closed_for == number
            if (
                member.partition_mode == "hold"
                and not member.expiry_index
                and not covered
                and now - since >= self._patience
            ):
                found.append((("lapse", name, member.start), ExpirePermit(name, member.start)))
        if flight.federated:  # the federation decides when to close, and the outcome
            return found
        if flight.phase == "agreed":
            return [*found, (("activate", number), Activate(number))]
        if now - self._stage[2] >= self._limit:
            return [*found, (("abort", number), Abort(number, self._abort_reason(tables, number, closing)))]
        waits = found or any(member.expiry_index and not member.expiry_confirmed for member in members.values())
        if flight.phase == "checked" and not waits:  # wait for permits to expire before closing
            found.append((("close", number), Close(number)))
        return found

    def _abort_reason(self, tables: Mapping[str, Mapping[str, Any]], number: int, closing: bool) -> str:
        verdicts = tables["rules"][str(number)].verdicts
        missing = []
        for name, member in sorted(tables["rule_members"].items()):
            if member.expiry_index and member.expiry_confirmed:
                continue
            if member.closed_for != number if closing else name not in verdicts or verdicts[name].start != member.start:
                missing.append(f"{name} (silent)" if name in self._silent else name)
        what = "closed for it" if closing else "accepted it"
        shown = ", ".join(missing[:8]) + (f" and {len(missing) - 8} more" if len(missing) > 8 else "")
        return f"within {self._limit:g} s not every member had {what}: {shown or 'an expiry is unconfirmed'}"
