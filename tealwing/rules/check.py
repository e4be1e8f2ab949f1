"""Check whether a running gateway can activate a version; each reason against it names its remedy; pure."""

from __future__ import annotations

from dataclasses import dataclass

from tealwing import interface
from tealwing.levels.plan import PlanError
from tealwing.routing.diff import changed_groups
from tealwing.rules import bundle as bundles
from tealwing.rules import overlay
from tealwing.rules.bundle import Bundle
from tealwing.rules.errors import (
    BuildTooOldError,
    MemoryLimitError,
    RestartRequiredError,
    RulesError,
    UnknownNameError,
    UnknownSiteError,
)

BUILD = 1  # of this program; compared with a version's min_build
Reason = RulesError
ROUTE_BYTES = 1100  # upper bound of the memory that one route takes while it is parsed
MEMORY_SHARE = 1 / 16  # share of a gateway's memory that routes may take
MAX_REPORTED_ROUTES = 5  # hundreds of invalid routes usually have one cause


@dataclass(frozen=True, slots=True)
class RunningGateway:
    """The state of the running gateway that the check uses."""

    settings: interface.Settings  # the platform's, without any bundle
    active: Bundle | None = None  # the bundle in force at this gateway
    sites: frozenset[str] | None = None  # sites with engines in the engine list; None: the list is not known yet
    memory: float = 0.0  # bytes that the gateway may use; 0: no limit is known
    levels: bool = False  # the gateway's operators' file has a section `levels`
    gossip: bool = False  # the gateway's operators' file has a section `gossip`
    build: int = BUILD


def check_text(text: bytes, running: RunningGateway, min_build: int = 1) -> list[Reason]:
    """Return all reasons against activating a bundle's text; a text that can't be parsed gives one."""
    try:
        return check(bundles.parse(text), running, min_build)
    except RulesError as error:
        return [error]


def check(bundle: Bundle, running: RunningGateway, min_build: int = 1) -> list[Reason]:
    """Return all reasons against activating a parsed bundle at this gateway; empty if there are none."""
    found: list[Reason] = []
    if min_build > running.build:
        found.append(BuildTooOldError("needs", f"build {min_build}; this gateway has build {running.build}"))
    try:
        settings = overlay.apply(bundle, running.settings)
        found += _restart_errors(bundle, running, settings)
    except RulesError as error:
        found.append(error)
    if bundle.levels:
        found += _level_errors(bundle, running)
    route_bytes, max_bytes = len(bundle.routes) * ROUTE_BYTES, running.memory * MEMORY_SHARE
    if running.memory and route_bytes > max_bytes:
        found.append(
            MemoryLimitError(
                "routes", f"{route_bytes} bytes for {len(bundle.routes)} routes; allowed: {max_bytes:.0f} bytes"
            )
        )
    return found + _route_errors(bundle, running)


def _restart_errors(bundle: Bundle, running: RunningGateway, settings: interface.Settings) -> list[Reason]:
    """Return the changes that need a restart: running levels and gossip keep the settings that they started with."""
    found: list[Reason] = []
    if bundle.levels and running.levels:
        found.append(RestartRequiredError("levels", "this gateway's operators' file has its own section levels"))
    try:
        before = overlay.apply(running.active or bundles.EMPTY, running.settings)
    except RulesError:  # the platform's settings changed since, and the active bundle no longer fits them
        before = running.settings
    if settings != before:
        for name, is_on in (("gossip", running.gossip), ("levels", running.levels)):
            if is_on:
                found.append(RestartRequiredError("the settings", f"changed while the section {name} is on here"))
    return found


def _level_errors(bundle: Bundle, running: RunningGateway) -> list[Reason]:
    from tealwing.rules import levels_section  # imported only if needed

    try:
        levels_section.parse_levels(bundle.levels).admission_limits(running.settings)
    except PlanError as error:
        return [UnknownNameError("levels", str(error)[:400])]
    return []


def _route_errors(bundle: Bundle, running: RunningGateway) -> list[Reason]:
    """Return errors of changed routes that no engine could serve.

    Unchanged routes are skipped, so that the failure of one site blocks no change of others.
    """
    found: list[Reason] = []
    known = set(running.settings.zones)
    changed = changed_groups(bundles.table(running.active or bundles.EMPTY), bundles.table(bundle))
    for position, route in enumerate(bundle.routes):
        if not any(first <= route.last and route.first <= last for first, last in changed.pairs):
            continue
        where, sites = f"routes[{position}].sites", ", ".join(route.sites[:8])
        if not known & set(route.sites):
            found.append(
                UnknownSiteError(
                    where,
                    f"{sites}: none is a site of the platform's settings; allowed: {', '.join(sorted(known)[:20])}",
                )
            )
        elif running.sites is not None and not running.sites & set(route.sites):
            listed = ", ".join(sorted(running.sites)[:20]) or "none"
            found.append(UnknownSiteError(where, f"{sites}: sites without engines; sites with engines: {listed}"))
        if len(found) == MAX_REPORTED_ROUTES:
            break
    return found
