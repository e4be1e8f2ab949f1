"""Slow start with all gateways' requests added up: how often the bound is exceeded, and how much budget is used.

    python -m benchmarks.slow_start [SEEDS] [GATEWAYS ...]

Prints for each case and number of gateways the starts and the share of windows that exceed N + 2 sqrt(N) + 2 requests,
the mean share of N that was sent in a window, and the fullest window relative to its bound. N is the number of requests
of mean work that the settings allow all gateways together to send to one engine in a window. Runs in virtual time;
twenty seeds take some minutes.
"""

from __future__ import annotations

import sys

from tealwing.lab import slow_start

GATEWAYS = (3, 5, 20, 30, 200)


def main() -> None:
    """Run all cases and print a line for each case and number of gateways."""
    if not all(word.isdecimal() and int(word) > 0 for word in sys.argv[1:]):
        sys.exit(f"slow_start: SEEDS and GATEWAYS must be whole numbers above 0, not {' '.join(sys.argv[1:])}")
    seeds, *gateways = [int(word) for word in sys.argv[1:]] or [20]
    print(f"{'case':24} gateways  starts over  windows over    used  fullest", flush=True)
    for case in slow_start.CASES:
        for number in gateways or GATEWAYS:
            found = slow_start.play(case, number, range(seeds))
            starts, windows = f"{found.overloaded} of {found.starts}", f"{100 * found.over / found.windows:.2f}%"
            figures = f"{starts:>11}  {windows:>12}  {found.used:6.2f}  {found.worst:7.2f}"
            print(f"{case.name:24} {number:8}  {figures}", flush=True)


if __name__ == "__main__":
    main()
