"""Gossip at scale: clusters of 5 to 1,000 instances in virtual time, and the worth served with and without gossip.

    python -m benchmarks.gossip grow --out docs/pictures/gossip.svg
    python -m benchmarks.gossip worth --seeds 20

Clusters sign with a keyed hash (`lab.network.SimulatedKey`), so that the times are those of the protocol; the cost of a
real signature is measured separately and printed below the table.
"""

from __future__ import annotations

import os
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click
import numpy as np

from tealwing.lab.gossip_trial import GossipingDeployment
from tealwing.lab.harness import Deployment
from tealwing.lab.network import Network, cluster, real_key

SIZES = (5, 20, 80, 200, 1000)
STEADY = 20.0  # s over which the traffic of a converged cluster is measured
LOAD, GATEWAYS, SECONDS = 0.6, 20, 40.0  # of the modelled fleet whose worth is measured


def grow(size: int) -> dict[str, Any]:
    """Measure one cluster: all instances join at once, then one is killed."""
    network = Network(1)
    cluster(network, size)
    joined = network.until(network.agreed, 400)
    network.clock.run(network.clock.now + 5)
    begun, used = network.clock.now, time.process_time()
    network.clock.run(begun + STEADY)
    used = time.process_time() - used
    steady = [
        sum(n for second, n in i.seconds.items() if begun + 1 <= second < begun + STEADY - 1) / (STEADY - 2)
        for i in network.live()
    ]
    network.kill("n3")
    died = network.clock.now
    known = network.until(network.agreed, 200)
    first = min((at for at, _, what, _ in network.events if what == "gossip_dead" and at > died), default=died)
    false = sum(what == "gossip_dead" and fields["member"] != "n3" for _, _, what, fields in network.events)
    return {
        "size": size,
        "joined": joined,
        "steady": float(np.mean(steady)),
        "most": network.max_bytes_per_second(),
        "first": first - died,
        "known": known,
        "tick_us": used / (STEADY * 10 * size) * 1e6,
        "false": false,
    }


def worth_of(job: tuple[int, int, bool, str]) -> float:
    """Worth served by a modelled fleet of 20 gateways and 8 engines."""
    seed, liars, gossips, fault = job

    def inject_fault(deployment: Deployment) -> None:
        if fault == "slow":
            deployment.slow([3], 12.0, 30.0, 6.0)
        elif fault == "dying":
            deployment.crash([3, 5], 14.0, 26.0)

    return GossipingDeployment(seed, GATEWAYS, SECONDS, LOAD, liars, gossips).run(inject_fault).total


@click.group()
def main() -> None:
    """Measure gossip at scale."""


@main.command("grow")
@click.option("--out", type=click.Path(), required=True, help="File for the plot, SVG.")
def grow_command(out: str) -> None:
    """Measure clusters of all sizes; print a table and write a plot."""
    with ProcessPoolExecutor(min(len(SIZES), os.cpu_count() or 1), mp_context=get_context("spawn")) as pool:
        found = list(pool.map(grow, SIZES))
    print("| instances | all joined | steady bytes/s each | most in a second | a death known, first / all"
          " | processor a tick | false deaths |")  # fmt: skip
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for row in found:
        print(f"| {row['size']} | {row['joined']} s | {row['steady']:.0f} | {row['most']} |"
              f" {row['first']:.1f} / {row['known']} s | {row['tick_us']:.0f} us | {row['false']} |")  # fmt: skip
    key = real_key("n0")
    begun = time.process_time()
    for _ in range(500):
        key.sign(b"x" * 500)
    print(f"\nsigning 500 bytes: {(time.process_time() - begun) / 500 * 1e6:.0f} us")
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4), layout="constrained")
    sizes = [row["size"] for row in found]
    left.plot(sizes, [row["steady"] for row in found], "o-", label="steady, mean of all")
    left.plot(sizes, [row["most"] for row in found], "s--", label="most in any second, joining included")
    left.axhline(16384, color="0.5", linewidth=1)
    left.annotate("ceiling", (5, 16384), xytext=(5, 17000), fontsize=8)
    left.set(xscale="log", xlabel="instances", ylabel="bytes a second, one instance", ylim=(0, 19000))
    left.legend(fontsize=8, loc="center right")
    right.plot(sizes, [row["known"] for row in found], "o-", label="known to all")
    right.plot(sizes, [row["first"] for row in found], "s--", label="known to the first")
    right.set(xscale="log", xlabel="instances", ylabel="s from a death", ylim=(0, None))
    right.legend(fontsize=8)
    Path(out).parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(out, metadata={"Date": None})


@main.command("worth")
@click.option("--seeds", default=20, show_default=True)
def worth_command(seeds: int) -> None:
    """Compare the worth served with and without gossip, with and without liars."""
    cases = [("none", 0), ("slow", 0), ("slow", 3), ("dying", 0), ("dying", 3), ("none", 3)]
    jobs = [
        (seed, liars, gossips, fault)
        for fault, liars in cases
        for seed in range(1, seeds + 1)
        for gossips in (False, True)
    ]
    with ProcessPoolExecutor(max((os.cpu_count() or 2) - 1, 1), mp_context=get_context("spawn")) as pool:
        found = dict(zip(jobs, pool.map(worth_of, jobs), strict=True))
    print("| engines | liars | without | with | difference, mean and worst |")
    print("| --- | --- | --- | --- | --- |")
    for fault, liars in cases:
        off = np.array([found[s, liars, False, fault] for s in range(1, seeds + 1)])
        on = np.array([found[s, liars, True, fault] for s in range(1, seeds + 1)])
        print(f"| {fault} | {liars} | {off.mean():.4f} | {on.mean():.4f} |"
              f" {(on - off).mean():+.4f}, {(on - off).min():+.4f} |")  # fmt: skip


if __name__ == "__main__":
    main()
