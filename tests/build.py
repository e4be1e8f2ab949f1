"""Settings and events for the tests, with everything that a test leaves open filled in."""

from __future__ import annotations

import dataclasses
from typing import Any

from tealwing import interface as api


def request_class(**changes: Any) -> api.RequestClass:
    given: dict[str, Any] = dict(
        name="look",
        aim=1.0,
        aim_stretch=1.5,
        deadline=5.0,
        worth=1.0,
        late_share=0.1,
        effect=api.Effect.SAFE,
        group=api.Group.ALL,
        window=5.0,
        ordered=False,
        threads=1,
        zones=None,
        kinds=None,
    )
    return api.RequestClass(**(given | changes))


def make_settings(**changes: Any) -> api.Settings:
    """Settings of one gateway; names of limits and rules may be given directly."""
    limits: dict[str, Any] = dict(
        cancel=True,
        duplicates=False,
        probes=False,
        peers=False,
        retry_after=True,
        max_attempts=4,
        max_retry_after=1.0,
    )
    rules: dict[str, Any] = dict(
        answer_slack=0.02,
        ask_within=10.0,
        cold_share=0.4,
        cold_time=15.0,
        drain_grace=0.25,
        fall_multiple=4.0,
        fall_time=2.0,
        order_settle=1.0,
        ration_free=None,
        ration_share=0.0,
        ration_window=0.0,
    )
    given: dict[str, Any] = dict(
        me=0,
        gateways=1,
        zone=0,
        zones=("a", "b"),
        kinds=(api.Kind("big", 8, 16384.0), api.Kind("small", 4, 8192.0)),
        classes=(request_class(),),
        prices=api.Prices(0.0, 0.0, 0.0),
        ask=False,
        report_fields=("inflight", "util"),
        grants=False,
        priorities=False,
        most_grant=0.4,
        notes_every=0.0,
        tells_cost=False,
        when_short="wait",
        marks_retry=False,
        tick=0.005,
    )
    for name, value in changes.items():
        part = next((p for p in (limits, rules) if name in p), given)
        part[name] = value
    return api.Settings(limits=api.Limits(**limits), rules=api.Rules(**rules), **given)


def entry(engine: int, **changes: Any) -> api.ListEntry:
    plain = api.ListEntry(engine, 0, 0, 0, api.Health.READY, 1.0, 0.0)
    return dataclasses.replace(plain, **changes)


def listing(*entries: api.ListEntry, kind: api.ListKind = api.ListKind.CACHED) -> api.EngineList:
    return api.EngineList(kind, 1, entries)


def delta(*entries: api.ListEntry) -> api.EngineList:
    return listing(*entries, kind=api.ListKind.DELTA)


def ok(id_: int, engine: int, elapsed: float = 0.1, attempt: int = 0, report: tuple[float, ...] = ()) -> api.Outcome:
    return api.Outcome(id_, attempt, engine, api.Result.OK, elapsed, True, report=report)


def bad(id_: int, engine: int, result: api.Result, attempt: int = 0, elapsed: float = 0.01) -> api.Outcome:
    return api.Outcome(id_, attempt, engine, result, elapsed, False)


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]
