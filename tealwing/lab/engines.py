"""The model of one engine: cores, disks and memory shared by all that runs there, in virtual time.

Each query runs on some threads, a part of its work reading or writing. All that run share the cores and the disks by
the weights of their priorities; total work falls past the knee, and all slow down once memory in use passes what
there is. A load holds its group of tables while it runs: other loads of the group, and queries of classes that wait,
stand still there. Groups read last are warm, and read faster. An engine that starts is cold, and falls over when it
is sent too much. Figures are drawn from the ranges that the operators' brief gives; see `Draw`.

The model advances between events only: rates hold from one arrival or departure to the next.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

WEIGHTS = np.array([1.0, 4.0, 8.0, 16.0])  # of the priorities 0 to 3
SLOTS = 16  # queries that an engine's arrays hold at first; they double as needed
EPSILON = 1e-9  # s of work below which a query is done
ROUNDS = 3  # of sharing out what queries at full speed leave over
FALL_WINDOW = 3.0  # s over which what a cold engine is sent is counted
FALL_MULTIPLE = 2.0  # of its present capacity, which it bears
FALL_SLACK = 1.1  # on that, for chance (the contract's "a little")
INFORMED = 2 / 3  # of the work that must have come from gateways that knew of the start (the contract's)
CAPACITY = 0.85  # busy share of the cores that counts as capacity


@dataclass(frozen=True, slots=True)
class Draw:
    """One engine's figures."""

    cores: int
    memory: float  # MB
    speed: float = 1.0
    knee: float = 1.7  # threads a core
    thrash: float = 0.7  # power of the loss past the knee
    disks: float = 0.5  # work a second of reading and writing, over the cores
    page: float = 6.0  # how many times slower at twice the memory
    sessions: int = 8  # a core
    warm_groups: int = 5
    warm_gain: float = 0.55  # of the reading, saved
    slow_start_share: float = 0.32
    slow_start_time: float = 13.0
    report_every: float = 0.4
    noise: float = 0.05


@dataclass(eq=False, slots=True)
class Run:
    """One query on an engine."""

    key: Any
    cls: int
    work: float  # s of one thread
    threads: int
    io: float
    group: int
    need: float  # MB
    priority: int
    holds: bool
    waits: bool
    done: Callable[[Run], None]
    slot: int = -1
    still: bool = False  # behind a load
    total: float = field(default=0.0)
    started: float = 0.0


