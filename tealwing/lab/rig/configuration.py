"""Builds the platform's file and the operators' file of each process of a trial."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from tealwing.lab import demo
from tealwing.peers.plan import Address

MIN_ATTEMPTS = 2  # attempts allowed to the process with the tightest limits


@dataclass(frozen=True, slots=True)
class Layout:
    """The sites of engines and processes, and the sections of the processes' files besides `peers`."""

    sections: str = ""  # of each operators' file; the placeholders DATA, NAME, STALE and SABOTAGE are filled in
    engines: int = 0  # stand-in engines for clients' queries; with none, clients are refused
    # sites assigned to the engines in turn, and named in result rows; if empty, all engines are at one unnamed site
    zones: tuple[str, ...] = ()
    sites: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # processes of each site of a federation
    lost_touch: str = "serve"  # partition mode of the gateways under the load `rules`: `serve` or `hold`
    stale: int = 1  # members that may restart with an older disk
    learners: frozenset[str] = frozenset()  # processes that follow the log without a vote
    tight: str = ""  # the process whose platform allows only MIN_ATTEMPTS attempts
    sabotage: str = ""  # argument of the directive `sabotage` in the section `rules`
    saboteurs: frozenset[str] = frozenset()  # processes whose files have that directive

    def site_of(self, name: str) -> str:
        """Return the site of a process; empty if the process has none."""
        return next((site for site, members in self.sites.items() if name in members), "")

    def text(self, name: str, data: str) -> str:
        """Return the sections of a process's operators' file besides `peers`, with the placeholders filled in."""
        directive = f"    sabotage {self.sabotage}\n" if self.sabotage and name in self.saboteurs else ""
        filled = self.sections.replace("SABOTAGE\n", directive).replace("DATA", data).replace("NAME", name)
        return filled.replace("STALE", str(self.stale))


def platform_file(
    names: Sequence[str], number: int, seed: int, coordinator: str, known: Any, layout: Layout
) -> dict[str, Any]:
    """Return the platform's file of the process `names[number]`."""
    settings, name = demo.platform_settings(len(names), number), names[number]
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
    """Return the operators' file of a process; dial has its own listen address and those it dials, as from `dials`."""
    lines = ["peers", f"    name {name}", "    fleet trial", f"    control 127.0.0.1:{control[1]}", "    faults on"]
    lines += [f"    beat {heartbeat_ms}ms"]
    for other, (host, port) in dial.items():
        lines.append(f"    member {other} {host}:{port}" + (" learner" if other in layout.learners else ""))
    return "\n".join(lines) + "\n" + layout.text(name, data)


def dials(name: str, names: Sequence[str], own: Address, proxied: Callable[[str, str], Address]) -> dict[str, Address]:
    """Return the listen address of a process under its own name, and the proxy's listener for each peer."""
    return {other: own if other == name else proxied(name, other) for other in names}
