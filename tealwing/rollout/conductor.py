"""What whoever leads the log does for a change of rules; pure.

Nothing rests on it but how soon a change comes about: the state machine refuses what is not covered, whoever asks.
"""

from __future__ import annotations

from collections.abc import Collection, Hashable, Mapping
from typing import Any

from tealwing.leases.bounds import DEFAULT_BOUNDS, LeaseBounds
from tealwing.rollout.retry import Retry
from tealwing.rollout.view import CLOSING, view
from tealwing.rollout.witnesses import Witnesses
from tealwing.rules.records import Abort, Activate, Body, Close, Lapse, Member

__all__ = ["Conductor", "Witnesses"]


class Conductor:
    """Its times count by our clock from when we lead: each leader begins anew."""

    def __init__(
        self, name: str, limit: float, patience: float, bounds: LeaseBounds = DEFAULT_BOUNDS, seed: int = 0
    ) -> None:
        """limit and patience are s; name is ours, who are never silent."""
        self.name, self._limit, self._patience, self._seed = name, limit, patience, seed
        self._leads = False
        self.lead(0.0, False)

    def lead(self, now: float, leads: bool) -> None:
        """We lead from now on, or no more."""
        if leads and self._leads:
            return
        self._leads, self._retry = leads, Retry(self._seed)
        self._stage: tuple[int, bool, float] | None = None  # version, whether members close for it, since when
        self._silent: dict[str, float] = {}  # since when

    def look(self, now: float, tables: Mapping[str, Mapping[str, Any]], silent: Collection[str]) -> list[Body]:
        """What to propose now; silent are the members that are not heard now."""
        self._silent = {
            name: self._silent.get(name, now) for name in silent if name != self.name and name in tables["rule_members"]
        }
        wanted = self._wanted(now, tables) if self._leads else []
        self._retry.keep([key for key, _ in wanted])
        members = len(tables["rule_members"])
        return [body for key, body in wanted if self._retry.ready(now, key, members)]

    def _wanted(self, now: float, tables: Mapping[str, Mapping[str, Any]]) -> list[tuple[Hashable, Body]]:
        flight = view(tables, 0, "").flight
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
            covered = closing and member.closed == number
            if member.lost_touch == "hold" and not member.lapsed and not covered and now - since >= self._patience:
                found.append((("lapse", name, member.start), Lapse(name, member.start)))
        if flight.federated:  # its site is told by the federation when to close, and what came of it
            return found
        if flight.phase == "agreed":
            return [*found, (("activate", number), Activate(number))]
        if now - self._stage[2] >= self._limit:
            return [*found, (("abort", number), Abort(number, self._why(tables, number, closing)))]
        waits = found or any(member.lapsed and not member.over for member in members.values())
        if flight.phase == "checked" and not waits:  # nobody closes only to wait for the permits of the silent
            found.append((("close", number), Close(number)))
        return found

    def _why(self, tables: Mapping[str, Mapping[str, Any]], number: int, closing: bool) -> str:
        said = tables["rules"][str(number)].said
        missing = []
        for name, member in sorted(tables["rule_members"].items()):
            if member.lapsed and member.over:
                continue
            if member.closed != number if closing else name not in said or said[name].start != member.start:
                missing.append(f"{name} (silent)" if name in self._silent else name)
        what = "closed for it" if closing else "said that it can put it in force"
        some = ", ".join(missing[:8]) + (f" and {len(missing) - 8} more" if len(missing) > 8 else "")
        return f"within {self._limit:g} s not every member had {what}: {some or 'a lapse is not over'}"
