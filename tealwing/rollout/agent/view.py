"""What the applied state says about one member and the versions of the rules; pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from tealwing.rules.records import FACTS_KEY, IN_FLIGHT, Facts, Member, Phase, Version

CLOSING: tuple[Phase, ...] = ("preparing", "agreed")  # in these nobody decides what the change touches


@dataclass(frozen=True, slots=True)
class View:
    """The state at one index, as one member reads it."""

    index: int  # applied
    active: int  # number of the version in force; 0: none yet
    in_flight: Version | None  # the version that is neither in force nor over
    local_member: Member | None  # of rule_members; None: not in the table
    last_number: int = 0  # number given last
    phases: Mapping[int, Phase] = field(default_factory=dict)
    federation_index: int = (
        0  # of the version in force: the index in the federation's log that decided it; 0: made here
    )
    member_count: int = 0  # how many take part

    def phase_of(self, number: int) -> Phase | None:
        """The phase of a version; None if this state has not heard of it. Those long gone are superseded or aborted."""
        if number in self.phases:
            return self.phases[number]
        if not 0 < number <= self.last_number:
            return None
        return "superseded" if number < self.active else "aborted"

    def has_outcome(self, number: int) -> bool:
        """Whether this state knows what came of a version."""
        phase = self.phase_of(number)
        return phase is not None and phase not in IN_FLIGHT

    @property
    def closing_for(self) -> int:
        """Number of the version that members close for; 0: none."""
        return self.in_flight.number if self.in_flight is not None and self.in_flight.phase in CLOSING else 0

    def is_up_to(self, federated: FederatedView) -> bool:
        """Whether the version in force at this site is at least the one that is in the federation's state."""
        if not self.active and not federated.active:
            return True
        return self.federation_index > 0 and self.active >= federated.active


FederatedView = View  # of the federation's log: its members are sites, and `me` is ours


def view_of(tables: Mapping[str, Mapping[str, Any]], index: int, name: str) -> View:
    """The state's tables at an index, for the member (or the site) of that name."""
    versions: list[Version] = list(tables["rules"].values())
    flight = next((version for version in versions if version.phase in IN_FLIGHT), None)
    facts: Facts = tables["rule_facts"].get(FACTS_KEY) or Facts()
    phases = {version.number: version.phase for version in versions}
    found = next((version for version in versions if version.number == facts.active_number), None)
    federation_index = found.federation_index if found is not None else 0
    members: Mapping[str, Member] = tables["rule_members"]
    return View(
        index, facts.active_number, flight, members.get(name), facts.last_number, phases, federation_index, len(members)
    )
