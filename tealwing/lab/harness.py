"""A whole deployment in virtual time: clients, N decision modules, modelled engines and the engine list.

A gateway is any object with the decision module's `handle`; gateways share nothing but the engines. The same seed gives
the same run. The harness records outcomes itself: what a client got and when, never what a module believes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import numpy as np

from tealwing import interface as api
from tealwing.lab import engines
from tealwing.lab.arrivals import Arrivals
from tealwing.lab.clock import Clock

NETWORK_DELAY = 0.0003  # s, one way between any two endpoints
LIST_DELAY = (0.78, 4.9)  # s of delay of the engine list: minimum and maximum (the brief's figures)
RESET_AFTER = 0.001  # s from a crash to the reset of its connections


class Module(Protocol):
    """The decision module of one gateway."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event; returns the actions to take."""


Make = Callable[[api.Settings, int], Module]  # creates a module from settings and a seed


@dataclass(frozen=True, slots=True)
class Clients:
    """The behaviour of clients."""

    retries: int = 1
    wait: tuple[float, float] = (0.1, 0.6)  # s before a retry, at random: minimum and maximum
    heed: float = 0.8  # share of clients that respect the wait that a refusal requests
    patience: tuple[float, float] = (0.8, 1.0)  # share of the deadline that a client waits: minimum and maximum


