"""The applied registry as one member reads it; pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from tealwing.rules.records import FACTS_KEY, IN_FLIGHT, Facts, Member, Phase, Version

CLOSING: tuple[Phase, ...] = ("preparing", "agreed")  # in these, affected requests wait


@dataclass(frozen=True, slots=True)
class View:
    """The registry at one index, as one member reads it."""

    index: int  # applied
    active: int  # number of the version in force; 0: none yet
    in_flight: Version | None  # the version whose outcome is open
    local_member: Member | None  # its row of rule_members; None: not registered
    last_number: int = 0  # assigned last
    phases: Mapping[int, Phase] = field(default_factory=dict)
    federation_index: int = (
        0  # of the active version: the index in the federation's log that decided it; 0: decided here
    )
    member_count: int = 0

    def phase_of(self, number: int) -> Phase | None:
        """Return a version's phase; None if it is unknown here. Trimmed ones are superseded or aborted."""
        if number in self.phases:
            return self.phases[number]
        if not 0 < number <= self.last_number:
            return None
        return "superseded" if number < self.active else "aborted"

    def has_outcome(self, number: int) -> bool:
        """Return whether a version's outcome is known here."""
        phase = self.phase_of(number)
        return phase is not None and phase not in IN_FLIGHT

    @property
    def closing_for(self) -> int:
        """Number of the version that members close for; 0: none."""
        return self.in_flight.number if self.in_flight is not None and self.in_flight.phase in CLOSING else 0

    def is_up_to(self, federated: FederatedView) -> bool:
        """Return whether the site's active version is at least the federation's."""
        if not self.active and not federated.active:
            return True
        return self.federation_index > 0 and self.active >= federated.active


FederatedView = View  # of the federation's log: its members are sites


def view_of(tables: Mapping[str, Mapping[str, Any]], index: int, name: str) -> View:
    """Return the view of the tables at an index, for the member (or site) of that name."""
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
