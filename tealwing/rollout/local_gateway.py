"""Adapter of the local gateway for the rollout: parses, checks and activates versions of the rules."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from tealwing import interface as api
from tealwing.routing.table import Table
from tealwing.rules import affected, bundle, check, overlay
from tealwing.rules.bundle import EMPTY, Bundle
from tealwing.rules.errors import RulesError

if TYPE_CHECKING:
    from tealwing.levels.plan import Plan

MAX_REASON_LENGTH = 1900  # characters; the replicated log stores each reason


class Gateway(Protocol):
    """The gateway as the adapter uses it."""

    @property
    def platform_settings(self) -> api.Settings:
        """The configured settings, without any version of the rules."""

    @property
    def engine_list(self) -> tuple[api.EngineListEntry, ...]:
        """The latest engine list."""

    @property
    def sections(self) -> frozenset[str]:
        """Names of the active sections of the operators' file."""

    def put_in_force(
        self, settings: api.Settings | None, table: Table | None, levels: Plan | None, version: int
    ) -> None:
        """Decide new requests under a version. Raises ValueError, with nothing changed, if it does not fit here."""


class LocalGateway:
    """Implements admission.gate_control.RulesAdapter; texts are bundles, empty if no version is active."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def faults(self, text: bytes) -> list[str]:
        """Return the faults that make a bundle invalid at every gateway."""
        try:
            bundle.parse(text)
        except RulesError as error:
            return [str(error)]
        return []

    def verdict(self, before: bytes, text: bytes, min_build: int) -> tuple[bool, str]:
        """Return whether this gateway can replace the bundle `before` by `text`, and the reasons if not."""
        reasons = check.check_text(text, self._running(before), min_build)
        return not reasons, "; ".join(map(str, reasons))[:MAX_REASON_LENGTH]

    def affected_requests(self, before: bytes, after: bytes) -> affected.AffectedRequests:
        """Return the requests that a change affects. Raises RulesError if a bundle can't be parsed."""
        return affected.affected_requests(_parse_or_empty(before), bundle.parse(after))

    def put_in_force(self, number: int, text: bytes) -> None:
        """Decide new requests under a version. Raises ValueError, with nothing changed, if it does not fit here."""
        found = _parse_or_empty(text)
        table, levels = bundle.table(found), None
        if found.levels:
            from tealwing.rules import levels_section  # imported only if needed

            levels = levels_section.parse_levels(found.levels)
        settings = overlay.apply(found, self._gateway.platform_settings)
        self._gateway.put_in_force(settings, table if table.routes else None, levels, number)

    def _running(self, before: bytes) -> check.RunningGateway:
        settings, listed = self._gateway.platform_settings, self._gateway.engine_list
        sites = frozenset(settings.zones[entry.zone] for entry in listed if entry.health is not api.Health.GONE)
        sections = self._gateway.sections
        return check.RunningGateway(
            settings,
            _parse_or_empty(before),
            sites if listed else None,
            levels="levels" in sections,
            gossip="gossip" in sections,
        )


def _parse_or_empty(text: bytes) -> Bundle:
    return bundle.parse(text) if text else EMPTY
