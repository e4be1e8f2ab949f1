"""Processor time of the decision module's operations by number of engines, in one gateway of a fleet of 40.

    python -m benchmarks.engines [8 60 ...]

Prints microseconds for a request (arrival and outcome), a change of the engine list and the rebuild that is due every
second; each is the best of five rounds.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

from tealwing import interface as api
from tealwing.lab import site
from tealwing.policy import Gateway

IN_FLIGHT = 40  # requests in flight throughout
REQUESTS, CHANGES, REBUILDS = 2000, 200, 100
QUICK_DIVISOR = 10  # divides the three counts above in a quick run
MIN_COUNT = 10  # least count of each operation, for any number of engines
FULL_COUNT_ENGINES = 64  # engines up to which the full counts run; with more engines the counts fall in proportion


def best_mean_us(rounds: int, calls: int, operation: Callable[[], None]) -> float:
    """Mean processor time of one call in microseconds, in the best round."""
    found = []
    for _ in range(rounds):
        begun = time.process_time()
        for _ in range(calls):
            operation()
        found.append((time.process_time() - begun) / calls * 1e6)
    return min(found)


def measure(engines: int, quick: bool = False) -> tuple[float, float, float]:
    """Microseconds of a request, a change of the engine list and a rebuild; a quick run has fewer of each."""
    divisor = QUICK_DIVISOR if quick else max(1, engines // FULL_COUNT_ENGINES)
    gateway, now, last = Gateway(site.settings(40), 1), 100.0, 0
    entries = [api.EngineListEntry(n, 0, n % 2, 0, api.Health.READY, 1.0, 0.0) for n in range(engines)]
    gateway.handle(now, api.EngineList(api.EngineListKind.CACHED, 1, tuple(entries)))
    in_flight: list[api.Send] = []

    def request() -> None:
        nonlocal now, last
        now, last = now + 0.01, last + 1
        actions = gateway.handle(now, api.Request(last, last % 3, 20.0, cost=0.5, memory_estimate=800.0))
        in_flight.extend(action for action in actions if isinstance(action, api.Send))
        if len(in_flight) > IN_FLIGHT:
            send = in_flight.pop(0)
            report = (0.0, 4.0 + last % 7)
            gateway.handle(
                now, api.AttemptOutcome(send.id, 0, send.engine, api.AttemptResult.OK, 0.4, True, report=report)
            )

    def change() -> None:
        entry = entries[last % engines]
        gateway.handle(now, api.EngineList(api.EngineListKind.DELTA, 2, (entry,)))

    def rebuild() -> None:
        nonlocal now
        now += 1.0
        gateway.handle(now, api.TimerFired(0))

    for _ in range(300):
        request()
    asked = best_mean_us(5, max(MIN_COUNT, REQUESTS // divisor), request)
    rebuild()
    return (
        asked,
        best_mean_us(5, max(MIN_COUNT, CHANGES // divisor), change),
        best_mean_us(5, max(MIN_COUNT, REBUILDS // divisor), rebuild),
    )


def main() -> None:
    """Measure each number of engines and print a table."""
    if not all(word.isdecimal() and int(word) > 0 for word in sys.argv[1:]):
        sys.exit(f"engines: every number of engines must be a whole number above 0, not {' '.join(sys.argv[1:])}")
    print("engines  request  list change  rebuild (us)")
    for engines in [int(word) for word in sys.argv[1:]] or [8, 60]:
        print("{:7d}  {:7.0f}  {:11.0f}  {:7.0f}".format(engines, *measure(engines)))


if __name__ == "__main__":
    main()
