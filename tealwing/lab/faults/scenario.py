"""Scenarios: TOML files that specify the injected faults and their times. An error in a file names its key.

Times are shares of the trial's length, so that one file serves trials of any length. A selector is a process's name
(`n2`) or its role at the time of the step (`leader`, `holder`, `follower`, `random`; in a federation also `delegate`,
the leader of some site's log, and `site:NAME` or `site:any`, all processes of a site); the rig resolves it.
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
REQUIRED_KEYS: dict[str, tuple[str, ...]] = {  # by the step's `do`
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
    """A scenario is not valid; the message names the key."""


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """One step of a scenario: a fault, its time, its condition and its targets."""

    do: What
    at: Share | None = None  # time as a share of the trial's length; None: after the previous step
    after: Seconds = 0.0  # s after `at`, or after the previous step
    # Condition to wait for as well, at most `within` s. phase: a change of the rules is in that phase; answered,
    # served: `who` has answered, or served, `queries` queries that clients began since the wait began
    when: When | None = None
    queries: Times = 20
    within: Seconds = 5.0
    who: str = ""
    source: str = ""
    target: str = ""
    groups: str | list[list[str]] = ""  # "halves", "leader-minority", "sites", or lists of names
    drop: Share = 0.0
    delay_ms: Annotated[float, msgspec.Meta(ge=0.0, le=60_000.0)] = 0.0
    jitter_ms: Annotated[float, msgspec.Meta(ge=0.0, le=60_000.0)] = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    gently: bool = False  # a restart by SIGTERM instead of SIGKILL
    pause: Seconds = 0.5  # s between kill and start in a restart; in a power loss, the maximum of a random pause
    disk: Literal["kept", "old", "none"] = "kept"  # the disk at a start: unchanged, an older copy, or empty
    step_s: Annotated[float, msgspec.Meta(ge=-60.0, le=60.0)] = 0.0
    rate: Annotated[float, msgspec.Meta(ge=0.5, le=2.0)] = 1.0
    fault: Literal["", "fsync", "short", "full", "none"] = ""
    count: Times = 1  # number of disk operations that fail
    old: Share = 0.0  # share of the processes that restart with an older disk after a power loss
    late: Seconds = 0.0  # s from a power loss to the restart of one delayed process; 0: none is delayed
    drop_on_return: Share = 0.0  # share of frames lost on one link in four while processes restart
    times: Times = 1  # number of repetitions
    every: Seconds = 1.0  # s between two repetitions
    lost_touch: Literal["serve", "hold"] | None = None  # run the step only in trials with this mode; None: in all


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The faults of a trial and the load under which they are injected."""

    title: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    about: str
    workload: Literal["echo", "register", "lease", "power", "rules"]
    step: Annotated[list[Step], msgspec.Meta(min_length=1, max_length=200)]
    least_procs: Annotated[int, msgspec.Meta(ge=2, le=64)] = 3
    least_sites: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0  # least sites of the federation; 0: it needs none


def parse(text: str, name: str) -> Scenario:
    """Return the scenario in a file's text; name: the file's name for errors."""
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
        for key in REQUIRED_KEYS.get(step.do, ()):
            if not getattr(step, key):
                raise ScenarioError(f"{name}: step[{number}].{key}: missing; `{step.do}` needs it")
        if isinstance(step.groups, str) and step.groups not in ("", "halves", "leader-minority", "sites"):
            raise ScenarioError(
                f"{name}: step[{number}].groups: {step.groups!r}; allowed: halves, leader-minority, sites, or lists of"
                " names"
            )
        if step.at is not None and step.at < last:
            raise ScenarioError(
                f"{name}: step[{number}].at: {step.at:g} comes before the previous step; allowed: {last:g} or more"
            )
        last = step.at if step.at is not None else last
    return found


def load(name: str) -> Scenario:
    """Return the built-in scenario of that name, or the scenario in the .toml file at that path."""
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
    """Return the scenario that forces the situation in which the named sabotage causes a violation."""
    found = resources.files("tealwing.lab.faults").joinpath("moments", f"{name}.toml")
    return parse(found.read_text(), name)


def names() -> list[str]:
    """Return the names of the built-in scenarios, sorted."""
    directory = resources.files("tealwing.lab.faults").joinpath("scenarios")
    return sorted(entry.name.removesuffix(".toml") for entry in directory.iterdir() if entry.name.endswith(".toml"))
