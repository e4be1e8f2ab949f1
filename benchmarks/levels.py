"""Compares the decision module with service levels on, off, and as of an earlier commit, on overload cases.

    python -m benchmarks.levels --conf deploy/tealwing.conf --before 712515d --seeds 6 [--jobs 8]

Prints a Markdown table; docs/levels.md holds the last one, with seeds and commit. All three get the same arrivals.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

import click
import numpy as np

from benchmarks.record_actions import module_of
from tealwing import interface as api
from tealwing.conf import reader
from tealwing.lab import arrivals, load_swing, score, site
from tealwing.lab.harness import Clients, Deployment
from tealwing.levels.governor import Governor
from tealwing.levels.replay import max_changes_in_window
from tealwing.policy import Gateway

SECONDS = 60.0  # of arrivals in a case
CASES: dict[str, dict[str, Any]] = {
    "calm, load 0.47": {"load": 0.47},
    "busy, load 0.95": {"load": 0.95},
    "flood of 2.5 from 0.6, 20 s": {"load": 0.6, "burst": (2.5, 20.0, 20.0)},
    "flood of 2.5 from 0.8, 20 s": {"load": 0.8, "burst": (2.5, 20.0, 20.0)},
    "bursts of 2 s, 2.5 times, from 0.6": {"load": 0.6, "burst": (2.5, 20.0, 2.0)},
    "all classes overloaded, 2.2": {"load": 2.2},
    "half of the engines lost, 0.6, back cold": {"load": 0.6, "lost": True},
    "one account asks 5 times its share, 1.2": {"load": 1.2, "surge": (1, 5.0)},
    "clients return at once, 1.4": {"load": 1.4, "clients": Clients(1, (0.01, 0.05), 0.0)},
}
MODES = ("before", "off", "on")


def play(job: tuple[str, int, str, str, str]) -> dict[str, float]:
    """Run one case with one seed in one mode and return its figures."""
    name, seed, mode, conf, commit = job
    case = CASES[name]
    plan = reader.read(conf).records["levels"]
    before = module_of(commit).Gateway if mode == "before" else None
    settings = site.settings(load_swing.GATEWAYS)
    draws = site.draws(np.random.default_rng((seed, 20)), load_swing.SERVERS)
    rate = site.rate(draws, load_swing.MEAN_WORK, case["load"])
    shape = arrivals.burst(*case["burst"]) if "burst" in case else arrivals.steady
    asked = arrivals.draw(
        np.random.default_rng((seed, 21)), rate, SECONDS, load_swing.GATEWAYS, shape, surge=case.get("surge")
    )
    changes: list[list[float]] = [[] for _ in range(load_swing.GATEWAYS)]
    made: list[Deployment] = []

    def make(settings: api.Settings, number: int) -> Any:
        if before is not None:
            return before(settings, number)
        if mode == "off":
            return Gateway(settings, number)
        own_changes = changes[number % 1000]
        return Governor(settings, Gateway(settings, number), plan, lambda *_: own_changes.append(made[0].clock.now))

    made.append(Deployment(settings, draws, asked, make, seed, case.get("clients")))
    if case.get("lost"):
        made[0].crash(range(1, len(draws) // 2 + 1), 15.0, 30.0)
    outcomes = made[0].run(SECONDS + load_swing.AFTER)
    found = score.count(asked, outcomes, settings)
    first_account = score.count(asked, outcomes, settings, account=0)
    return {
        "worth": found.total,
        "worst": found.worst,
        "lookups": found.in_time["lookup"],
        "first_account": first_account.total,
        "changes": max(map(max_changes_in_window, changes)),
        "total": sum(map(len, changes)),
        "broken": load_swing.broken(outcomes),
    }


@click.command()
@click.option("--conf", default="deploy/tealwing.conf", show_default=True)
@click.option("--before", default="712515d", show_default=True, help="Commit of the earlier decision module.")
@click.option("--seeds", default=6, show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1)
def main(conf: str, before: str, seeds: int, jobs: int) -> None:
    """Run all cases and print the table."""
    jobs_to_run = [(name, seed, mode, conf, before) for name in CASES for seed in range(1, seeds + 1) for mode in MODES]
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        results = dict(zip(jobs_to_run, pool.map(play, jobs_to_run), strict=True))
    print(
        "| case | worth before / off / on | worst 10 s off / on | lookups in time off / on | first account off / on"
        " | changes, most a minute |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for name in CASES:

        def mean(figure: str, mode: str, name: str = name) -> float:
            return float(np.mean([results[name, s, mode, conf, before][figure] for s in range(1, seeds + 1)]))

        runs = [results[name, s, "on", conf, before] for s in range(1, seeds + 1)]
        print(
            f"| {name} | {' / '.join(format(mean('worth', m), '.3f') for m in MODES)}"
            f" | {mean('worst', 'off'):.3f} / {mean('worst', 'on'):.3f}"
            f" | {mean('lookups', 'off'):.3f} / {mean('lookups', 'on'):.3f}"
            f" | {mean('first_account', 'off'):.3f} / {mean('first_account', 'on'):.3f}"
            f" | {sum(r['total'] for r in runs)}, {max(r['changes'] for r in runs)} |"
        )
    print(f"\nrules broken: {sum(r['broken'] for r in results.values())}; seeds 1 to {seeds}")


if __name__ == "__main__":
    main()
