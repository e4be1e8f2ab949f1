"""Schema of the section `rules` of the operators' file, and its checks against other sections."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from tealwing.conf import values
from tealwing.conf.grammar import Place
from tealwing.conf.schema import Block, Report, Section, Spec
from tealwing.lease_bounds import DEFAULT_BOUNDS, MIN_TTL
from tealwing.rollout.plan import SABOTAGES, Plan

SPECS = (
    Spec("lost-touch", "serve|hold", "What this gateway does while it is cut off from the fleet. `serve`: it goes on"
         " deciding requests, and a change that it has not closed for waits or is aborted. `hold`: it decides none once"
         " its permit has expired, and a change goes on without it.",
         values.choice("serve", "hold"), "serve"),
    Spec("permit", "DURATION", "`hold`: how long a permit lasts, and thus how long a change may wait for a lost"
         " gateway.", values.durations(MIN_TTL, 60.0), "2s"),
    Spec("limit", "DURATION", "Time after which a change that not every gateway has closed for is aborted; longer than"
         " patience.", values.durations(0.5, 120.0), "5s"),
    Spec("patience", "DURATION", "`hold`: silence of a gateway after which its permits are left to expire, so that a"
         " change goes on without it.",
         values.durations(0.1, 30.0), "500ms"),
    Spec("queue", "COUNT", "Requests that may wait while the gate is closed for a change; more are rejected with a"
         " Retry-After.",
         values.integers(1, 4096), "64"),
    Spec("sabotage", "WORD", "Fault injected into this gateway, to test that a trial's judges find it; needs `faults"
         " on` in the section peers. Never in production.", values.choice(*SABOTAGES)),
)  # fmt: skip


def build(block: Block, report: Report) -> Plan:
    """Build the plan of a checked section."""
    plan = Plan(
        block.one("lost-touch"), block.one("permit"), block.one("limit"), block.one("patience"), block.one("queue"),
        block.one("sabotage") or "",
    )  # fmt: skip
    place = block.entries["lost-touch"][0].place
    if plan.limit <= plan.patience:
        allowed = f"more than patience, {values.format_duration(plan.patience)}"
        report.add(block.place("limit", place), "limit", values.format_duration(plan.limit), allowed)
    lower_bound = DEFAULT_BOUNDS.expiry_delay(plan.permit) + plan.patience
    if plan.partition_mode == "hold" and plan.limit <= lower_bound:
        allowed = f"more than patience and a permit's end, {values.format_duration(round(lower_bound, 3))}"
        report.add(block.place("limit", place), "limit", values.format_duration(plan.limit), allowed)
    return plan


def across(records: Mapping[str, Any], blocks: Mapping[str, Block], report: Report) -> None:
    """Report contradictions between this section and other sections that are each valid alone."""
    block, plan = blocks["rules"], records.get("rules")
    place = next((entries[0].place for entries in block.entries.values()), Place("", 0))
    for other in ("peers", "replica"):
        if other not in blocks:
            report.add(
                place, "rules", f"no section {other}", f"a section {other}: versions are kept in the replicated log"
            )
    peers, replica = records.get("peers"), records.get("replica")
    if plan is None or peers is None or replica is None:
        return
    if plan.partition_mode == "serve" and replica.max_stale_disks > 0:
        report.add(
            block.place("lost-touch", place),
            "lost-touch",
            f"serve, with stale {replica.max_stale_disks} in the section replica",
            "hold; or stale 0: with serve a gateway decides by its disk, and must not start with an older one",
        )
    if plan.sabotage and not peers.faults:
        report.add(block.place("sabotage", place), "sabotage", plan.sabotage,
                   "none; or, in a trial, `faults on` in the section peers")  # fmt: skip


SECTION = Section(
    "rules",
    "Changes of the rules that take effect at every gateway or at none; needs the sections `peers` and `replica`; see"
    " docs/operating/rules.md. Absent: no such changes.",
    SPECS,
    build,
    across,
)
