"""The soak over many seeds, some at a time: what broke of the rules, by seed, and one line of figures.

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
    """What one seed gave."""

    seed: int
    ends: dict[str, int]  # how its requests ended
    in_drain: dict[int, int]  # requests by tenth of a second after SIGTERM
    drains: int
    strict_drains: int  # judged from the moment of being told
    starts: int  # of cold engines
    findings: list[str]  # what broke


def play(seed: int, seconds: float, logs: Path | None) -> Played:
    """Play one seed."""
    with tempfile.TemporaryDirectory() as folder:
        book = Soak(seed, Path(folder), logs / f"{seed}.log" if logs is not None else None).run(seconds)
    ends = {str(end): count for end, count in book.ends.items()}
    drains, starts = len(book.drains), len(book.starts)
    return Played(seed, ends, dict(book.in_drain), drains, book.strict_drains, starts, book.findings)


def main() -> None:
    """Play the seeds and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--logs", type=Path, help="a folder for the log of each seed")
    given = parser.parse_args()
    begun, ends, in_drain, broken = time.monotonic(), Counter[str](), Counter[int](), 0
    drains = strict = starts = 0
    seeds = range(given.first, given.first + given.seeds)
    with ProcessPoolExecutor(given.at_once) as pool:
        for played in pool.map(partial(play, seconds=given.seconds, logs=given.logs), seeds):
            ends.update(played.ends)
            in_drain.update(played.in_drain)
            drains, strict, starts = drains + played.drains, strict + played.strict_drains, starts + played.starts
            broken += bool(played.findings)
            for finding in played.findings:
                print(f"seed {played.seed}: {finding}", flush=True)
    told = {"seeds": given.seeds, "first": given.first, "seconds": given.seconds, "broken_seeds": broken}
    told |= {"served_share": round(ends["served"] / max(ends.total(), 1), 3), "ends": dict(ends)}
    told |= {"drains": drains, "strict_drains": strict, "cold_starts": starts}
    told |= {"in_drain_by_tenth": {str(tenth): in_drain[tenth] for tenth in sorted(in_drain)}}
    print(json.dumps(told | {"took_s": round(time.monotonic() - begun)}))


if __name__ == "__main__":
    main()
