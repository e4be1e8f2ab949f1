"""Enlarges a day of the bench: many times the engines, with the traffic, limits and capacity of a gateway unchanged.

Each engine is split into `--split` engines with that fraction of its cores, slots, queue and knee; then all engines and
gateways are copied `--copies` times. A split of 8 and 2 copies make 16 times the engines and twice the gateways.

    python -m benchmarks.fleet_day DAY.json --split 8 --copies 2 > LARGE.json
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

PARTS = ("cores", "slots", "queue")  # keys of an engine kind whose values are whole numbers


def split_kind(kind: dict[str, Any], parts: int) -> dict[str, Any]:
    """An engine kind with a fraction of its size; raises ValueError if its cores are not divisible by `parts`."""
    if kind["cores"] % parts:
        raise ValueError(
            f"{kind['cores']} cores of an engine kind are not divisible by {parts}; choose another --split"
        )
    smaller = {name: max(1, kind[name] // parts) for name in PARTS}
    return kind | smaller | {"knee": kind["knee"] / parts}


def larger(day: dict[str, Any], split: int, copies: int) -> dict[str, Any]:
    """The day with its engines split and its engines and gateways copied; each copy has cells of its own."""
    cells = 1 + max(server["cell"] for server in day["servers"])
    servers = [
        server | {"cell": server["cell"] + cells * number}
        for number in range(split * copies)
        for server in day["servers"]
    ]
    tiers = [tier | {"kinds": [split_kind(kind, split) for kind in tier["kinds"]]} for tier in day["tiers"]]
    return day | {"servers": servers, "balancers": day["balancers"] * copies, "tiers": tiers}


def sampled(day: dict[str, Any], every: int) -> dict[str, Any]:
    """The day with every `every`-th engine and gateway, so that one machine can run a part of a larger day."""
    return day | {name: day[name][::every] for name in ("servers", "balancers")}


def without(day: dict[str, Any], fault_kind: str) -> dict[str, Any]:
    """The day without faults of one kind: the bench plays from a file only the kinds that it has a name for."""
    return day | {"troubles": [fault for fault in day["troubles"] if fault["kind"] != fault_kind]}


def main() -> None:
    """Print the enlarged day as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("day", type=Path)
    parser.add_argument("--split", type=int, default=8)
    parser.add_argument("--copies", type=int, default=2)
    parser.add_argument("--without", default="", help="leave out faults of this kind")
    parser.add_argument("--every", type=int, default=1, help="keep only every N-th engine and gateway")
    arguments = parser.parse_args()
    day = sampled(without(json.loads(arguments.day.read_text()), arguments.without), arguments.every)
    print(json.dumps(larger(day, arguments.split, arguments.copies)))


if __name__ == "__main__":
    main()
