"""Reads and writes the recording of gateway events, which `benchmarks/record_actions.py` makes."""

from __future__ import annotations

import dataclasses
import gzip
from enum import Enum
from pathlib import Path
from typing import Any

import orjson

from tealwing import interface as api
from tealwing.lab import site

PATH = Path(__file__).parent / "actions.jsonl.gz"
CALM_PLAN = """\
levels
    level never
        enter when fleet.load > 1000 for 1m
        exit when fleet.load < 1 for 2m
        admit report 0%
"""
KINDS: dict[str, Any] = {  # event types by their names in the recording
    "EngineList": api.EngineList,
    "Request": api.Request,
    "Outcome": api.AttemptOutcome,
    "Note": api.AttemptProgress,
    "HungUp": api.ClientGone,
    "TimerFired": api.TimerFired,
}
NAMES = {kind: name for name, kind in KINDS.items()}
FIELDS = {  # current names of fields by their names in the recording
    "time_left": "time_remaining",
    "need": "memory_estimate",
    "resubmitted": "is_client_retry",
    "write": "is_write",
    "over": "request_ended",
}
RECORDED_FIELDS = {current: recorded for recorded, current in FIELDS.items()} | {"memory_used": "need"}


def settings() -> api.Settings:
    """The settings of the recorded gateway."""
    return dataclasses.replace(site.settings(3), tenant_quotas=())


def dump(events: list[tuple[float, api.Event]], digest: str) -> None:
    """Write a recording: the digest of the actions, then the events with their times."""
    with gzip.GzipFile(PATH, "wb", mtime=0) as file:
        file.write(orjson.dumps({"digest": digest}) + b"\n")
        for now, event in events:
            file.write(orjson.dumps([now, NAMES[type(event)], _plain(event)]) + b"\n")


def load() -> tuple[list[tuple[float, api.Event]], str]:
    """Read the events with their times, and the digest of the actions in their wire encoding."""
    with gzip.open(PATH) as file:
        head, *lines = map(orjson.loads, file)
    return [(now, _event(name, fields)) for now, name, fields in lines], head["digest"]


def _plain(event: Any) -> dict[str, Any]:
    values = {field.name: getattr(event, field.name) for field in dataclasses.fields(event)}
    if isinstance(event, api.EngineList):
        values["entries"] = [_plain(entry) for entry in event.entries]
    return {
        RECORDED_FIELDS.get(name, name): value.value if isinstance(value, Enum) else value
        for name, value in values.items()
    }


def _event(name: str, fields: dict[str, Any]) -> Any:
    if name == "EngineList":
        entries = [api.EngineListEntry(**(e | {"health": api.Health(e["health"])})) for e in fields["entries"]]
        return api.EngineList(api.EngineListKind(fields["kind"]), fields["version"], tuple(entries))
    fields = {FIELDS.get(field, field): value for field, value in fields.items()}
    if name == "Outcome":
        fields["memory_used"] = fields.pop("memory_estimate")
        fields |= {"result": api.AttemptResult(fields["result"]), "report": tuple(fields["report"])}
    if name == "Note":
        fields["kind"] = api.ProgressKind(fields["kind"])
    return KINDS[name](**fields)
