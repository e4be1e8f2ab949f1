"""What each process of a trial is told: the platform's file and the operators'."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from tealwing.lab import demo
from tealwing.peers.plan import Address

MIN_ATTEMPTS = 2  # that the tightest process is allowed


@dataclass(frozen=True, slots=True)
class Layout:
    """Where engines and processes stand, and what the processes' files have beside the section `peers`."""

    sections: str = ""  # of each process's operators' file; DATA, NAME, STALE and SABOTAGE in it are filled in
    engines: int = 0  # stand-ins for clients' queries; without them clients are refused
    zones: tuple[str, ...] = ()  # the engines' sites, in turn; rows name them. None: one place, which they don't name
    sites: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # of a federation: a site's processes
    lost_touch: str = "serve"  # what gateways of the load `rules` do when they are cut off
    stale: int = 1  # members that may come back with an older disk
    learners: frozenset[str] = frozenset()  # processes that follow the log without a vote
    tight: str = ""  # a process whose platform allows fewer attempts than others'
    sabotage: str = ""  # a line of the section rules, for those who are told
    saboteurs: frozenset[str] = frozenset()

    def site_of(self, name: str) -> str:
        """The site of a process; empty where there are none."""
        return next((site for site, members in self.sites.items() if name in members), "")

    def text(self, name: str, data: str) -> str:
        """The further sections of a process."""
        directive = f"    sabotage {self.sabotage}\n" if self.sabotage and name in self.saboteurs else ""
        filled = self.sections.replace("SABOTAGE\n", directive).replace("DATA", data).replace("NAME", name)
        return filled.replace("STALE", str(self.stale))


def platform_file(
    names: Sequence[str], number: int, seed: int, coordinator: str, known: Any, layout: Layout
) -> dict[str, Any]:
    """The platform's file of the process with that number."""
    settings, name = demo.facts(len(names), number), names[number]
    settings["Allowed"] = settings["Allowed"] | {"Peers": True}
    if layout.zones:
        site = layout.site_of(name)
        settings |= {"Zones": list(layout.zones), "Zone": layout.zones.index(site) if site else 0}
    if name == layout.tight:
        settings["Allowed"] = settings["Allowed"] | {"MaxAttempts": MIN_ATTEMPTS}
    return {
        "name": name, "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "seed": f"{seed * 64 + number + 1:x}", "coordinator": coordinator,
        "known": known, "limits": {"sockets": 512, "cores": 1.0}, "settings": settings,
    }  # fmt: skip


def operators_file(
    name: str, dial: dict[str, Address], control: Address, heartbeat_ms: int, layout: Layout, data: str
) -> str:
    """The operators' file of a process; dial: where it listens itself, and where it reaches each other."""
    lines = ["peers", f"    name {name}", "    fleet trial", f"    control 127.0.0.1:{control[1]}", "    faults on"]
    lines += [f"    beat {heartbeat_ms}ms"]
    for other, (host, port) in dial.items():
        lines.append(f"    member {other} {host}:{port}" + (" learner" if other in layout.learners else ""))
    return "\n".join(lines) + "\n" + layout.text(name, data)


def dials(name: str, names: Sequence[str], own: Address, proxied: Callable[[str, str], Address]) -> dict[str, Address]:
    """Where a process listens, and the proxy's listener for each other."""
    return {other: own if other == name else proxied(name, other) for other in names}
