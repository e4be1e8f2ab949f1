"""Builds settings and events for tests, with defaults for all fields that a test does not give."""

from __future__ import annotations

import dataclasses
from typing import Any

from tealwing import interface as api


def request_class(**changes: Any) -> api.RequestClass:
    defaults: dict[str, Any] = dict(
        name="look",
        latency_objective=1.0,
        objective_per_work=1.5,
        deadline=5.0,
        priority_weight=1.0,
        late_weight_share=0.1,
        idempotency=api.Idempotency.IDEMPOTENT,
        idempotency_scope=api.IdempotencyScope.ALL,
        idempotency_window=5.0,
        ordered=False,
        threads=1,
        zones=None,
        machine_kinds=None,
    )
    return api.RequestClass(**(defaults | changes))


def make_settings(**changes: Any) -> api.Settings:
    """Settings of one gateway; fields of api.Limits and api.Rules are given by name like the others."""
    limits: dict[str, Any] = dict(
        cancellation=True,
        hedging=False,
        health_checks=False,
        peer_messages=False,
        retry_after=True,
        max_attempts=4,
        max_retry_after=1.0,
    )
    rules: dict[str, Any] = dict(
        answer_slack=0.02,
        poll_interval=10.0,
        slow_start_share=0.4,
        slow_start_time=15.0,
        drain_grace=0.25,
        overload_multiple=4.0,
        overload_time=2.0,
        ordering_settle_time=1.0,
        retry_budget_floor=None,
        retry_budget_share=0.0,
        retry_budget_window=0.0,
    )
    others: dict[str, Any] = dict(
        instance_number=0,
        gateway_count=1,
        zone=0,
        zones=("a", "b"),
        machine_kinds=(api.MachineKind("big", 8, 16384.0), api.MachineKind("small", 4, 8192.0)),
        classes=(request_class(),),
        prices=api.Prices(0.0, 0.0, 0.0),
        polls_discovery=False,
        report_fields=("inflight", "util"),
        heeds_memory_grants=False,
        heeds_priorities=False,
        max_grant_share=0.4,
        progress_interval=0.0,
        reports_cost=False,
        memory_shortage_policy="wait",
        clients_mark_retries=False,
        tick=0.005,
    )
    for name, value in changes.items():
        part = next((p for p in (limits, rules) if name in p), others)
        part[name] = value
    return api.Settings(limits=api.Limits(**limits), rules=api.Rules(**rules), **others)


def entry(engine: int, **changes: Any) -> api.EngineListEntry:
    default = api.EngineListEntry(engine, 0, 0, 0, api.Health.READY, 1.0, 0.0)
    return dataclasses.replace(default, **changes)


def listing(*entries: api.EngineListEntry, kind: api.EngineListKind = api.EngineListKind.CACHED) -> api.EngineList:
    return api.EngineList(kind, 1, entries)


def delta(*entries: api.EngineListEntry) -> api.EngineList:
    return listing(*entries, kind=api.EngineListKind.DELTA)


def ok(
    id_: int, engine: int, elapsed: float = 0.1, attempt: int = 0, report: tuple[float, ...] = ()
) -> api.AttemptOutcome:
    return api.AttemptOutcome(id_, attempt, engine, api.AttemptResult.OK, elapsed, True, report=report)


def bad(
    id_: int, engine: int, result: api.AttemptResult, attempt: int = 0, elapsed: float = 0.01
) -> api.AttemptOutcome:
    return api.AttemptOutcome(id_, attempt, engine, result, elapsed, False)


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]
