"""Which keys of the settings the platform's page marks as optional, and which keys a new file lacks.

A key that the page does not mark belongs to every file. Some older files lack a few of them, and the parser has
defaults for these. But a file that lacks a key which the one in force has is incomplete, and is not taken.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

# Unmarked keys of each object; "[]" marks a list, whose items have names. The page marks the other keys: "may be
# absent" AimStretch; "optional" FifoByKey and Prices.Fleet; "if present" BoundTo, ConfinedTo, ExtraFree,
# ExtraPerRequest, BudgetSpanNs and SettleAfterDoubtNs; a site can have no Accounts.
UNMARKED_KEYS: dict[str, tuple[str, ...]] = {
    "": (
        "Allowed", "Clients", "Contract", "Discovery", "FamilyInfo", "Grades", "Kinds", "Me", "OverShareWorth",
        "Prices", "Report", "ResultMix", "Siblings", "Stages", "TickNs", "Tier", "Weights", "Workload", "WorthBy",
        "Zone", "Zones",
    ),
    "Accounts[]": ("Name", "QuotaRps", "Share"),
    "Allowed": (
        "Cancelling", "ConnIdleNs", "ConnectTimeoutNs", "CpuUsPerRequest", "CpuUsPerS", "MaxAttempts", "MaxOpen",
        "MaxRetryAfterNs", "MayDuplicate", "Multiplex", "Peers", "Probing", "RetryAfter",
    ),
    "Clients": ("MarksRetry",),
    "Contract": (
        "AnswerSlackNs", "AskWithinNs", "ColdNs", "ColdShare", "DrainGraceNs", "FallMultiple", "TipAfterNs",
    ),
    "FamilyInfo": (
        "ClassWaits", "CoresByKind", "HoldsTables", "MostGrant", "Notes", "Overbooked", "RamOfKindMb", "RanksHeeded",
        "ReportX0", "ReportX1", "TakesGrants", "TellsCost", "TellsEveryNs", "WidthByClass",
    ),
    "Grades[]": (
        "Credit", "DeadlineNs", "Effect", "Group", "LateShare", "Name", "Streamed", "TargetNs", "WindowNs",
    ),
    "Prices": (
        "Connection", "CrossZone", "Discovery", "Handshake", "LateFail", "Moves", "Origin", "Peer", "Probe", "Waste",
    ),
    "Report": ("Columns", "Via"),
    "ResultMix": ("Whole", "WorstClass", "WorstTenant", "WorstWindow"),
}  # fmt: skip


def unmarked_keys(settings: dict[str, Any]) -> frozenset[str]:
    """Return the paths of the unmarked keys that the settings have; a path names an item of a list by its name."""
    found = set[str]()
    for place, names in UNMARKED_KEYS.items():
        for prefix, item in _objects_at(settings, place):
            found.update(f"{prefix}{name}" for name in names if item.get(name) is not None)
    return frozenset(found)


def _objects_at(settings: dict[str, Any], place: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the objects at a place, each with the prefix of its keys' paths."""
    if not place:
        return [("", settings)]
    name = place.removesuffix("[]")
    value = settings.get(name)
    if name == place:
        return [(f"{name}.", value)] if isinstance(value, dict) else []
    items = [item for item in value if isinstance(item, dict)] if isinstance(value, list) else []
    return [(f"{name}[{item.get('Name')}].", item) for item in items]


def lacking_keys(keys: Iterable[str], in_force: Iterable[str]) -> list[str]:
    """Return the keys of the settings in force that new settings lack.

    Of an absent object only its own key is returned. Items of lists, such as classes, may be dropped.
    """
    present = frozenset(keys)
    lacking = frozenset(in_force) - present
    return sorted(key for key in lacking if not _is_gone(key, present, lacking))


def _is_gone(key: str, present: frozenset[str], lacking: frozenset[str]) -> bool:
    """Whether the key's object is absent, not the key alone."""
    owner, dot, _ = key.rpartition(".")
    if owner.endswith("]"):
        return f"{owner}.Name" not in present
    return bool(dot) and owner in lacking
