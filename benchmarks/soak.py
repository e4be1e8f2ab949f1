"""Runs the soak test with many seeds, several in parallel; prints rule violations by seed and a line of figures.

python -m benchmarks.soak --seeds 50 --first 1 --seconds 6 --at-once 3
"""

from __future__ import annotations

import argparse
import json
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from tests.soak import Soak


@dataclass(frozen=True, slots=True)
class Played:
    """The result of one seed."""

    seed: int
    ends: dict[str, int]  # number of requests by how they ended
    in_drain: dict[int, int]  # requests by tenth of a second after SIGTERM
    drains: int
    strict_drains: int  # drains judged from the moment at which the gateway learned of them
    starts: int  # of cold engines
    findings: list[str]  # rule violations


def play(seed: int, seconds: float, logs: Path | None) -> Played:
    """Run the soak with one seed."""
    with tempfile.TemporaryDirectory() as folder:
        outcome = Soak(seed, Path(folder), logs / f"{seed}.log" if logs is not None else None).run(seconds)
    ends = {str(end): count for end, count in outcome.ends.items()}
    drains, starts = len(outcome.drains), len(outcome.starts)
    return Played(seed, ends, dict(outcome.in_drain), drains, outcome.strict_drains, starts, outcome.findings)


def main() -> None:
    """Run all seeds and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--logs", type=Path, help="write the log of each seed to this folder")
    arguments = parser.parse_args()
    begun, ends, in_drain, broken = time.monotonic(), Counter[str](), Counter[int](), 0
    drains = strict = starts = 0
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    with ProcessPoolExecutor(arguments.at_once) as pool:
        for played in pool.map(partial(play, seconds=arguments.seconds, logs=arguments.logs), seeds):
            ends.update(played.ends)
            in_drain.update(played.in_drain)
            drains, strict, starts = drains + played.drains, strict + played.strict_drains, starts + played.starts
            broken += bool(played.findings)
            for finding in played.findings:
                print(f"seed {played.seed}: {finding}", flush=True)
    figures = {"seeds": arguments.seeds, "first": arguments.first, "seconds": arguments.seconds, "broken_seeds": broken}
    figures |= {"served_share": round(ends["served"] / max(ends.total(), 1), 3), "ends": dict(ends)}
    figures |= {"drains": drains, "strict_drains": strict, "cold_starts": starts}
    figures |= {"in_drain_by_tenth": {str(tenth): in_drain[tenth] for tenth in sorted(in_drain)}}
    print(json.dumps(figures | {"took_s": round(time.monotonic() - begun)}))


if __name__ == "__main__":
    main()
