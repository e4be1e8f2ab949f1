"""Model of one engine: queries share its cores, disks and memory, in virtual time.

Each query runs on some threads; a share of its work is I/O. Running queries share cores and disks by the weights of
their priorities. Throughput falls once the threads per core pass the knee, and all queries slow down once their memory
exceeds the engine's. A load locks its group of tables while it runs: other loads of the group, and queries of classes
that wait for locks, are blocked. Recently read groups are warm and read faster. An engine that starts is cold and
crashes if it is sent too much work. Parameters are drawn from the ranges of the operators' brief:
see `EngineParameters` and `site.draws`.

The model advances between events only: rates are constant from one arrival or departure to the next.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

WEIGHTS = np.array([1.0, 4.0, 8.0, 16.0])  # of the priorities 0 to 3
SLOTS = 16  # initial length of an engine's arrays of queries; they double as needed
EPSILON = 1e-9  # s of work below which a query is done
ROUNDS = 3  # of redistributing the capacity that queries at full speed leave unused
OVERLOAD_WINDOW = 3.0  # s over which the work sent to a cold engine is summed
OVERLOAD_MULTIPLE = 2.0  # work in that window, over the current capacity, that a cold engine survives
OVERLOAD_TOLERANCE = 1.1  # tolerance on that for random variation (the contract's "a little")
# share of a cold engine's work sent by gateways that knew of its start, from which its crash is their fault (contract)
INFORMED_SHARE = 2 / 3
CAPACITY = 0.85  # utilization of the cores that counts as full capacity


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """The parameters of one engine."""

    cores: int
    memory: float  # MB
    speed: float = 1.0
    knee: float = 1.7  # threads per core past which throughput falls
    thrash: float = 0.7  # exponent of the loss of throughput past the knee
    disks: float = 0.5  # I/O work a second, per core
    page: float = 6.0  # slowdown factor when queries need twice the memory
    sessions: int = 8  # per core
    warm_groups: int = 5  # table groups that stay warm
    warm_gain: float = 0.55  # share of a query's I/O saved on a warm group
    slow_start_share: float = 0.32  # of full capacity, right after a cold start
    slow_start_time: float = 13.0  # s from a cold start to full capacity
    report_every: float = 0.4  # s
    noise: float = 0.05  # standard deviation of reported queries, relative


@dataclass(eq=False, slots=True)
class Run:
    """One query on an engine."""

    key: Any
    cls: int
    work: float  # s of one thread
    threads: int
    io: float  # share of the work that is I/O
    group: int  # of tables
    need: float  # MB
    priority: int
    holds: bool  # whether it locks its group
    waits: bool  # whether it waits for a lock on its group
    done: Callable[[Run], None]
    slot: int = -1  # index in the engine's arrays; -1 once it has ended
    blocked: bool = False  # whether it is blocked by a lock on its group
    total: float = field(default=0.0)  # the work before any saving on a warm group
    started: float = 0.0


class Engine:
    """The model of one engine process."""

    def __init__(
        self, number: int, parameters: EngineParameters, clock: Any, rng: np.random.Generator, started: float = 0.0
    ):
        self.number, self.parameters, self.clock, self._rng = number, parameters, clock, rng
        self.started, self.up, self.slow = started, True, 1.0
        self.crashed_by_overload = False  # whether it was sent too much work while cold
        self.knowingly_overloaded = False  # whether gateways that knew of its start sent that work
        self.served = 0.0  # s of completed work
        self._runs: list[Run] = []
        self._left, self._rate = np.zeros(SLOTS), np.zeros(SLOTS)
        self._threads, self._cpu, self._io = np.zeros(SLOTS), np.zeros(SLOTS), np.zeros(SLOTS)
        self._weight, self._need = np.zeros(SLOTS), np.zeros(SLOTS)
        self._at = clock.now
        self._warm: OrderedDict[int, None] = OrderedDict()
        self._held: dict[int, Run] = {}
        self._version = 0  # of the rates; a scheduled wake-up of an older version is ignored
        self._sent: deque[tuple[float, float, bool]] = deque()
        self._report: tuple[float, float] = (0.0, 0.0)
        self._report_at = -1.0

    # State visible to gateways

    @property
    def inflight(self) -> int:
        """Number of running queries."""
        return len(self._runs)

    def report(self) -> tuple[float, float]:
        """The load report (queue, inflight), refreshed every `report_every` seconds, with some noise."""
        if self.clock.now >= self._report_at:
            self._report_at = self.clock.now + self.parameters.report_every
            noise = 1 + self.parameters.noise * float(self._rng.standard_normal())
            self._report = (0.0, float(max(0, round(len(self._runs) * noise))))
        return self._report

    def full(self) -> bool:
        """Whether all sessions are taken."""
        return len(self._runs) >= self.parameters.sessions * self.parameters.cores

    def warm_up_progress(self) -> float:
        """Current share of full capacity, which rises linearly from a cold start."""
        if self.started <= 0:
            return 1.0
        passed = (self.clock.now - self.started) / self.parameters.slow_start_time
        share = self.parameters.slow_start_share + (1 - self.parameters.slow_start_share) * max(float(passed), 0.0)
        return min(1.0, share)

    # Queries

    def start(self, run: Run) -> None:
        """Start a query; one on a group that is not warm makes the group warm."""
        self._advance()
        run.started, run.total = self.clock.now, run.work
        if run.group in self._warm:
            self._warm.move_to_end(run.group)
            saved = run.io * self.parameters.warm_gain
            run.work *= 1 - saved
            run.io = (run.io - saved) / (1 - saved)
        else:
            self._warm[run.group] = None
            if len(self._warm) > self.parameters.warm_groups:
                self._warm.popitem(last=False)
        self._add(run)
        if run.holds and run.group not in self._held:
            self._held[run.group] = run
        self._update_blocked()
        self._update_rates()

    def count_cold_send(self, work: float, informed: bool = True) -> None:
        """Count a send to the engine while it is cold; sends over its budget crash it permanently.

        work: the mean work of the class (s of one thread); informed: whether the sender knew of the engine's start.
        `knowingly_overloaded` is set, a rule violation, if at least two thirds of the work came from informed senders.
        """
        if self.warm_up_progress() >= 1:
            return
        now = self.clock.now
        self._sent.append((now, work, informed))
        while self._sent[0][0] <= now - OVERLOAD_WINDOW:
            self._sent.popleft()
        capacity = CAPACITY * self.parameters.cores * self.parameters.speed * self.warm_up_progress()
        total = sum(sent for _, sent, _ in self._sent)
        if total > OVERLOAD_TOLERANCE * OVERLOAD_MULTIPLE * capacity * OVERLOAD_WINDOW:
            self.crashed_by_overload, self.up = True, False
            self.knowingly_overloaded = sum(sent for _, sent, knew in self._sent if knew) >= INFORMED_SHARE * total

    def stop(self, run: Run) -> None:
        """Abort a query; its work is lost."""
        if run.slot >= 0:
            self._advance()
            self._remove(run)
            self._update_blocked()
            self._update_rates()

    def tune(self, run: Run, priority: int) -> None:
        """Change a query's priority from now on."""
        if run.slot >= 0 and run.priority != priority:
            self._advance()
            run.priority = priority
            self._weight[run.slot] = WEIGHTS[priority]
            self._update_rates()

    def progress(self, run: Run) -> float:
        """The completed share of a query's work."""
        if run.slot < 0:
            return 1.0
        self._advance()
        return 1 - float(self._left[run.slot]) / run.work if run.work > 0 else 1.0

    def set_slowdown(self, slow: float) -> None:
        """Run `slow` times slower than normal from now on."""
        self._advance()
        self.slow = slow
        self._update_rates()

    def crash(self) -> list[Run]:
        """Crash the process; returns the queries that were running."""
        lost, self._runs = self._runs, []
        for run in lost:
            run.slot = -1
        self._held, self.up = {}, False
        self._version += 1
        return lost

    # Sharing of resources

    def _add(self, run: Run) -> None:
        k = run.slot = len(self._runs)
        if k == len(self._left):
            for name in ("_left", "_rate", "_threads", "_cpu", "_io", "_weight", "_need"):
                setattr(self, name, np.concatenate([getattr(self, name), np.zeros(k)]))
        self._runs.append(run)
        self._left[k], self._rate[k], self._need[k] = run.work, 0.0, run.need
        self._threads[k] = run.threads
        self._cpu[k], self._io[k] = run.threads * (1 - run.io), run.threads * run.io
        self._weight[k] = WEIGHTS[run.priority]

    def _remove(self, run: Run) -> None:
        """Remove a query from the arrays by moving the last one into its slot; release its lock to the next load."""
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
        """Mark the queries that are blocked by a load's lock."""
        if not self._held:
            for run in self._runs:
                run.blocked = False
            return
        for run in self._runs:
            holder = self._held.get(run.group)
            run.blocked = holder is not None and holder is not run and (run.holds or run.waits)

    def _advance(self) -> None:
        """Subtract the work done since the last update, at the current rates."""
        passed, self._at = self.clock.now - self._at, self.clock.now
        k = len(self._runs)
        if passed > 0 and k:
            self._left[:k] -= self._rate[:k] * passed

    def _update_rates(self) -> None:
        """Compute the rates of all running queries and schedule a wake-up for the next one to end."""
        self._version += 1
        k = len(self._runs)
        if not k:
            return
        parameters = self.parameters
        moving = np.array([not run.blocked for run in self._runs])
        threads = float(self._threads[:k][moving].sum())
        threads_per_core = threads / parameters.cores
        total = (
            1.0 if threads_per_core <= parameters.knee else (parameters.knee / threads_per_core) ** parameters.thrash
        )
        warm_up = self.warm_up_progress()
        cores, disks = parameters.cores * total * warm_up, parameters.cores * parameters.disks * warm_up
        weight = self._weight[:k] * moving
        speed = np.minimum(water_filling(weight, self._cpu[:k], cores), water_filling(weight, self._io[:k], disks))
        excess = float(self._need[:k].sum()) / parameters.memory - 1
        speed_factor = parameters.speed / self.slow
        if excess > 0:
            speed_factor *= 1 - (1 - 1 / parameters.page) * min(excess, 1.0)
        rate = self._rate[:k] = speed * moving * self._threads[:k] * speed_factor
        with np.errstate(divide="ignore", invalid="ignore"):
            ends = np.where(rate > 0, self._left[:k] / rate, np.inf)
        soonest = float(ends.min())
        if warm_up < 1:
            soonest = min(soonest, 0.25)  # s between updates while the engine warms up
        if soonest < np.inf:
            self.clock.after(max(soonest, 0.0), self._wake, self._version)

    def _wake(self, version: int) -> None:
        if version != self._version or not self.up:
            return
        self._advance()
        k = len(self._runs)
        finished = [self._runs[i] for i in np.flatnonzero(self._left[:k] <= EPSILON)]
        for run in finished:
            self._remove(run)
            self.served += run.total
        self._update_blocked()
        self._update_rates()
        for run in finished:
            run.done(run)


def water_filling(weight: Any, demand: Any, capacity: float) -> Any:
    """Share capacity by weight as speeds up to 1; capacity unused by those at full speed is redistributed."""
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
