"""View of the applied registry for one member; pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from tealwing.rules.records import FACTS_KEY, IN_FLIGHT, Facts, Member, PartitionMode, Phase, Version

CLOSING: tuple[Phase, ...] = ("preparing", "agreed")  # in these, affected requests wait


@dataclass(frozen=True, slots=True)
class View:
    """The registry at one index, as far as one member needs it."""

    index: int  # of the last applied entry
    active: int  # number of the version in force; 0: none yet
    in_flight: Version | None  # the version whose outcome is open
    local_member: Member | None  # this member's row of rule_members; None: not registered
    last_number: int = 0  # highest number assigned so far
    phases: Mapping[int, Phase] = field(default_factory=dict)
    # index of the entry of the federation's log that decided the active version; 0: this log decided it
    federation_index: int = 0
    member_count: int = 0

    def phase_of(self, number: int) -> Phase | None:
        """Return a version's phase; None if it is unknown here.

        A trimmed version counts as superseded if it is older than the active one, otherwise as aborted.
        """
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
        """Number of the version in flight that members close for; 0: none."""
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


def federation_denial(mode: PartitionMode, site: View, fed: FederatedView | None, has_permit: bool) -> str:
    """Return why the federation allows no decisions at this site; empty if it does.

    has_permit: whether the permit from the federation's log is valid now. The reasons also name a metric of readiness:
    keep their wording.
    """
    if fed is None or fed.local_member is None:
        return "its site is not in the federation's table yet"
    if mode == "serve" and fed.local_member.partition_mode == "hold":
        return "the federation may go on without this site until it knows that a gateway here serves on"
    if fed.local_member.expiry_index:
        return "the federation has gone on without this site: it begins anew"
    if not has_permit:
        if mode == "hold":
            return "lost touch with the federation: its permit is over"
        return "it does not know yet whether what its disk has of the federation is the newest"
    closing = fed.closing_for
    if closing and fed.local_member.closed_for == closing and closing not in (site.closing_for, site.active):
        return f"the federation counts this site as closed for version {closing}, and it has not closed here"
    if not site.is_up_to(fed) and (site.closing_for != fed.active or (site.active and not site.federation_index)):
        return f"version {fed.active} is in force in the federation, and not here yet"
    return ""
