"""Whether a gateway could put a version in force as it runs now: each reason against it, with its remedy; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing import interface
from tealwing.levels.plan import PlanError
from tealwing.routing.diff import changed_groups
from tealwing.rules import bundle as bundles
from tealwing.rules import overlay
from tealwing.rules.bundle import Bundle
from tealwing.rules.errors import (
    BeyondMemory,
    NeedsNewerBuild,
    NeedsRestart,
    NoSite,
    RulesError,
    UnknownName,
)

BUILD = 1  # what this build can put in force; a version says what it needs
Reason = RulesError
ROUTE_BYTES = 1100  # of memory that a route takes at most while it is read
MEMORY_SHARE = 1 / 16  # of a gateway's memory that routes may take
MOST_TOLD = 5  # routes that are told; what holds for hundreds is one mistake


@dataclass(frozen=True, slots=True)
class Running:
    """What a gateway is."""

    settings: interface.Settings  # the platform's, without any bundle
    active: Bundle | None = None  # in force here
    sites: frozenset[str] | None = None  # that have engines in the engine list; None: it is not known yet
    memory: float = 0.0  # bytes that it may take; 0: no limit is known
    levels: bool = False  # its operators' file has a section `levels`
    gossip: bool = False  # and a section `gossip`
    build: int = BUILD


def judge(text: bytes, running: Running, needs: int = 1) -> list[Reason]:
    """The same for a text, which may be no bundle at all."""
    try:
        return check(bundles.parse(text), running, needs)
    except RulesError as error:
        return [error]


def check(bundle: Bundle, running: Running, needs: int = 1) -> list[Reason]:
    """All reasons against a good bundle; none: it can be in force here at once."""
    found: list[Reason] = []
    if needs > running.build:
        found.append(NeedsNewerBuild("needs", f"build {needs}; this is {running.build}"))
    try:
        settings = overlay.apply(bundle, running.settings)
        found += _restart(bundle, running, settings)
    except RulesError as error:
        found.append(error)
    if bundle.levels:
        found += _levels(bundle, running)
    takes, most = len(bundle.routes) * ROUTE_BYTES, running.memory * MEMORY_SHARE
    if running.memory and takes > most:
        found.append(BeyondMemory("routes", f"{takes} bytes for {len(bundle.routes)}; allowed: {most:.0f}"))
    return found + _routes(bundle, running)


def _restart(bundle: Bundle, running: Running, settings: interface.Settings) -> list[Reason]:
    """Levels and gossip are built on the settings that there were at their start."""
    found: list[Reason] = []
    if bundle.levels and running.levels:
        found.append(NeedsRestart("levels", "this gateway's operators' file has a section levels of its own"))
    try:
        before = overlay.apply(running.active or bundles.EMPTY, running.settings)
    except RulesError:  # the platform's settings have changed since: what is in force here is theirs
        before = running.settings
    if settings != before:
        for name, is_on in (("gossip", running.gossip), ("levels", running.levels)):
            if is_on:
                found.append(NeedsRestart("the settings", f"they change, and the section {name} is on here"))
    return found


def _levels(bundle: Bundle, running: Running) -> list[Reason]:
    from tealwing.rules import leveltext  # only where there are some

    try:
        leveltext.plan(bundle.levels).admission_limits(running.settings)
    except PlanError as error:
        return [UnknownName("levels", str(error)[:400])]
    return []


def _routes(bundle: Bundle, running: Running) -> list[Reason]:
    """Groups that no engine could serve. Only those that move: another site's trouble must not stop a change."""
    found: list[Reason] = []
    known = set(running.settings.zones)
    changed = changed_groups(bundles.table(running.active or bundles.EMPTY), bundles.table(bundle))
    for place, route in enumerate(bundle.routes):
        if not any(first <= route.last and route.first <= last for first, last in changed.pairs):
            continue
        where, sites = f"routes[{place}].sites", ", ".join(route.sites[:8])
        if not known & set(route.sites):
            found.append(NoSite(where, f"{sites}: none is known here; allowed: {', '.join(sorted(known)[:20])}"))
        elif running.sites is not None and not running.sites & set(route.sites):
            listed = ", ".join(sorted(running.sites)[:20]) or "none"
            found.append(NoSite(where, f"{sites}: without engines; sites with engines: {listed}"))
        if len(found) == MOST_TOLD:
            break
    return found
