"""What versions of the rules are to this gateway: read, checked against what it runs, put in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from tealwing import interface as api
from tealwing.routing.table import Table
from tealwing.rules import affected, bundle, check, overlay
from tealwing.rules.bundle import EMPTY, Bundle
from tealwing.rules.errors import RulesError

if TYPE_CHECKING:
    from tealwing.levels.plan import Plan

MAX_REASON_LENGTH = 1900  # characters of a no: the log keeps each


class Gateway(Protocol):
    """What the gateway lends for it."""

    @property
    def platform_settings(self) -> api.Settings:
        """What the configuration says, before any version of the rules."""

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The engine list as it was last heard."""

    @property
    def sections(self) -> frozenset[str]:
        """Names of the sections of the operators' file that are on."""

    def put_in_force(
        self, settings: api.Settings | None, table: Table | None, levels: Plan | None, version: int
    ) -> None:
        """Put a version in force for new requests. ValueError, with nothing changed, where it does not fit."""


class LocalGateway:
    """One gateway; texts are bundles, empty where none is in force. See steering.Here."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def faults(self, text: bytes) -> list[str]:
        """What is wrong with a bundle, whoever runs it."""
        try:
            bundle.parse(text)
        except RulesError as error:
            return [str(error)]
        return []

    def verdict(self, before: bytes, text: bytes, min_build: int) -> tuple[bool, str]:
        """Whether this gateway can put it in force in place of the one before, and why not."""
        reasons = check.check_text(text, self._running(before), min_build)
        return not reasons, "; ".join(map(str, reasons))[:MAX_REASON_LENGTH]

    def affected_requests(self, before: bytes, after: bytes) -> affected.AffectedRequests:
        """What a change touches. RulesError where one of them can't be read."""
        return affected.affected_requests(_read(before), bundle.parse(after))

    def put_in_force(self, number: int, text: bytes) -> None:
        """Have new requests decided under it. ValueError, with nothing changed, where that can't be."""
        found = _read(text)
        table, levels = bundle.table(found), None
        if found.levels:
            from tealwing.rules import levels_section  # only where there are some

            levels = levels_section.parse_levels(found.levels)
        settings = overlay.apply(found, self._gateway.platform_settings)
        self._gateway.put_in_force(settings, table if table.routes else None, levels, number)

    def _running(self, before: bytes) -> check.Running:
        settings, listed = self._gateway.platform_settings, self._gateway.engine_list
        sites = frozenset(settings.zones[entry.zone] for entry in listed if entry.health is not api.Health.GONE)
        sections = self._gateway.sections
        return check.Running(
            settings, _read(before), sites if listed else None, levels="levels" in sections, gossip="gossip" in sections
        )


def _read(text: bytes) -> Bundle:
    return bundle.parse(text) if text else EMPTY
