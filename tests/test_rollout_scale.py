"""Rollouts of the real cores in virtual time: their cost, and that the judge finds a violation."""

from __future__ import annotations

import pytest

from tealwing.lab.rollout import trials
from tealwing.lab.rollout.measure import quantile
from tealwing.replica import commands as c
from tealwing.replica.forwarding.batching import batched
from tealwing.replica.state import State
from tealwing.rules.records import Begin, Body, Close, Closed, PartitionMode, Propose, Verdict, digest


@pytest.mark.parametrize("mode", ["serve", "hold"])
def test_fleet_of_twenty_changes_as_quickly_as_fleet_of_five(mode: PartitionMode) -> None:
    few, _ = trials.run_and_measure(trials.shape(1, 5, mode), 5, 3, loss=0.0)
    many, fleet = trials.run_and_measure(trials.shape(1, 20, mode), 5, 3, loss=0.0)
    for found in (few, many):
        assert found.wrong == [] and found.failed == 0 and len(found.decided) == 5 and found.clients > 50
    assert quantile(many.gaps, 0.5) < 2 * quantile(few.gaps, 0.5) < 0.1
    # learners report too, and receive commits at once
    assert quantile(many.by_gateway, 0.5) <= quantile(few.by_gateway, 0.5)
    assert quantile(many.by_leader, 0.5) < 8 * len(fleet.parts) and quantile(many.entries, 0.5) <= 14
    again, _ = trials.run_and_measure(trials.shape(1, 20, mode), 5, 3, loss=0.0)
    assert (again.gaps, again.waits) == (many.gaps, many.waits)


@pytest.mark.parametrize("mode", ["serve", "hold"])
def test_three_sites_change_together_despite_message_loss(mode: PartitionMode) -> None:
    found, _ = trials.run_and_measure(trials.shape(3, 3, mode), 4, 3)
    assert found.wrong == [] and found.failed == 0
    assert quantile(found.gaps, 0.5) < 0.25  # seven times the 20 ms between sites, and the work at each


def test_cut_off_gateway_aborts_change_in_serve_and_delays_it_in_hold() -> None:
    serve = trials.cut_off(trials.shape(1, 6, "serve"), 1, 3)
    hold = trials.cut_off(trials.shape(1, 6, "hold"), 1, 3)
    assert serve.wrong == hold.wrong == []
    assert serve.ended == ["aborted"] and 5.0 <= serve.took[0] < 5.5
    assert hold.ended == ["active"] and 2.24 < hold.took[0] < 4.0  # its permits must have expired


def test_judge_finds_member_that_opens_early() -> None:
    found, _ = trials.run_and_measure(trials.shape(1, 20, "serve", "early-open"), 5, 20)
    assert any("was answered" in wrong for wrong in found.wrong)  # found by the answers to clients
    assert any("an older one until" in wrong for wrong in found.wrong)  # and by the spans of decisions


def test_batched_reports_have_the_effect_of_single_ones() -> None:
    names = [f"g{number}" for number in range(9)]
    before: list[Body] = [Begin(name, 1, "serve") for name in names]
    before.append(Propose(0, digest(b"x"), b"x", "lerato", 1))
    verdicts: list[Body] = [Verdict(1, name, 1, True) for name in names]
    closed: list[Body] = [Closed(1, name, 1) for name in names]
    single, joint = State(), State()
    for state, gather in ((single, list), (joint, batched)):
        for part in (before, verdicts, [Close(1)], closed):
            for data in gather([c.encode(c.Command("", 0, body)) for body in part]):
                state.apply(state.applied + 1, data)
    assert single.applied == 29 and joint.applied == 13
    assert single.tables["rule_members"].keys() == joint.tables["rule_members"].keys()
    phases = [(s.tables["rules"]["1"].phase, sorted(s.tables["rules"]["1"].verdicts)) for s in (single, joint)]
    assert phases == [("agreed", names)] * 2
    numbered = c.encode(c.Command("client", 3, verdicts[0]))
    assert batched([numbered, numbered]) == [numbered, numbered]  # a command with a sequence is not batched
