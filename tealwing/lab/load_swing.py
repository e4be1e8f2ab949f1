"""Load that oscillates around each threshold of a plan, with its service levels on and off, in virtual time.

First a slowly rising load finds the load at which each level would be entered; levels are evaluated but not in force.
Then, for each such level and each form of swing, some virtual minutes are played twice on the same arrivals. A level
that load alone does not enter (one that depends on the gateway's own state, for example) is reported as such.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from typing import Any

import numpy as np

from tealwing import interface as api
from tealwing.lab import arrivals, score, site
from tealwing.lab.harness import Deployment, RequestOutcomes
from tealwing.levels.governor import Governor
from tealwing.levels.plan import Plan
from tealwing.levels.replay import max_changes_in_window
from tealwing.policy import Gateway

SERVERS, GATEWAYS = 7, 3  # the middle of the range that the operators run
MEAN_WORK = sum(mix.share * mix.work for mix in arrivals.BRIEF)
RISE = (0.4, 3.0, 130.0)  # first load, last load and duration in s of the rise that finds thresholds
AFTER = 26.0  # s from the last arrival until all requests have ended: the longest deadline and 1 s more
AMPLITUDE = 0.35  # amplitude of a swing, as a share of the load at the threshold
FORMS = ("square", "sawtooth", "noise")
FLOOD = 2.5  # load of a flood, relative to the usual load
USUAL, CALM = 0.6, 0.47  # loads before a flood, and on a calm day (the operators' quiet days: 0.39 to 0.54)
PERIODS = (1.0, 4.0, 12.0, 30.0, 60.0, 120.0)  # s; one is drawn for each play


@dataclass(frozen=True, slots=True)
class Play:
    """The specification of one run."""

    plan: Plan
    seed: int
    seconds: float
    form: str
    period: float
    load: float  # mean of the swing
    on: bool  # whether the levels are in force

    def shape(self) -> arrivals.Shape:
        """The load over time, relative to the mean."""
        low, high = 1 - AMPLITUDE, 1 + AMPLITUDE
        if self.form == "square":
            return arrivals.square(low, high, self.period)
        if self.form == "sawtooth":
            return arrivals.sawtooth(low, high, self.period)
        if self.form == "noise":
            return arrivals.noisy(low, high, self.period, self.seed)
        if self.form == "flood":  # the usual load, and a flood in the middle third
            return arrivals.burst(FLOOD, self.seconds / 3, self.seconds / 3)
        return arrivals.steady


def deploy(play: Play, changes: list[tuple[float, int, dict[str, Any]]]) -> tuple[Deployment, arrivals.Arrivals]:
    """Create the deployment of a play; level changes are appended to `changes` with their time and gateway."""
    settings = site.settings(GATEWAYS)
    draws = site.draws(np.random.default_rng((play.seed, 10)), SERVERS)
    rate = site.rate(draws, MEAN_WORK, play.load)
    rng = np.random.default_rng((play.seed, 11))
    requests = arrivals.draw(rng, rate, play.seconds, GATEWAYS, play.shape())
    made: list[Deployment] = []

    def make(settings: api.Settings, seed: int) -> Gateway | Governor:
        gateway, number = Gateway(settings, seed), seed % 1000
        if not play.on:
            return gateway

        def record_change(_: str, fields: dict[str, Any]) -> None:
            changes.append((made[0].clock.now, number, fields))

        return Governor(settings, gateway, play.plan, record_change)

    made.append(Deployment(settings, draws, requests, make, play.seed))
    return made[0], requests


def run(play: Play) -> dict[str, Any]:
    """Run one play; returns its figures."""
    changes: list[tuple[float, int, dict[str, Any]]] = []
    deployment, requests = deploy(play, changes)
    outcomes = deployment.run(play.seconds + AFTER)
    found = score.count(requests, outcomes, deployment.settings)
    by_gateway = [[at for at, number, _ in changes if number == n] for n in range(GATEWAYS)]
    return {
        "changes": len(changes),
        "changes_per_minute_max": max(map(max_changes_in_window, by_gateway)),
        "worth": found.total,
        "worst_10s": found.worst,
        "mixed": found.mixed,
        "lookup_in_time": found.in_time["lookup"],
        "by_class": found.by_class,
        "shed": found.shed,
        "rules_broken": broken(outcomes),
        "told": [(round(at, 2), number, fields["to"]) for at, number, fields in changes],
    }


def broken(outcomes: RequestOutcomes) -> int:
    """Number of rule violations that the harness recorded."""
    return outcomes.duplicate_answers + outcomes.overlapping_attempts + outcomes.forbidden_sends + outcomes.overloaded


def thresholds(plan: Plan, seed: int) -> dict[str, float]:
    """The load at which each level would first be entered during a slow rise; levels never entered are left out."""
    low, high, seconds = RISE
    settings = site.settings(GATEWAYS)
    draws = site.draws(np.random.default_rng((seed, 10)), SERVERS)
    rate = site.rate(draws, MEAN_WORK, 1.0)
    requests = arrivals.draw(
        np.random.default_rng((seed, 12)), rate, seconds, GATEWAYS, arrivals.sawtooth(low, high, seconds)
    )
    found: dict[str, float] = {}
    since: dict[str, float] = {}
    made: list[Deployment] = []

    class Watch:
        """Evaluates the levels without passing them on to the decision module."""

        def __init__(self, settings: api.Settings, seed: int) -> None:
            self.governor = Governor(settings, Gateway(settings, seed), plan)
            self.settings = settings

        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            if not isinstance(event, api.TimerFired) or event.token != 2:
                return self.governor.handle(now, event)
            signals = self.governor.signals.sample(now, self.governor.gateway)
            for level, (enter, _, _) in zip(plan.levels, plan.matches(signals), strict=True):
                name = level.timings.name
                if enter is None:
                    since.pop(name, None)
                elif now - since.setdefault(name, now) >= level.timings.enter_for and name not in found:
                    found[name] = low + (high - low) * now / seconds
            return [api.SetTimer(plan.interval, 2)]

    first = [True]

    def make(settings: api.Settings, seed: int) -> Any:
        if first.pop() if first else False:
            return Watch(settings, seed)
        return Gateway(settings, seed)

    made.append(Deployment(settings, draws, requests, make, seed))
    made[0].run(seconds)
    return found


def plays(plan: Plan, seed: int, seconds: float) -> tuple[list[tuple[str, Play]], list[str]]:
    """All plays of a swing with the names of their thresholds, and the levels that load does not enter."""
    found = thresholds(plan, seed)
    rng = np.random.default_rng((seed, 13))
    queued_plays: list[tuple[str, Play]] = []
    for level in plan.levels:
        load = found.get(level.timings.name)
        if load is None:
            continue
        for form in FORMS:
            period = float(rng.choice(PERIODS))
            queued_plays += [
                (level.timings.name, Play(plan, seed, seconds, form, period, load, on)) for on in (True, False)
            ]
    queued_plays += [("flood", Play(plan, seed, seconds, "flood", seconds, USUAL, on)) for on in (True, False)]
    queued_plays += [("calm", Play(plan, seed, seconds, "steady", seconds, CALM, on)) for on in (True, False)]
    return queued_plays, [level.timings.name for level in plan.levels if level.timings.name not in found]


def swing(plan: Plan, seed: int, seconds: float, jobs: int) -> Iterator[dict[str, Any]]:
    """Run all plays; yields a record for each pair and a summary at the end."""
    queued_plays, not_entered = plays(plan, seed, seconds)
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        results = list(pool.map(run, [play for _, play in queued_plays]))
    pairs = []
    for (name, play), on, off in zip(queued_plays[::2], results[::2], results[1::2], strict=True):
        record = {
            "threshold": name,
            "form": play.form,
            "period_s": play.period,
            "load": round(play.load, 3),
            "changes": on["changes"],
            "changes_per_minute_max": on["changes_per_minute_max"],
            "rules_broken": on["rules_broken"] + off["rules_broken"],
        }
        for figure in ("worth", "worst_10s", "mixed", "lookup_in_time"):
            record[figure] = {"on": round(on[figure], 4), "off": round(off[figure], 4)}
        record["shed"] = {cls: round(share, 4) for cls, share in on["shed"].items()}
        pairs.append(record)
        yield record
    yield summed(pairs, seed, seconds, not_entered)


def summed(pairs: Sequence[dict[str, Any]], seed: int, seconds: float, not_entered: Sequence[str]) -> dict[str, Any]:
    """The summary record: the most changes in a minute at any gateway, and means over the plays."""

    def mean(figure: str) -> dict[str, float]:
        return {side: round(float(np.mean([pair[figure][side] for pair in pairs])), 4) for side in ("on", "off")}

    return {
        "summary": True,
        "seed": seed,
        "minutes": seconds / 60,
        "plays": len(pairs),
        "not_entered_by_load": list(not_entered),
        "changes": sum(pair["changes"] for pair in pairs),
        "changes_per_minute_max": max((pair["changes_per_minute_max"] for pair in pairs), default=0),
        "worth": mean("worth"),
        "lookup_in_time": mean("lookup_in_time"),
        "rules_broken": sum(pair["rules_broken"] for pair in pairs),
    }
