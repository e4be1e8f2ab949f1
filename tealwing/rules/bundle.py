"""A bundle: one version of the rules as operators write it, in TOML; pure.

The text as it was proposed is what the log keeps and what the digest is of; this reads it. Keys name their units.
"""

from __future__ import annotations

import tomllib
from typing import Annotated, Literal

import msgspec

from tealwing.routing import validate
from tealwing.routing.table import Route, Table
from tealwing.rules import typed
from tealwing.rules.digests import digest
from tealwing.rules.errors import BadRoutes, NotToml, TooLarge
from tealwing.rules.records import LARGEST

__all__ = ["Attempts", "Bundle", "Class", "Ranged", "Tenant", "digest", "parse", "table"]

MOST_ROUTES = 4096
MOST_GROUP = 2**53 - 1  # what a group's number may be: the decision module holds it as a float
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
GroupNumber = Annotated[int, msgspec.Meta(ge=validate.NO_GROUP, le=MOST_GROUP)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The base of a bundle's tables."""


class Attempts(_Table, frozen=True):
    """How often a request is tried."""

    most: Annotated[int, msgspec.Meta(ge=1, le=100)] | None = None


class Class(_Table, frozen=True):
    """What is other for one class than the platform's settings say; None: nothing."""

    aim_ms: Milliseconds | None = None
    deadline_ms: Milliseconds | None = None
    effect: Literal["safe", "keyed", "unsafe"] | None = None
    worth: Annotated[float, msgspec.Meta(ge=0, le=1e6)] | None = None


class Tenant(_Table, frozen=True):
    """What is other for one account; None: nothing."""

    share: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None


class Ranged(_Table, frozen=True):
    """The groups of tables from first to last, both among them, and their sites, the preferred one first."""

    first: GroupNumber
    last: GroupNumber
    sites: Annotated[tuple[Name, ...], msgspec.Meta(max_length=64)]


class Bundle(_Table, frozen=True):
    """All of it; what is absent is as the platform and the operators' files say."""

    levels: Annotated[str, msgspec.Meta(max_length=LARGEST)] = ""  # a section `levels` in the operators' grammar
    attempts: Attempts = Attempts()
    classes: Annotated[dict[Name, Class], msgspec.Meta(max_length=256)] = {}
    tenants: Annotated[dict[Name, Tenant], msgspec.Meta(max_length=1024)] = {}
    routes: Annotated[tuple[Ranged, ...], msgspec.Meta(max_length=MOST_ROUTES)] = ()


EMPTY = Bundle()  # what is in force before the first version


def parse(text: bytes) -> Bundle:
    """The bundle of a text. errors.BundleError with the key, what was found, and what is allowed."""
    if len(text) > LARGEST:
        raise TooLarge("the bundle", f"{len(text)} bytes; allowed: {LARGEST}")
    try:
        data = tomllib.loads(text.decode())
    except RecursionError:
        raise NotToml("the bundle", "too many brackets within one another") from None
    except ValueError as error:  # no TOML, no UTF-8, or a number of thousands of figures
        raise NotToml("the bundle", str(error)[:200]) from None
    found = typed.read(Bundle, data)
    for fault in validate.find_faults(table(found).routes):
        raise BadRoutes(fault.place, f"{fault.what}; {fault.remedy}")
    if found.levels:
        from tealwing.rules import leveltext  # only where there are some: the grammar takes memory

        leveltext.plan(found.levels)
    return found


def table(bundle: Bundle) -> Table:
    """The routing table that a bundle has, in the order of the groups; one without routes where it has none."""
    return Table.of(Route(route.first, route.last, route.sites) for route in bundle.routes)
