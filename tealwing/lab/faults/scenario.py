"""Scenarios: which faults come when, in a file of TOML; pure. What is wrong in a file is told with its key.

Times are shares of the trial's length, so that one file serves runs of any length. Who is meant may be said by name
(`n2`) or by what it is at that moment (`leader`, `holder`, `follower`, `random`; of a federation `delegate`, who leads
some site's log, and `site:NAME` or `site:any`, all of a site); the rig finds out who that is.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]
Times = Annotated[int, msgspec.Meta(ge=1, le=1000)]

What = Literal[
    "partition", "isolate", "cut", "link", "heal", "kill", "start", "stop", "cont", "restart", "clock", "disk",
    "save-disk", "power-loss", "wait", "hold-changes", "release-changes",
]  # fmt: skip
When = Literal[
    "leader", "settled", "ready", "answered", "served", "phase:proposed", "phase:checked", "phase:preparing",
    "phase:agreed", "phase:active",
]  # fmt: skip
NEEDS: dict[str, tuple[str, ...]] = {
    "partition": ("groups",),
    "isolate": ("who",),
    "cut": ("source", "target"),
    "link": ("source", "target"),
    "kill": ("who",),
    "start": ("who",),
    "stop": ("who",),
    "cont": ("who",),
    "restart": ("who",),
    "clock": ("who",),
    "disk": ("who", "fault"),
    "save-disk": ("who",),
    "wait": ("when",),
}


class ScenarioError(ValueError):
    """A scenario that can't be used; the text names the key."""


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """One fault: when, what, to whom."""

    do: What
    at: Share | None = None  # of the trial's length; else after the step before
    after: Seconds = 0.0  # s after `at`, or after the step before
    # wait for that too, for `within` seconds at most; phase: of a change of the rules; answered, served: `who` has
    # answered, or served, queries that clients began meanwhile, `queries` of them
    when: When | None = None
    queries: Times = 20
    within: Seconds = 5.0
    who: str = ""
    source: str = ""
    target: str = ""
    groups: str | list[list[str]] = ""  # "halves", "leader-minority", or lists of names
    drop: Share = 0.0
    delay_ms: Annotated[float, msgspec.Meta(ge=0.0, le=60_000.0)] = 0.0
    jitter_ms: Annotated[float, msgspec.Meta(ge=0.0, le=60_000.0)] = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    gently: bool = False  # a restart by SIGTERM instead of SIGKILL
    pause: Seconds = 0.5  # s between kill and start of a restart, and at most of a power loss
    disk: Literal["kept", "old", "none"] = "kept"  # what a start finds
    step_s: Annotated[float, msgspec.Meta(ge=-60.0, le=60.0)] = 0.0
    rate: Annotated[float, msgspec.Meta(ge=0.5, le=2.0)] = 1.0
    fault: Literal["", "fsync", "short", "full", "none"] = ""
    count: Times = 1  # of disk operations that fail
    old: Share = 0.0  # of the processes of a power loss that come back with an older disk
    late: Seconds = 0.0  # s after which one of them comes back last
    drop_on_return: Share = 0.0  # of frames on one link in four while they come back
    times: Times = 1  # so often, each so long after the one before
    every: Seconds = 1.0
    lost_touch: Literal["serve", "hold"] | None = None  # only where gateways that are cut off do that


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A trial's faults, and the load that they meet."""

    title: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    about: str
    workload: Literal["echo", "register", "lease", "power", "rules"]
    step: Annotated[list[Step], msgspec.Meta(min_length=1, max_length=200)]
    least_procs: Annotated[int, msgspec.Meta(ge=2, le=64)] = 3
    least_sites: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0  # of a federation; 0: it needs none


def parse(text: str, name: str) -> Scenario:
    """The scenario of a file's text."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: not TOML: {error}") from None
    try:
        found = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{name}: {error}") from None
    last = 0.0
    for number, step in enumerate(found.step):
        for key in NEEDS.get(step.do, ()):
            if not getattr(step, key):
                raise ScenarioError(f"{name}: step[{number}].{key}: missing; `{step.do}` needs it")
        if isinstance(step.groups, str) and step.groups not in ("", "halves", "leader-minority", "sites"):
            raise ScenarioError(
                f"{name}: step[{number}].groups: {step.groups!r}; allowed: halves, leader-minority, sites, or lists of"
                " names"
            )
        if step.at is not None and step.at < last:
            raise ScenarioError(f"{name}: step[{number}].at: {step.at:g} comes before the step above, at {last:g}")
        last = step.at if step.at is not None else last
    return found


def load(name: str) -> Scenario:
    """The scenario that comes along under a name, or that of a file whose path is given."""
    if name.endswith(".toml") or "/" in name:
        try:
            return parse(Path(name).read_text(), name)
        except (OSError, UnicodeDecodeError) as error:
            raise ScenarioError(f"{name}: {error}") from None
    found = resources.files("tealwing.lab.faults").joinpath("scenarios", f"{name}.toml")
    if not found.is_file():
        raise ScenarioError(f"no scenario {name!r}; there are: {', '.join(names())}, or the path of a .toml file")
    return parse(found.read_text(), name)


def injection_point(name: str) -> Scenario:
    """The forced moment in which a gateway that is broken on purpose, as named, does harm."""
    found = resources.files("tealwing.lab.faults").joinpath("moments", f"{name}.toml")
    return parse(found.read_text(), name)


def names() -> list[str]:
    """The scenarios that come along."""
    directory = resources.files("tealwing.lab.faults").joinpath("scenarios")
    return sorted(entry.name.removesuffix(".toml") for entry in directory.iterdir() if entry.name.endswith(".toml"))
