"""The parsed section `federation` of the operators' file; pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Plan:
    """A federation of sites, each a fleet with its own replicated log. Durations are in seconds."""

    directory: str  # of the federation's log and snapshots
    sites: tuple[tuple[str, tuple[str, ...]], ...]  # each: its name, and its gateways' names in the section `peers`
    agreement_timeout: float = 8.0  # within which all sites must agree; otherwise the change is aborted
    voters_per_site: int = 3  # voters of a site in the federation's log, at most; its other gateways are learners
    heartbeat: float = 0.1
    election_timeout: float = 1.0

    def site_of(self, gateway: str) -> str:
        """Return the site of a gateway; empty if it has none."""
        return next((site for site, members in self.sites if gateway in members), "")

    def gateways(self, site: str) -> tuple[str, ...]:
        """Return the gateways of a site."""
        return next((members for name, members in self.sites if name == site), ())

    def initial_voters(self) -> tuple[str, ...]:
        """Return the initial voters of the federation's log: few enough of each site that none has a majority."""
        return tuple(sorted(name for _, members in self.sites for name in members[: self.voters_per_site]))

    def initial_learners(self) -> tuple[str, ...]:
        """Return the initial learners of the federation's log."""
        return tuple(sorted(name for _, members in self.sites for name in members[self.voters_per_site :]))
