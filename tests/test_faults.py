"""Faults on purpose: weather that repeats itself, scenarios whose errors name the key, judges that can fail."""

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


def test_the_weather_is_the_same_for_the_same_seed_whatever_other_links_carry() -> None:
    def fates(seed: int, other: int) -> list[Any]:
        weather = NetworkConditions(NAMES, seed)
        for pair in (("a", "b"), ("b", "c")):
            weather.change(*pair, drop=0.3, jitter=0.1, duplicate=0.2, reorder=0.2)
        found = []
        for _ in range(50):
            found.append(weather.delivery("a", "b"))
            for _ in range(other):
                weather.delivery("b", "c")
        return found

    assert fates(1, 0) == fates(1, 3) != fates(2, 0)
    assert {len(fate.arrivals) for fate in fates(1, 0)} == {0, 1, 2}


def test_partitions_cut_what_is_between_groups_and_nothing_else() -> None:
    weather = NetworkConditions(NAMES, 1)
    weather.partition([["a", "b"], ["c"]])
    assert weather.cuts() == {("a", "c"), ("c", "a"), ("b", "c"), ("c", "b")}
    assert weather.delivery("a", "c").arrivals == () and weather.delivery("a", "b").arrivals == (0.0,)
    weather.heal()
    weather.isolate("b")
    assert weather.cuts() == {("a", "b"), ("b", "a"), ("c", "b"), ("b", "c")}
    with pytest.raises(ValueError, match="no direction"):
        weather.change("a", "z", cut=True)


def test_the_scenarios_that_come_along_are_good() -> None:
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
def test_a_bad_scenario_names_its_key(text: str, what: str) -> None:
    with pytest.raises(scenario.ScenarioError, match=what):
        scenario.parse(text, "x.toml")
    with pytest.raises(scenario.ScenarioError, match="no scenario 'nowhere'; there are: "):
        scenario.load("nowhere")


def test_words_of_a_scenario_mean_whole_sites_of_a_federation() -> None:
    names = [f"n{number}" for number in range(9)]
    layout = layouts.layout("rules", names, "hold", 3, "site-early")
    assert layout.sites["upington"] == ("n1", "n4", "n7") and layout.site_of("n5") == "kimberley"
    text = layout.text("n4", "/data")
    assert "    site upington n1 n4 n7\n" in text and "    sabotage site-early\n" in text and "    stale 1\n" in text
    fair = layouts.layout("rules", names).text("n4", "/data")
    assert "sabotage" not in fair.lower() and "    lost-touch serve\n" in fair and "    stale 0\n" in fair
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


def test_the_judge_of_answers_can_fail() -> None:
    assert echo.check([*ping(1, 1.0, 1.1), *CUT, *ping(2, 1.9, 2.5), *ping(3, 6.1, 6.2)], 10.0) == []
    assert [v.rule for v in echo.check(ping(1, 1.0, 1.1, by="c"), 10.0)] == ["echo-by"]
    assert [v.rule for v in echo.check(ping(1, 1.0, 1.1, text="y"), 10.0)] == ["echo-text"]
    assert [v.rule for v in echo.check([*CUT, *ping(1, 3.0, 4.0)], 10.0)] == ["cut"]


def sample(at: float, state: str) -> Event:
    return {"t": at, "kind": "sample", "process": "a", "asked": at, "peers": {"b": state}}


def test_the_judge_of_views_can_fail() -> None:
    assert views.check([*CUT, sample(3.0, "alive"), sample(5.9, "dead"), sample(15.0, "dead")], 20.0) == []
    assert len(views.check([*CUT, sample(5.9, "alive")], 20.0)) == 1  # silent for 3.9 s
    assert len(views.check([*CUT, sample(16.5, "dead")], 20.0)) == 1  # healed for 10.5 s
    assert views.check([sample(2.0, "dead")], 20.0) == []  # it has only begun


def test_an_operation_that_never_ended_stays_open() -> None:
    (open_,) = operations(ping(1, 1.0, 1.1)[:1])
    assert open_.word == "unknown" and open_.end == float("inf")
