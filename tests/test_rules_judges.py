"""The judges of changes of the rules: each finds its violation in a handmade history, and none in a correct one."""

from __future__ import annotations

from typing import Any

import pytest

from tealwing.lab.judges import copies, rules_agreement, rules_order, rules_versions
from tealwing.lab.rig.history import Event
from tealwing.lab.rig.loads.rules import bundles, metrics

# by version: the site of the groups that changes move; versions 1 and 4 share one
SITES = {1: "x", 2: "y", 3: "z", 4: "x"}


def version(number: int, phase: str, process: str = "a", at: float = 0.5, **more: Any) -> Event:
    fields = {"site": SITES[number], "mark": f"m{number}", "digest": f"d{number}", "number": number}
    return {"t": at, "kind": "version", "process": process, "phase": phase, **fields} | more


def change(number: int, begin: float, end: float = 9.0, phase: str = "active") -> list[Event]:
    invoked = {"t": begin, "kind": "invoke", "id": 1000 + number, "op": "change", "process": "a", "mark": f"m{number}"}
    return [invoked, {"t": end, "kind": "ok", "id": 1000 + number, "version": number, "phase": phase}]


def query(number: int, begin: float, end: float, site: str, process: str = "a", moves: bool = True) -> list[Event]:
    invoked = {"t": begin, "kind": "invoke", "id": number, "op": "query", "process": process, "moves": moves}
    answer = {"word": "served", "site": site} if site else {"word": "refused", "site": ""}
    return [invoked | {"call": f"{number:x}"}, {"t": end, "kind": "ok", "id": number, **answer}]


def seen(number: int, at: float, site: str) -> Event:
    return {"t": at, "kind": "seen", "call": f"{number:x}", "site": site}


RULES: Event = {"t": 0.0, "kind": "rules", "lost_touch": "serve"}
CHAIN = [RULES, *change(1, 0.0), *change(2, 1.0), *change(3, 3.0)]
CHAIN += [version(1, "superseded"), version(2, "superseded"), version(3, "active")]
GOOD = [*CHAIN, *query(1, 0.5, 0.6, "x"), *query(2, 1.5, 2.0, "y"), *query(3, 1.9, 2.5, "x"), *query(4, 2.1, 2.3, "y")]
check_order, check_agreement = rules_order.check, rules_agreement.check


def rules(found: list[Any]) -> list[str]:
    return [violation.rule for violation in found]


def test_older_version_may_decide_queries_begun_before_a_newer_answer() -> None:
    # query 3 began at 1.9 s, before y answered at 2.0 s
    assert check_order(GOOD, 9.0) == [] and check_agreement(GOOD, 9.0) == []


@pytest.mark.parametrize("late", [query(5, 2.05, 2.6, "x"), query(5, 2.05, 2.6, "x", process="b")])
def test_older_version_after_a_newer_answer_is_a_violation(late: list[Event]) -> None:
    found = check_order([*GOOD, *late], 9.0)
    assert rules(found) == ["late-old"] and "version 1 says; version 2 had answered" in found[0].what


def test_older_version_is_found_by_the_engine_that_a_query_reached() -> None:
    refused = query(5, 2.05, 2.6, "")
    assert check_order([*GOOD, *refused, seen(5, 2.1, "y")], 9.0) == []
    assert rules(check_order([*GOOD, *refused, seen(5, 2.1, "x")], 9.0)) == ["late-old"]
    unanswered = [refused[0], seen(5, 2.1, "x")]
    assert rules(check_order([*GOOD, *unanswered], 9.0)) == ["late-old"]


def test_site_of_two_versions_counts_for_the_newer_one_once_proposed() -> None:
    fourth = [*change(4, 4.0), version(4, "active")]
    assert check_order([*GOOD, *fourth, *query(5, 4.1, 4.5, "x")], 9.0) == []
    assert rules(check_order([*GOOD, *fourth, *query(5, 3.1, 3.9, "x")], 9.0)) == ["late-old"]


def test_queries_of_unmoved_groups_are_ignored() -> None:
    assert check_order([*GOOD, *query(5, 2.05, 2.6, "x", moves=False)], 9.0) == []


@pytest.mark.parametrize("phase", ["aborted", "rejected", "withdrawn", "preparing"])
def test_answer_under_a_version_never_in_force_is_a_violation(phase: str) -> None:
    events = [*CHAIN[:-1], version(3, phase), *query(1, 0.5, 0.6, "x"), *query(2, 3.5, 3.6, "z")]
    assert rules(check_agreement(events, 9.0)) == ["unagreed"]
    assert check_agreement(events[:-2], 9.0) == []


def gate(process: str, what: str, number: int, at: float) -> Event:
    return {"t": 8.0, "kind": "gate", "process": process, "what": what, "number": number, "at": at}


