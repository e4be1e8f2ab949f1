"""Measures changes of the rules in large fleets, in virtual time; prints the cost of a change as a table.

Example: python -m benchmarks.rollout_scale [CHANGES [PREFIX...]]; prefixes select runs by name, such as 200/serve.
"""

from __future__ import annotations

import sys
import time

from tealwing.lab.rollout import trials
from tealwing.lab.rollout.measure import Found, quantile
from tealwing.rules.records import PartitionMode

SEED = 20
MODES: tuple[PartitionMode, ...] = ("serve", "hold")
SIZES = ((1, 5), (1, 50), (1, 200), (3, 3), (20, 3), (20, 5))
LOSSES = (0.0, 0.01)
HEAD = ("run", "loss", "changes", "in force", "gap p50 p99 ms", "decided p50 p99 ms", "open p50 p99 ms",
        "messages of a gateway", "of the leader", "entries",
        "clients held", "waited p50 p99 ms", "wrong")  # fmt: skip


def main() -> None:
    """Run all selected fleets and print a line for each."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 50
    prefixes = sys.argv[2:]
    print("| " + " | ".join(HEAD) + " |\n|" + " --- |" * len(HEAD), flush=True)
    for sites, gateways in SIZES:
        for mode in MODES:
            name = f"{f'{sites}x' if sites > 1 else ''}{gateways}/{mode}"
            for loss in LOSSES:
                if _is_wanted(f"{name}/{loss:g}", prefixes):
                    begun = time.monotonic()
                    found, fleet = trials.run_and_measure(trials.shape(sites, gateways, mode), count, SEED, loss)
                    print(_line(name, loss, found), flush=True)
                    took = time.monotonic() - begun
                    print(f"{name}: {fleet.clock.now:.0f} s in {took:.0f} s", *found.wrong[:3], file=sys.stderr)
    for gateways in (5, 50):
        for mode in MODES:
            if _is_wanted(f"cut/{gateways}/{mode}", prefixes):
                alone = trials.cut_off(trials.shape(1, gateways, mode), 10, SEED)
                ended = ", ".join(sorted(set(alone.ended)))
                print(f"{gateways}/{mode}, one cut off: {len(alone.ended)} changes {ended} after "
                      f"{quantile(alone.took, 0.5):.2f} s (p50), {max(alone.took):.2f} s (most); wrong: "
                      f"{len(alone.wrong)}", *alone.wrong[:3], flush=True)  # fmt: skip
    if _is_wanted("sabotage", prefixes):
        found, _ = trials.run_and_measure(trials.shape(1, 20, "serve", "early-open"), 10, SEED)
        print(f"20/serve with early-open: {len(found.wrong)} wrong, as", *found.wrong[:1], flush=True)


def _is_wanted(name: str, prefixes: list[str]) -> bool:
    return not prefixes or any(name.startswith(prefix) for prefix in prefixes)


def _line(name: str, loss: float, found: Found) -> str:
    def ms(values: list[float]) -> str:
        return f"{quantile(values, 0.5) * 1e3:.1f} {quantile(values, 0.99) * 1e3:.1f}"

    cells = (
        name, f"{loss:.0%}", found.changes, found.changes - found.failed, ms(found.gaps), ms(found.decided),
        ms(found.opened), f"{quantile(found.by_gateway, 0.5):.1f}", f"{quantile(found.by_leader, 0.5):.0f}",
        f"{quantile(found.entries, 0.5):.0f}", f"{len(found.waits)} of {found.clients}", ms(found.waits),
        len(found.wrong),
    )  # fmt: skip
    return "| " + " | ".join(map(str, cells)) + " |"


if __name__ == "__main__":
    main()
