"""Tests of fault injection: deterministic network conditions, scenario errors, selectors and the checkers."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest

from tealwing.lab.faults import scenario
from tealwing.lab.faults.network_conditions import NetworkConditions
from tealwing.lab.judges import echo, views
from tealwing.lab.rig import layouts
from tealwing.lab.rig.history import Event, operations
from tealwing.lab.rig.targets import TargetResolver

NAMES = ("a", "b", "c")


def test_deliveries_depend_only_on_the_seed_and_the_link() -> None:
    def deliveries(seed: int, others: int) -> list[Any]:
        """The deliveries of a to b, with `others` frames from b to c between each two."""
        conditions = NetworkConditions(NAMES, seed)
        for pair in (("a", "b"), ("b", "c")):
            conditions.change(*pair, drop=0.3, jitter=0.1, duplicate=0.2, reorder=0.2)
        found = []
        for _ in range(50):
            found.append(conditions.delivery("a", "b"))
            for _ in range(others):
                conditions.delivery("b", "c")
        return found

    assert deliveries(1, 0) == deliveries(1, 3) != deliveries(2, 0)
    assert {len(delivery.arrivals) for delivery in deliveries(1, 0)} == {0, 1, 2}


def test_partition_cuts_only_links_between_groups() -> None:
    conditions = NetworkConditions(NAMES, 1)
    conditions.partition([["a", "b"], ["c"]])
    assert conditions.cuts() == {("a", "c"), ("c", "a"), ("b", "c"), ("c", "b")}
    assert conditions.delivery("a", "c").arrivals == () and conditions.delivery("a", "b").arrivals == (0.0,)
    conditions.heal()
    conditions.isolate("b")
    assert conditions.cuts() == {("a", "b"), ("b", "a"), ("c", "b"), ("b", "c")}
    with pytest.raises(ValueError, match="no direction"):
        conditions.change("a", "z", cut=True)


def test_built_in_scenarios_are_valid() -> None:
    assert len(scenario.names()) >= 10
    for name in scenario.names():
        assert scenario.load(name).step


HEAD = 'title = "t"\nabout = "a"\nworkload = "echo"\n'


@pytest.mark.parametrize(
    ("text", "what"),
    [
        (HEAD, "step"),
        (HEAD + '[[step]]\ndo = "explode"', r"\$.step\[0\].do"),
        (HEAD + '[[step]]\ndo = "kill"', r"step\[0\].who: missing; `kill` needs it"),
        (HEAD + '[[step]]\ndo = "heal"\nat = 7', r"\$.step\[0\].at"),
        (HEAD + '[[step]]\ndo = "heal"\nat = 0.5\n[[step]]\ndo = "heal"\nat = 0.1', r"step\[1\].at: 0.1 comes before"),
        (HEAD + '[[step]]\ndo = "partition"\ngroups = "thirds"', r"step\[0\].groups: 'thirds'"),
        (HEAD + '[[step]]\ndo = "heal"\nspeed = 1', "speed"),
        (HEAD + '[[step]]\ndo = "heal"\nwhen = "phase:lost"', r"\$.step\[0\].when"),
        ("title = ", "not TOML"),
    ],
)
def test_scenario_error_names_the_key(text: str, what: str) -> None:
    with pytest.raises(scenario.ScenarioError, match=what):
        scenario.parse(text, "x.toml")
    with pytest.raises(scenario.ScenarioError, match="no scenario 'nowhere'; there are: "):
        scenario.load("nowhere")


def test_selectors_resolve_to_whole_sites() -> None:
    names = [f"n{number}" for number in range(9)]
    layout = layouts.layout("rules", names, "hold", 3, "site-early")
    assert layout.sites["upington"] == ("n1", "n4", "n7") and layout.site_of("n5") == "kimberley"
    text = layout.text("n4", "/data")
    assert "    site upington n1 n4 n7\n" in text and "    sabotage site-early\n" in text and "    stale 1\n" in text
    unsabotaged = layouts.layout("rules", names).text("n4", "/data")
    assert "sabotage" not in unsabotaged.lower()
    assert "    lost-touch serve\n" in unsabotaged and "    stale 0\n" in unsabotaged
    samples = SimpleNamespace(leaders=lambda: ["n3"])
    trial = SimpleNamespace(
        names=names,
        layout=layout,
        random=random.Random(1),
        processes={},
        leader=lambda: "n0",
        samples=samples,
        holder="",
    )
    targets = TargetResolver(trial)  # type: ignore[arg-type]
    assert targets.names("site:kimberley") == targets.names("same") == ["n2", "n5", "n8"]
    assert tuple(targets.names("site:any")) in layout.sites.values() and targets.names("delegate") == ["n3"]
    between = scenario.Step("link", source="sites", target="sites")
    assert len(targets.directions(between)[2]) == 54 and ("n0", "n3") not in targets.directions(between)[2]
    out = scenario.Step("cut", source="site:upington", target="all")
    assert len(targets.directions(out)[2]) == 18
    assert targets.groups(scenario.Step("partition", groups="sites"))[0] == ["n0", "n3", "n6"]


def ping(number: int, begin: float, end: float, by: str = "b", text: str = "x") -> list[Event]:
    asked = {"t": begin, "kind": "invoke", "id": number, "op": "ping", "process": "a", "to": "b", "text": "x"}
    return [asked, {"t": end, "kind": "ok", "id": number, "by": by, "text": text, "took_ms": 1.0}]


CUT: list[Event] = [
    {"t": 2.0, "kind": "fault", "what": "cut", "span": "cut", "cuts": [("b", "a")]},
    {"t": 6.0, "kind": "fault", "what": "over", "span": "cut", "over": True},
]


def test_echo_checker_detects_each_violation() -> None:
    assert echo.check([*ping(1, 1.0, 1.1), *CUT, *ping(2, 1.9, 2.5), *ping(3, 6.1, 6.2)], 10.0) == []
    assert [v.rule for v in echo.check(ping(1, 1.0, 1.1, by="c"), 10.0)] == ["echo-by"]
    assert [v.rule for v in echo.check(ping(1, 1.0, 1.1, text="y"), 10.0)] == ["echo-text"]
    assert [v.rule for v in echo.check([*CUT, *ping(1, 3.0, 4.0)], 10.0)] == ["cut"]


def sample(at: float, state: str) -> Event:
    return {"t": at, "kind": "sample", "process": "a", "asked": at, "peers": {"b": state}}


def test_views_checker_detects_stale_views() -> None:
    assert views.check([*CUT, sample(3.0, "alive"), sample(5.9, "dead"), sample(15.0, "dead")], 20.0) == []
    assert len(views.check([*CUT, sample(5.9, "alive")], 20.0)) == 1  # alive after 3.9 s of silence
    assert len(views.check([*CUT, sample(16.5, "dead")], 20.0)) == 1  # dead 10.5 s after the cut healed
    assert views.check([sample(2.0, "dead")], 20.0) == []  # the trial began only 2 s ago


def test_operation_without_end_stays_open() -> None:
    (open_,) = operations(ping(1, 1.0, 1.1)[:1])
    assert open_.outcome == "unknown" and open_.end == float("inf")
