"""The bundle: one version of the rules as operators write it, in TOML; pure.

The log stores the proposed text and its digest; this module parses the text. Keys name their units.
"""

from __future__ import annotations

import tomllib
from typing import Annotated, Literal

import msgspec

from tealwing.routing import validate
from tealwing.routing.table import Route, Table
from tealwing.rules import typed
from tealwing.rules.errors import InvalidRoutesError, TomlError, TooLargeError
from tealwing.rules.records import MAX_BUNDLE_BYTES

__all__ = ["Attempts", "Bundle", "Class", "GroupRange", "Tenant", "parse", "table"]

MAX_ROUTES = 4096
MAX_GROUP = 2**53 - 1  # the decision module stores a group as a float
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
GroupNumber = Annotated[int, msgspec.Meta(ge=validate.NO_GROUP, le=MAX_GROUP)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """Base class of a bundle's TOML tables: keys in kebab case, unknown keys rejected."""


class Attempts(_Table, frozen=True):
    """Limit on the attempts of one request."""

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] | None = msgspec.field(default=None, name="most")


class Class(_Table, frozen=True):
    """Overrides of the platform's settings for one request class; None: no override."""

    latency_objective_ms: Milliseconds | None = msgspec.field(default=None, name="aim-ms")
    deadline_ms: Milliseconds | None = None
    effect: Literal["safe", "keyed", "unsafe"] | None = None
    priority_weight: Annotated[float, msgspec.Meta(ge=0, le=1e6)] | None = msgspec.field(default=None, name="worth")


class Tenant(_Table, frozen=True):
    """Overrides for one tenant; None: no override."""

    share: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None


class GroupRange(_Table, frozen=True):
    """The table groups from first to last (inclusive) and their sites in order of preference."""

    first: GroupNumber
    last: GroupNumber
    sites: Annotated[tuple[Name, ...], msgspec.Meta(max_length=64)]


class Bundle(_Table, frozen=True):
    """A whole bundle; an absent key leaves the platform's settings and the operators' files as they are."""

    # a section `levels` in the operators' grammar
    levels: Annotated[str, msgspec.Meta(max_length=MAX_BUNDLE_BYTES)] = ""
    attempts: Attempts = Attempts()
    classes: Annotated[dict[Name, Class], msgspec.Meta(max_length=256)] = {}
    tenants: Annotated[dict[Name, Tenant], msgspec.Meta(max_length=1024)] = {}
    routes: Annotated[tuple[GroupRange, ...], msgspec.Meta(max_length=MAX_ROUTES)] = ()


EMPTY = Bundle()  # the bundle in force before the first version


def parse(text: bytes) -> Bundle:
    """Parse a bundle. Raises BundleError with the key, what was found, and what is allowed."""
    if len(text) > MAX_BUNDLE_BYTES:
        raise TooLargeError("the bundle", f"{len(text)} bytes; allowed: {MAX_BUNDLE_BYTES}")
    try:
        data = tomllib.loads(text.decode())
    except RecursionError:
        raise TomlError("the bundle", "too many nested brackets") from None
    except ValueError as error:  # invalid TOML, invalid UTF-8, or an integer of thousands of digits
        raise TomlError("the bundle", str(error)[:200]) from None
    found = typed.read(Bundle, data)
    for fault in validate.find_faults(table(found).routes):
        raise InvalidRoutesError(fault.place, f"{fault.what}; {fault.remedy}")
    if found.levels:
        from tealwing.rules import levels_section  # imported only if needed, to save the grammar's memory

        levels_section.parse_levels(found.levels)
    return found


def table(bundle: Bundle) -> Table:
    """Return the bundle's routing table in order of groups; empty if it has no routes."""
    return Table.of(Route(route.first, route.last, route.sites) for route in bundle.routes)
