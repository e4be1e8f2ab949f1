"""A fixed loop whose processor time measures the machine's speed, to compare absolute times between machines."""

from __future__ import annotations

import time

ROUNDS = 7
ITEMS = 2000


def reference_us() -> float:
    """Processor time in microseconds of one round of the loop; the least of ROUNDS."""
    _time_round()
    return min(_time_round() for _ in range(ROUNDS))


def _time_round() -> float:
    begun = time.process_time()
    table: dict[int, float] = {}
    for number in range(ITEMS):
        table[number % 97] = table.get(number % 97, 0.0) * 0.5 + number
    ordered = sorted(table.items(), key=lambda item: -item[1])
    text = ",".join(f"{key}:{value:.3f}" for key, value in ordered)
    assert text
    return (time.process_time() - begun) * 1e6