@dataclass(eq=False, slots=True)
class ClientTry:
    """One try of a client's request at its gateway."""

    request_index: int  # index of the request among the arrivals
    number: int  # of the try, from 0
    gateway: int
    id: int
    end: float  # when the client gives up
    over: bool = False  # whether it was answered, refused, failed or abandoned
    sends: int = 0  # attempts so far
    attempt: Attempt | None = None  # in flight
    priority: int = 1


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt at an engine."""

    client_try: ClientTry
    number: int  # of the attempt within its try, from 0
    engine: engines.Engine
    sent: float
    run: engines.Run | None = None
    ended: bool = False


@dataclass(slots=True)
class RequestOutcomes:
    """The outcome of every request, by its index among the arrivals, and counts of rule violations."""

    answered: Any  # time of the answer 'served', or NaN
    refused: Any  # number of refusals that the client got
    failed: Any  # number of failures
    shed: Any  # number of refusals by a service level
    attempts: Any  # number of attempts
    duplicate_answers: int = 0  # answers to a try that was already over
    overlapping_attempts: int = 0  # attempts sent while another was in flight
    forbidden_sends: int = 0  # sends to engines that are not listed, or after the grace time of a drain
    overloaded: int = 0  # cold engines overloaded by gateways that knew of their start


class Deployment:
    """A deployment: gateways, engines and the clients' requests."""

    def __init__(
        self,
        settings: api.Settings,
        draws: Sequence[engines.EngineParameters],
        arrivals: Arrivals,
        make: Make,
        seed: int,
        clients: Clients | None = None,
    ) -> None:
        self.settings, self.clock, self.arrivals = settings, Clock(), arrivals
        self.clients = clients or Clients()
        self._rng = np.random.default_rng((seed, 1))
        self.engines = {
            i + 1: engines.Engine(i + 1, draw, self.clock, np.random.default_rng((seed, 2, i)))
            for i, draw in enumerate(draws)
        }
        self.kinds = {i + 1: self._kind(draw) for i, draw in enumerate(draws)}
        n = len(arrivals)
        refused, failed, shed, attempts = (np.zeros(n, dtype=np.int32) for _ in range(4))
        self.outcomes = RequestOutcomes(np.full(n, np.nan), refused, failed, shed, attempts)
        self._tries: list[dict[int, ClientTry]] = [{} for _ in range(settings.gateway_count)]
        self._ids = [0] * settings.gateway_count
        self._drained: dict[tuple[int, int], float] = {}  # by gateway and engine, when the drain was announced
        self._started: dict[tuple[int, int], float] = {}  # by gateway and engine, the announced start of the engine
        self._overloaded_before_restart = 0  # engines that were overloaded while cold and have since been restarted
        self._mean_work = [
            float(arrivals.work[arrivals.cls == place].mean()) if (arrivals.cls == place).any() else 0.0
            for place in range(len(settings.classes))
        ]
        # drawn in advance, so that an extra or a missing try does not change the random values of other requests
        self._random_draws = self._rng.random((n, 4))
        self.modules = [make(settings, seed * 1000 + i) for i in range(settings.gateway_count)]
        self._columns = [
            column.tolist()
            for column in (
                arrivals.at,
                arrivals.cls,
                arrivals.account,
                arrivals.gateway,
                arrivals.work,
                arrivals.cost,
                arrivals.group,
                arrivals.need,
                arrivals.io,
            )
        ]

    def _kind(self, parameters: engines.EngineParameters) -> int:
        return next(i for i, kind in enumerate(self.settings.machine_kinds) if kind.cores == parameters.cores)

    def run(self, until: float) -> RequestOutcomes:
        """Run the deployment until a time, with all arrivals before it; returns the outcomes."""
        entries = tuple(self._entry(number, api.Health.READY) for number in self.engines)
        for gateway in range(self.settings.gateway_count):
            self._handle(gateway, api.EngineList(api.EngineListKind.CACHED, 1, entries))
        if len(self.arrivals):
            self.clock.at(self._columns[0][0], self._arrive, 0)
        self.clock.run(until)
        self.outcomes.overloaded = self._overloaded_before_restart + sum(
            engine.knowingly_overloaded for engine in self.engines.values()
        )
        return self.outcomes

    # Faults

    def crash(self, numbers: Sequence[int], at: float, back: float | None) -> None:
        """Crash engines at a time; they restart cold at `back`, or never if it is None."""
        self.clock.at(at, self._crash, tuple(numbers), back)

    def slow(self, numbers: Sequence[int], at: float, until: float, times: float) -> None:
        """Slow engines down by the factor `times` from `at` until `until`."""
        for number in numbers:
            self.clock.at(at, lambda n=number: self.engines[n].set_slowdown(times))
            self.clock.at(until, lambda n=number: self.engines[n].set_slowdown(1.0))

    def drain(self, number: int, at: float) -> None:
        """Start to drain an engine: it must get no new requests."""
        self.clock.at(at, self._publish_health, number, api.Health.DRAINING)

    def _crash(self, numbers: tuple[int, ...], back: float | None) -> None:
        for number in numbers:
            engine = self.engines[number]
            for run in engine.crash():
                self.clock.after(RESET_AFTER, self._ended, run.key, api.AttemptResult.RESET)
            self._publish_health(number, api.Health.GONE)
            if back is not None:
                self.clock.at(back, self._restart, number)

    def _restart(self, number: int) -> None:
        old = self.engines[number]
        self._overloaded_before_restart += old.knowingly_overloaded
        rng = np.random.default_rng((number, int(self.clock.now * 1e3)))
        self.engines[number] = engines.Engine(number, old.parameters, self.clock, rng, self.clock.now)
        self._publish_health(number, api.Health.READY)

    def _publish_health(self, number: int, health: api.Health) -> None:
        """Send an engine's new list entry to each gateway, each with a random delay."""
        entry = self._entry(number, health)
        for gateway in range(self.settings.gateway_count):
            delay = float(self._rng.uniform(*LIST_DELAY))
            self.clock.after(delay, self._deliver_entry, gateway, number, entry)

    def _deliver_entry(self, gateway: int, number: int, entry: api.EngineListEntry) -> None:
        if entry.health is api.Health.READY:
            self._started[gateway, number] = entry.started
            self._drained.pop((gateway, number), None)
        else:
            self._drained.setdefault((gateway, number), self.clock.now)
        self._handle(gateway, api.EngineList(api.EngineListKind.DELTA, 2, (entry,)))

    def _entry(self, number: int, health: api.Health) -> api.EngineListEntry:
        started = self.engines[number].started
        return api.EngineListEntry(number, 0, self.kinds[number], 0, health, 1.0, started)

    # Clients

    def _arrive(self, request_index: int) -> None:
        at = self._columns[0]
        if request_index + 1 < len(at):
            self.clock.at(at[request_index + 1], self._arrive, request_index + 1)
        self._try(request_index, 0)

    def _try(self, request_index: int, number: int) -> None:
        _, cls, account, gateway, _, cost, group, need, _ = (column[request_index] for column in self._columns)
        deadline = self.settings.classes[cls].deadline
        low, high = self.clients.patience
        patience = deadline * (low + (high - low) * float(self._random_draws[request_index, 0]))
        left = self._columns[0][request_index] + deadline - self.clock.now
        ttl = min(patience, left)
        if ttl <= 0:
            return
        self._ids[gateway] += 1
        client_try = ClientTry(request_index, number, gateway, self._ids[gateway], self.clock.now + ttl)
        self._tries[gateway][client_try.id] = client_try
        self.clock.at(client_try.end, self._give_up, client_try)
        request = api.Request(client_try.id, cls, ttl, float(group), cost, 0, account, need, number > 0)
        self._handle(gateway, request)

    def _give_up(self, client_try: ClientTry) -> None:
        if not client_try.over:
            self._close(client_try)
            self.outcomes.failed[client_try.request_index] += 1
            self._handle(client_try.gateway, api.ClientGone(client_try.id))
            if client_try.attempt is not None:
                self._stop(client_try.attempt, api.AttemptResult.CANCELLED)

    def _schedule_retry(self, client_try: ClientTry, wait: float) -> None:
        if client_try.number < self.clients.retries:
            draws = self._random_draws[client_try.request_index]
            low, high = self.clients.wait
            pause = low + (high - low) * float(draws[1])
            if wait and draws[2] < self.clients.heed:
                pause = max(pause, wait)
            self.clock.after(pause, self._try, client_try.request_index, client_try.number + 1)

    def _close(self, client_try: ClientTry) -> None:
        self.outcomes.duplicate_answers += client_try.over
        client_try.over = True

    # Gateways

    def _handle(self, gateway: int, event: api.Event) -> None:
        for action in self.modules[gateway].handle(self.clock.now, event):
            self._act(gateway, action)

    def _act(self, gateway: int, action: api.Action) -> None:
        match action:
            case api.SetTimer(delay, token):
                self.clock.after(delay, self._handle, gateway, api.TimerFired(token))
            case api.Send(id_, engine, timeout):
                self._send(self._tries[gateway][id_], engine, timeout)
            case api.SetResources(id_, priority, _):
                client_try = self._tries[gateway][id_]
                client_try.priority = priority
                if client_try.attempt is not None and client_try.attempt.run is not None:
                    client_try.attempt.engine.tune(client_try.attempt.run, priority)
            case api.CancelAttempt(id_, number):
                attempt = self._tries[gateway][id_].attempt
                if attempt is not None and attempt.number == number:
                    self._stop(attempt, api.AttemptResult.CANCELLED)
            case api.Reject(id_, wait):
                client_try = self._tries[gateway][id_]
                self._close(client_try)
                self.outcomes.refused[client_try.request_index] += 1
                self.outcomes.shed[client_try.request_index] += action.is_load_shedding
                self._schedule_retry(client_try, wait)
                self._forget(client_try)
            case api.Fail(id_):
                client_try = self._tries[gateway][id_]
                self._close(client_try)
                self.outcomes.failed[client_try.request_index] += 1
                self._schedule_retry(client_try, 0.0)
                self._forget(client_try)

    def _send(self, client_try: ClientTry, number: int, timeout: float) -> None:
        outcomes, engine = self.outcomes, self.engines.get(number)
        informed = self._drained.get((client_try.gateway, number))
        outcomes.overlapping_attempts += client_try.attempt is not None
        outcomes.attempts[client_try.request_index] += 1
        if engine is None or (informed is not None and self.clock.now > informed + self.settings.rules.drain_grace):
            outcomes.forbidden_sends += 1
        assert engine is not None
        attempt = client_try.attempt = Attempt(client_try, client_try.sends, engine, self.clock.now)
        client_try.sends += 1
        self.clock.after(NETWORK_DELAY, self._arrive_at_engine, attempt)
        self.clock.at(min(self.clock.now + timeout, client_try.end), self._timed_out, attempt)

    def _arrive_at_engine(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        engine, request_index = attempt.engine, attempt.client_try.request_index
        _, cls, _, _, work, _, group, need, io = (column[request_index] for column in self._columns)
        if not engine.up:
            self._ended(attempt, api.AttemptResult.CONNECT_FAILED)
            return
        engine.count_cold_send(
            self._mean_work[cls], self._started.get((attempt.client_try.gateway, engine.number)) == engine.started
        )
        if not engine.up:
            for run in engine.crash():
                self._ended(run.key, api.AttemptResult.RESET)
            self._ended(attempt, api.AttemptResult.RESET)
            return
        if engine.full():
            self.clock.after(NETWORK_DELAY, self._ended, attempt, api.AttemptResult.FULL)
            return
        kind = self.settings.classes[cls]
        attempt.run = engines.Run(
            attempt,
            cls,
            work,
            kind.threads,
            io,
            group,
            need,
            attempt.client_try.priority,
            kind.locks_tables,
            kind.waits_for_locks,
            self._served,
        )
        engine.start(attempt.run)
        if self.settings.progress_interval > 0:
            self.clock.after(self.settings.progress_interval, self._send_progress, attempt)

    def _send_progress(self, attempt: Attempt) -> None:
        if attempt.ended or attempt.run is None or attempt.run.slot < 0:
            return
        self.clock.after(self.settings.progress_interval, self._send_progress, attempt)
        client_try, run = attempt.client_try, attempt.run
        if run.blocked:
            kind, amount = api.ProgressKind.WAITING, 2.0
        else:
            kind, amount = api.ProgressKind.PROGRESS, attempt.engine.progress(run)
        self._handle(
            client_try.gateway, api.AttemptProgress(client_try.id, attempt.number, attempt.engine.number, kind, amount)
        )

    def _served(self, run: engines.Run) -> None:
        self.clock.after(NETWORK_DELAY, self._ended, run.key, api.AttemptResult.OK)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._stop(attempt, api.AttemptResult.TIMEOUT)

    def _stop(self, attempt: Attempt, result: api.AttemptResult) -> None:
        if attempt.run is not None:
            attempt.engine.stop(attempt.run)
        self._ended(attempt, result)

    def _ended(self, attempt: Attempt, result: api.AttemptResult) -> None:
        """End an attempt with its only outcome; later ones are ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        client_try, engine = attempt.client_try, attempt.engine
        client_try.attempt = None
        served = result is api.AttemptResult.OK and not client_try.over
        if served:
            self._close(client_try)
            self.outcomes.answered[client_try.request_index] = self.clock.now
        report = (
            engine.report() if result in (api.AttemptResult.OK, api.AttemptResult.FULL, api.AttemptResult.ERROR) else ()
        )
        self._handle(
            client_try.gateway,
            api.AttemptOutcome(
                client_try.id,
                attempt.number,
                engine.number,
                result,
                self.clock.now - attempt.sent,
                client_try.over,
                report=report,
            ),
        )
        if client_try.over:
            self._forget(client_try)

    def _forget(self, client_try: ClientTry) -> None:
        if client_try.over and client_try.attempt is None:
            self._tries[client_try.gateway].pop(client_try.id, None)