class Engine:
    """One engine process."""

    def __init__(self, number: int, draw: Draw, clock: Any, rng: np.random.Generator, started: float = 0.0):
        self.number, self.draw, self.clock, self._rng = number, draw, clock, rng
        self.started, self.up, self.slow = started, True, 1.0
        self.fell = self.pushed = False  # over at all; by gateways that knew of its start
        self.served = 0.0  # s of work that came to its end
        self._runs: list[Run] = []
        self._left, self._rate = np.zeros(SLOTS), np.zeros(SLOTS)
        self._threads, self._cpu, self._io = np.zeros(SLOTS), np.zeros(SLOTS), np.zeros(SLOTS)
        self._weight, self._need = np.zeros(SLOTS), np.zeros(SLOTS)
        self._at = clock.now
        self._warm: OrderedDict[int, None] = OrderedDict()
        self._held: dict[int, Run] = {}
        self._version = 0  # of the rates: a wake-up of an older one is void
        self._sent: deque[tuple[float, float, bool]] = deque()
        self._report: tuple[float, float] = (0.0, 0.0)
        self._report_at = -1.0

    # What gateways see

    @property
    def inflight(self) -> int:
        """Queries there."""
        return len(self._runs)

    def report(self) -> tuple[float, float]:
        """The load report, queue and inflight; refreshed now and then, and a little noisy."""
        if self.clock.now >= self._report_at:
            self._report_at = self.clock.now + self.draw.report_every
            noise = 1 + self.draw.noise * float(self._rng.standard_normal())
            self._report = (0.0, float(max(0, round(len(self._runs) * noise))))
        return self._report

    def full(self) -> bool:
        """Whether all sessions are taken."""
        return len(self._runs) >= self.draw.sessions * self.draw.cores

    def warm_up_progress(self) -> float:
        """Share of its capacity, a straight ramp from a cold start."""
        if self.started <= 0:
            return 1.0
        passed = (self.clock.now - self.started) / self.draw.slow_start_time
        share = self.draw.slow_start_share + (1 - self.draw.slow_start_share) * max(float(passed), 0.0)
        return min(1.0, share)

    # What runs

    def start(self, run: Run) -> None:
        """Begin a query, which counts against a cold engine whatever becomes of it."""
        self._advance()
        run.started, run.total = self.clock.now, run.work
        if run.group in self._warm:
            self._warm.move_to_end(run.group)
            saved = run.io * self.draw.warm_gain
            run.work *= 1 - saved
            run.io = (run.io - saved) / (1 - saved)
        else:
            self._warm[run.group] = None
            if len(self._warm) > self.draw.warm_groups:
                self._warm.popitem(last=False)
        self._put(run)
        if run.holds and run.group not in self._held:
            self._held[run.group] = run
        self._update_blocked()
        self._update_rates()

    def pressure(self, work: float, informed: bool = True) -> None:
        """Count what reaches it while it is cold; past its budget it falls over, and stays down.

        work is the usual one of the class (s of one thread), informed whether its sender knew of the start. It was
        pushed over, which breaks the rule, where two thirds of the work came from those who knew.
        """
        if self.warm_up_progress() >= 1:
            return
        now = self.clock.now
        self._sent.append((now, work, informed))
        while self._sent[0][0] <= now - FALL_WINDOW:
            self._sent.popleft()
        capacity = CAPACITY * self.draw.cores * self.draw.speed * self.warm_up_progress()
        total = sum(sent for _, sent, _ in self._sent)
        if total > FALL_SLACK * FALL_MULTIPLE * capacity * FALL_WINDOW:
            self.fell, self.up = True, False
            self.pushed = sum(sent for _, sent, knew in self._sent if knew) >= INFORMED * total

    def stop(self, run: Run) -> None:
        """Give a query up; its work is lost."""
        if run.slot >= 0:
            self._advance()
            self._take(run)
            self._update_blocked()
            self._update_rates()

    def tune(self, run: Run, priority: int) -> None:
        """Another priority, from now on."""
        if run.slot >= 0 and run.priority != priority:
            self._advance()
            run.priority = priority
            self._weight[run.slot] = WEIGHTS[priority]
            self._update_rates()

    def progress(self, run: Run) -> float:
        """The share done."""
        if run.slot < 0:
            return 1.0
        self._advance()
        return 1 - float(self._left[run.slot]) / run.work if run.work > 0 else 1.0

    def set_slowdown(self, slow: float) -> None:
        """Run so many times slower from now on."""
        self._advance()
        self.slow = slow
        self._update_rates()

    def crash(self) -> list[Run]:
        """The process dies; what ran there."""
        lost, self._runs = self._runs, []
        for run in lost:
            run.slot = -1
        self._held, self.up = {}, False
        self._version += 1
        return lost

    # Sharing

    def _put(self, run: Run) -> None:
        k = run.slot = len(self._runs)
        if k == len(self._left):
            for name in ("_left", "_rate", "_threads", "_cpu", "_io", "_weight", "_need"):
                setattr(self, name, np.concatenate([getattr(self, name), np.zeros(k)]))
        self._runs.append(run)
        self._left[k], self._rate[k], self._need[k] = run.work, 0.0, run.need
        self._threads[k] = run.threads
        self._cpu[k], self._io[k] = run.threads * (1 - run.io), run.threads * run.io
        self._weight[k] = WEIGHTS[run.priority]

    def _take(self, run: Run) -> None:
        """Out of the arrays: the last one moves to its place."""
        k, last = run.slot, len(self._runs) - 1
        if k != last:
            moved = self._runs[last]
            self._runs[k], moved.slot = moved, k
            for array in (
                self._left,
                self._rate,
                self._threads,
                self._cpu,
                self._io,
                self._weight,
                self._need,
            ):
                array[k] = array[last]
        self._runs.pop()
        run.slot = -1
        if self._held.get(run.group) is run:
            del self._held[run.group]
            following = next((r for r in self._runs if r.holds and r.group == run.group), None)
            if following is not None:
                self._held[run.group] = following

    def _update_blocked(self) -> None:
        """Who stands still behind a load."""
        if not self._held:
            for run in self._runs:
                run.still = False
            return
        for run in self._runs:
            holder = self._held.get(run.group)
            run.still = holder is not None and holder is not run and (run.holds or run.waits)

    def _advance(self) -> None:
        """Work off what has passed since the rates were made."""
        passed, self._at = self.clock.now - self._at, self.clock.now
        k = len(self._runs)
        if passed > 0 and k:
            self._left[:k] -= self._rate[:k] * passed

    def _update_rates(self) -> None:
        """The rates of all that run, and when the next of them ends."""
        self._version += 1
        k = len(self._runs)
        if not k:
            return
        draw = self.draw
        moving = np.array([not run.still for run in self._runs])
        threads = float(self._threads[:k][moving].sum())
        crowd = threads / draw.cores
        total = 1.0 if crowd <= draw.knee else (draw.knee / crowd) ** draw.thrash
        warm_up = self.warm_up_progress()
        cores, disks = draw.cores * total * warm_up, draw.cores * draw.disks * warm_up
        weight = self._weight[:k] * moving
        speed = np.minimum(water_filling(weight, self._cpu[:k], cores), water_filling(weight, self._io[:k], disks))
        over = float(self._need[:k].sum()) / draw.memory - 1
        pace = draw.speed / self.slow
        if over > 0:
            pace *= 1 - (1 - 1 / draw.page) * min(over, 1.0)
        rate = self._rate[:k] = speed * moving * self._threads[:k] * pace
        with np.errstate(divide="ignore", invalid="ignore"):
            ends = np.where(rate > 0, self._left[:k] / rate, np.inf)
        soonest = float(ends.min())
        if warm_up < 1:
            soonest = min(soonest, 0.25)  # s: rates grow with warmth
        if soonest < np.inf:
            self.clock.after(max(soonest, 0.0), self._wake, self._version)

    def _wake(self, version: int) -> None:
        if version != self._version or not self.up:
            return
        self._advance()
        k = len(self._runs)
        over = [self._runs[i] for i in np.flatnonzero(self._left[:k] <= EPSILON)]
        for run in over:
            self._take(run)
            self.served += run.total
        self._update_blocked()
        self._update_rates()
        for run in over:
            run.done(run)


def water_filling(weight: Any, demand: Any, capacity: float) -> Any:
    """Speeds up to 1 that share room by weight; what those at full speed leave is shared out again."""
    if float((demand * (weight > 0)).sum()) <= capacity:
        return (weight > 0).astype(float)
    speed = np.zeros(len(weight))
    open_, left = weight > 0, capacity
    for _ in range(ROUNDS):
        requested = float((weight * demand * open_).sum())
        if requested <= 0 or left <= 0:
            break
        level = left / requested
        speed = np.where(open_, np.minimum(1.0, weight * level), speed)
        full = open_ & (speed >= 1.0)
        if not full.any():
            break
        left -= float((demand * full).sum())
        open_ &= ~full
    return speed
