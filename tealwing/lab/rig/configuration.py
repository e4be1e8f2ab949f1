"""What each process of a trial is told: the platform's file and the operators'."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from tealwing.lab import demo
from tealwing.peers.plan import Address


def platform(names: Sequence[str], number: int, seed: int, coordinator: str, known: Any) -> dict[str, Any]:
    """The platform's file of the process with that number."""
    settings = demo.facts(len(names), number)
    settings["Allowed"] = settings["Allowed"] | {"Peers": True}
    return {
        "name": names[number], "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "seed": f"{seed * 64 + number + 1:x}", "coordinator": coordinator,
        "known": known, "limits": {"sockets": 512, "cores": 1.0}, "settings": settings,
    }  # fmt: skip


def operators(name: str, dial: dict[str, Address], control: Address, beat_ms: int, sections: str) -> str:
    """The operators' file of a process; dial: where it listens itself, and where it reaches each other."""
    lines = ["peers", f"    name {name}", "    fleet trial", f"    control 127.0.0.1:{control[1]}", "    faults on"]
    lines += [f"    beat {beat_ms}ms"]
    lines += [f"    member {other} {host}:{port}" for other, (host, port) in dial.items()]
    return "\n".join(lines) + "\n" + sections


def filled(sections: str, data: str, name: str, stale: int) -> str:
    """Further sections with DATA, NAME and STALE filled in."""
    return sections.replace("DATA", data).replace("NAME", name).replace("STALE", str(stale))


def dials(name: str, names: Sequence[str], own: Address, proxied: Callable[[str, str], Address]) -> dict[str, Address]:
    """Where a process listens, and the proxy's listener for each other."""
    return {other: own if other == name else proxied(name, other) for other in names}