def test_answer_under_a_version_before_all_gates_closed_is_a_violation() -> None:
    closed = [gate("a", "closed", 2, 1.2), gate("b", "closed", 2, 1.9)]
    assert check_agreement([*GOOD, *closed], 9.0) == []
    late = [gate("a", "closed", 2, 1.2), gate("b", "closed", 2, 2.1), gate("b", "closed", 2, 4.0)]
    assert rules(check_agreement([*GOOD, *late], 9.0)) == ["early-site"]
    hold = [event | {"lost_touch": "hold"} if event is RULES else event for event in [*GOOD, *late]]
    assert check_agreement(hold, 9.0) == []  # with `hold` a lost gateway need not close


def final_state(process: str, **more: Any) -> Event:
    fields = {"active": 3, "in_force": 3, "in_flight": 0, "digests": {"2": "d2", "3": "d3"}}
    return {"t": 9.0, "kind": "rules-end", "process": process} | fields | more


ENDED = [*GOOD, final_state("a"), final_state("b")]


def test_identical_decided_versions_pass() -> None:
    assert rules_versions.check(ENDED, 9.0) == []
    # without any process's state at the end
    assert rules(rules_versions.check(GOOD, 9.0)) == ["divergent", "lost", "lost", "lost"]


@pytest.mark.parametrize(
    ("more", "rule"),
    [
        ([version(2, "superseded", "b", digest="other")], "changed"),
        ([version(2, "aborted", "b")], "divergent"),
        ([final_state("c", active=2, in_force=2)], "divergent"),
        ([final_state("c", in_force=2)], "divergent"),
        ([final_state("c", digests={"3": "other"})], "divergent"),
        ([final_state("c", in_flight=4)], "undecided"),
        ([{"t": 8.0, "kind": "rules-stuck", "why": "aborted"}], "stuck"),
        ([*change(4, 5.0), version(4, "aborted")], "lost"),
        ([version(3, "active", mark="other")], "lost"),
    ],
)
def test_changed_divergent_lost_or_undecided_versions_are_violations(more: list[Event], rule: str) -> None:
    assert rule in rules(rules_versions.check([*ENDED, *more], 9.0))


def test_only_a_rejection_in_an_expired_sites_own_log_may_diverge() -> None:
    late = version(2, "rejected", "c", log="elsewhere")
    assert "divergent" in rules(rules_versions.check([*ENDED, late], 9.0))
    hold = [event | {"lost_touch": "hold"} if event is RULES else event for event in ENDED]
    assert rules_versions.check([*hold, late], 9.0) == []
    assert "divergent" in rules(rules_versions.check([*hold, version(2, "rejected", "c")], 9.0))
    assert "divergent" in rules(rules_versions.check([*hold, late | {"phase": "aborted"}], 9.0))


def test_missing_acknowledged_change_is_lost() -> None:
    history = [*GOOD, final_state("a", active=2, in_force=2), final_state("b", active=2, in_force=2)]
    assert rules(rules_versions.check(history, 9.0)) == ["lost"]


def test_copies_of_different_sites_are_not_compared() -> None:
    two = [{"t": 1.0, "kind": "digest", "process": p, "applied": 7, "digest": p, "log": p} for p in "ab"]
    assert copies.check(two, 2.0) == []
    assert rules(copies.check([*two, two[1] | {"log": "a"}], 2.0)) == ["divergent"]
    assert rules(copies.check([*two, {"t": 1.5, "kind": "copies-differ"}], 2.0)) == ["divergent"]


def test_summary_counts_violations_and_gate_closures() -> None:
    gates = [gate("a", "closed", 2, 1.2), gate("a", "opened", 2, 1.25), gate("b", "closed", 2, 1.2)]
    gates += [gate("b", "started", 0, 1.5), gate("b", "opened", 2, 1.6)]  # b restarted while its gate was closed
    others = [*query(6, 2.0, 2.1, "x", moves=False), *query(7, 2.0, 2.1, "", moves=False)]
    found = metrics.summary([*ENDED, *gates, *others, *query(5, 2.05, 2.6, "x")])
    assert (found["changes"], found["activated"], found["late_old"], found["undecided_at_end"]) == (3, 3, 1, 0)
    assert found["availability_untouched"] == 0.5 and found["gaps"] == 1
    assert found["gap_ms_p50"] == pytest.approx(50.0)


def test_trial_bundle_contains_its_mark_and_site() -> None:
    text = bundles.bundle("first 1-7", "upington", "bloemfontein", 3, bad=True)
    assert bundles.read(text.decode()) == ("first 1-7", "upington")
    assert bundles.read("# nothing") == bundles.read("[") == ("", "")
