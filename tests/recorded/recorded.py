"""Reads and writes the recording; `benchmarks/record_actions.py` made it."""

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
KINDS: dict[str, Any] = {
    kind.__name__: kind for kind in (api.EngineList, api.Request, api.Outcome, api.Note, api.HungUp, api.TimerFired)
}


def settings() -> api.Settings:
    """What the recorded gateway was told."""
    return dataclasses.replace(site.settings(3), accounts=())


def dump(events: list[tuple[float, api.Event]], digest: str) -> None:
    """Write a recording."""
    with gzip.GzipFile(PATH, "wb", mtime=0) as file:
        file.write(orjson.dumps({"digest": digest}) + b"\n")
        for now, event in events:
            file.write(orjson.dumps([now, type(event).__name__, _plain(event)]) + b"\n")


def load() -> tuple[list[tuple[float, api.Event]], str]:
    """The events with their times, and the digest of the actions as the wire writes them."""
    with gzip.open(PATH) as file:
        head, *lines = map(orjson.loads, file)
    return [(now, _event(name, fields)) for now, name, fields in lines], head["digest"]


def _plain(event: Any) -> dict[str, Any]:
    found = {field.name: getattr(event, field.name) for field in dataclasses.fields(event)}
    if isinstance(event, api.EngineList):
        found["entries"] = [_plain(entry) for entry in event.entries]
    return {name: value.value if isinstance(value, Enum) else value for name, value in found.items()}


def _event(name: str, fields: dict[str, Any]) -> Any:
    if name == "EngineList":
        entries = [api.ListEntry(**(e | {"health": api.Health(e["health"])})) for e in fields["entries"]]
        return api.EngineList(api.ListKind(fields["kind"]), fields["version"], tuple(entries))
    if name == "Outcome":
        fields |= {"result": api.Result(fields["result"]), "report": tuple(fields["report"])}
    if name == "Note":
        fields["kind"] = api.NoteKind(fields["kind"])
    return KINDS[name](**fields)
