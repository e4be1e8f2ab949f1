"""Slow start under the sum of all gateways: what goes over the bound, and what of the budget is used.

    python -m benchmarks.slow_start [SEEDS] [GATEWAYS ...]

For each case and number of gateways the share of starts and of windows over N + 2 sqrt(N) + 2, the mean share of N that
a window was sent, and the fullest window over its bound. Virtual time; twenty seeds take some minutes.
"""

from __future__ import annotations

import sys

from tealwing.lab import slow_start

GATEWAYS = (3, 5, 20, 30, 200)


def main() -> None:
    """Play and print."""
    if not all(word.isdecimal() and int(word) > 0 for word in sys.argv[1:]):
        sys.exit(f"slow_start: each a whole number above 0, not {' '.join(sys.argv[1:])}")
    seeds, *gateways = [int(word) for word in sys.argv[1:]] or [20]
    print(f"{'case':24} gateways  starts over  windows over    used  fullest", flush=True)
    for case in slow_start.CASES:
        for number in gateways or GATEWAYS:
            found = slow_start.play(case, number, range(seeds))
            starts, windows = f"{found.fell} of {found.starts}", f"{100 * found.over / found.windows:.2f}%"
            figures = f"{starts:>11}  {windows:>12}  {found.used:6.2f}  {found.worst:7.2f}"
            print(f"{case.name:24} {number:8}  {figures}", flush=True)


if __name__ == "__main__":
    main()
