"""Open requests across changes of settings: one state of the engines, and each request decided by its own class."""

from __future__ import annotations

import dataclasses
import gc
import itertools
import json
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tealwing import interface as api
from tealwing.coordinator.updates import Member
from tealwing.exchange import SettingsChangedError
from tealwing.gateway.decisions import Decisions
from tealwing.policy import Engine, Gateway
from tealwing.resp.engine_pool import EnginePool
from tests.build import entry, make_settings, request_class
from tests.crowd import LIMITS, CrowdEngine, connect, peak_memory_mb, start_gateway, statement
from tests.peers import LIMIT, SETTINGS

ENGINES = 40
FIRST_ENGINE = 1 << 40  # above the numbers that names of engines give, which have 32 bits
CHANGES = 25
PROCESS_ENGINES = 200  # a fleet before which each version of the settings held some 0.75 MB
PROCESS_CHANGES = 40
HOLD = 20.0  # s that an engine takes for a request, so that all of them are open at once
DEADLINE = 60.0  # s; no deadline passes in a test without a process
ZONES, KINDS = ("a", "b", "c"), (api.MachineKind("big", 8, 16384.0), api.MachineKind("small", 4, 8192.0))


def count_engines() -> int:
    """Count the engines of this test that are in use, or wait for a garbage collection."""
    return sum(type(one) is Engine and one.id >= FIRST_ENGINE for one in gc.get_objects())


def count_modules(versions: list[api.Settings]) -> int:
    """Count the decision modules of these settings that are in use, or wait for a garbage collection."""
    alive = [one for one in gc.get_objects() if type(one) is Gateway]
    return sum(any(one.settings is settings for settings in versions) for one in alive)


@pytest.fixture
def without_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("is_open", [True, False], ids=["open", "idle"])
def test_changes_of_settings_leave_one_state_of_the_engines(without_collections: None, is_open: bool) -> None:
    # Guards against an engine state for each version of the settings: with open requests all were held at once, and
    # without any they waited for a garbage collection. A gateway went over its memory limit (review/8).
    versions = [make_settings(max_attempts=2 + number) for number in range(CHANGES)]
    decisions = Decisions(versions[0], 1, EnginePool(versions[0].limits))
    decisions.submit(api.EngineList(api.EngineListKind.FULL, 1, tuple(entry(FIRST_ENGINE + n) for n in range(ENGINES))))
    requests = []
    for number, changed in enumerate(versions):
        if number:
            decisions.replace_settings(changed)
        call, mailbox = b"%016x" % number, SimpleQueue[Any]()
        requests.append((decisions.register(call, mailbox, changed), call))
        decisions.submit(api.Request(requests[-1][0], 0, DEADLINE))
        if not is_open:
            end_request(decisions, requests[-1][0], mailbox.get_nowait().engine)
            decisions.unregister(*requests[-1])
            decisions.forget(requests[-1][0])
    assert count_engines() == ENGINES
    assert count_modules(versions) == (CHANGES if is_open else 1)


def end_request(decisions: Decisions, number: int, engine: int, attempt: int = 0) -> None:
    decisions.submit(api.AttemptOutcome(number, attempt, engine, api.AttemptResult.OK, 0.1, True))


def test_settings_in_quick_succession_keep_the_process_within_its_memory_limit(tmp_path: Path) -> None:
    # As before, with a real process and the least memory: its open requests were lost with it (review/8).
    engines = [CrowdEngine(HOLD) for _ in range(PROCESS_ENGINES)]
    program = start_gateway(tmp_path, engines)
    held = []
    try:
        address = program.address()
        for number in range(PROCESS_CHANGES):
            held.append(connect(address, statement(number, ttl=round(2e3 * HOLD))))
            allowed = SETTINGS["Allowed"] | {"MaxAttempts": 2 + number % 2}
            settings = SETTINGS | {"Accounts": [], "Allowed": allowed}
            program.reload(json.dumps(program.config | {"settings": settings}))
            program.wait_for("reconfigured")
        until = time.monotonic() + LIMIT
        while sum(len(engine.arrivals) for engine in engines) < PROCESS_CHANGES and time.monotonic() < until:
            time.sleep(0.01)
        assert sum(len(engine.arrivals) for engine in engines) == PROCESS_CHANGES  # all of them are open
        assert peak_memory_mb(program) <= LIMITS["memory_mb"]
        assert program.process.poll() is None
    finally:
        for sock in held:
            sock.close()
        program.end()
        for engine in engines:
            engine.close()


def test_engine_holds_attempts_of_earlier_settings_against_new_requests() -> None:
    # Guards against a new module that takes every engine for idle: its requests went to the engine in use.
    settings = [make_settings(zones=("a",), max_attempts=number) for number in (2, 3)]
    decisions = Decisions(settings[0], 1, EnginePool(settings[0].limits))
    decisions.submit(api.EngineList(api.EngineListKind.FULL, 1, (entry(7),)))
    for number in range(2 * KINDS[0].cores):
        mailbox = SimpleQueue[Any]()
        request = decisions.register(b"%016x" % number, mailbox, settings[0])
        decisions.submit(api.Request(request, 0, DEADLINE))
        assert isinstance(mailbox.get_nowait(), api.Send)
    decisions.submit(api.EngineList(api.EngineListKind.DELTA, 2, (entry(8),)))
    decisions.replace_settings(settings[1])
    for number in range(KINDS[0].cores):
        mailbox = SimpleQueue[Any]()
        request = decisions.register(b"%016x" % (100 + number), mailbox, settings[1])
        decisions.submit(api.Request(request, 0, DEADLINE))
        assert mailbox.get_nowait().engine == 8


@dataclass
class OpenRequest:
    """A request as the test knows it, with each attempt's engine, zone, cell and result (None: in flight)."""

    settings: api.Settings
    cls: api.RequestClass
    call: bytes
    mailbox: SimpleQueue[Any] = field(default_factory=SimpleQueue)
    attempts: list[tuple[int, str, int]] = field(default_factory=list)
    results: list[api.AttemptResult | None] = field(default_factory=list)
    answered: bool = False

    @property
    def may_have_run(self) -> list[tuple[int, str, int]]:
        return [
            attempt for attempt, result in zip(self.attempts, self.results, strict=True) if result not in api.NEVER_RAN
        ]


KEYED = {"idempotency": api.Idempotency.KEYED, "deadline": DEADLINE, "idempotency_window": DEADLINE}
PLACES = [
    (ZONES, KINDS),
    (tuple(reversed(ZONES)), tuple(reversed(KINDS))),
    (("b", "a"), KINDS),
    (("c",), KINDS[1:]),
]
CLASSES = [
    request_class(deadline=DEADLINE),
    request_class(deadline=DEADLINE, idempotency=api.Idempotency.NOT_IDEMPOTENT, threads=3, locks_tables=True),
    request_class(**KEYED),
    request_class(**KEYED, idempotency_scope=api.IdempotencyScope.ZONE, threads=2),
    request_class(**KEYED, idempotency_scope=api.IdempotencyScope.CELL, zones=frozenset({0})),
    request_class(deadline=DEADLINE, machine_kinds=frozenset({0})),
]


class ChangingSettings(RuleBasedStateMachine):
    """Requests, outcomes, engine events and new settings in any order; the rules hold for each request's own class."""

    def __init__(self) -> None:
        super().__init__()
        first = make_settings(zones=ZONES, machine_kinds=KINDS, classes=tuple(CLASSES[:2]))
        self.decisions = Decisions(first, 1, EnginePool(first.limits))
        self.in_use = [first]  # the settings that a request may have been read under, the latest last
        self.numbers, self.list_numbers = itertools.count(1), itertools.count(1)
        self.members: dict[int, Member] = {}
        self.open: dict[int, OpenRequest] = {}
        for number in range(6):
            self.put(number, api.Health.READY, 0.0)

    def put(self, number: int, health: api.Health, started: float) -> None:
        one = entry(number, cell=number % 3 + 3 * (number // 6), health=health, started=started)
        member = Member(f"s-{number}", "", 0, one, ZONES[number % 3], KINDS[number % 2].name)
        unnumbered = dataclasses.replace(member, entry=dataclasses.replace(one, zone=-1, kind=-1))
        self.members[number] = unnumbered
        assert self.decisions.update_engine_list(api.EngineListKind.DELTA, next(self.list_numbers), (unnumbered,))

    @rule(number=st.integers(0, 7), health=st.sampled_from(api.Health), restarts=st.booleans())
    def change_engine(self, number: int, health: api.Health, restarts: bool) -> None:
        started = self.members[number].entry.started if number in self.members else 0.0
        self.put(number, health, started + restarts)

    @rule(
        places=st.integers(0, len(PLACES) - 1),
        first=st.integers(0, len(CLASSES) - 1),
        count=st.integers(1, len(CLASSES)),
        attempts=st.integers(1, 4),
        fields=st.sampled_from([("inflight", "util"), ("queue",)]),
    )
    def change_settings(self, places: int, first: int, count: int, attempts: int, fields: tuple[str, ...]) -> None:
        zones, kinds = PLACES[places]
        classes = CLASSES[first:] + CLASSES[:first]
        changed = make_settings(
            zones=zones,
            machine_kinds=kinds,
            classes=tuple(classes[:count]),
            max_attempts=attempts,
            report_fields=fields,
        )
        self.decisions.replace_settings(changed)
        self.in_use = [*self.in_use[-3:], changed]

    @rule(age=st.integers(1, 4), cls=st.integers(0, len(CLASSES) - 1))
    def open_request(self, age: int, cls: int) -> None:
        settings = self.in_use[-min(age, len(self.in_use))]
        cls %= len(settings.classes)
        call = b"%016x" % next(self.numbers)
        request = OpenRequest(settings, settings.classes[cls], call)
        number = self.decisions.register(call, request.mailbox, settings)
        self.open[number] = request
        self.decisions.submit(api.Request(number, cls, DEADLINE, memory_estimate=100.0))
        self.check(number)

    @precondition(lambda self: self.open)
    @rule(pick=st.integers(0, 100), result=st.sampled_from(api.AttemptResult), reported=st.integers(0, 40))
    def end_attempt(self, pick: int, result: api.AttemptResult, reported: int) -> None:
        number = list(self.open)[pick % len(self.open)]
        request = self.open[number]
        if None not in request.results:
            return
        attempt, ended = len(request.results) - 1, result is api.AttemptResult.OK
        request.results[attempt] = result
        report = (float(reported), 0.5)[: len(request.settings.report_fields)]
        engine = request.attempts[attempt][0]
        self.decisions.submit(
            api.AttemptOutcome(number, attempt, engine, result, 0.1, ended or request.answered, report=report)
        )
        request.answered |= ended
        self.check(number)

    @precondition(lambda self: self.open)
    @rule(pick=st.integers(0, 100))
    def leave(self, pick: int) -> None:
        number = list(self.open)[pick % len(self.open)]
        self.open[number].answered = True
        self.decisions.submit(api.ClientGone(number))
        self.check(number)

    @rule()
    def rebuild(self) -> None:
        self.decisions._on_timers([(0, version) for version in (self.decisions._versions.version, 0, 1)])

    def check(self, number: int) -> None:
        """Check the actions on a request by its own settings, and forget it once it has ended."""
        request = self.open[number]
        while not request.mailbox.empty():
            match request.mailbox.get():
                case api.Send(_, engine, _):
                    self.check_send(request, engine)
                case api.Reject():
                    assert not request.answered
                    request.answered = True
                    discards = request.cls.idempotency_scope is api.IdempotencyScope.ALL
                    is_keyed = request.cls.idempotency is api.Idempotency.KEYED
                    is_safe = request.cls.idempotency is api.Idempotency.IDEMPOTENT or (is_keyed and discards)
                    assert is_safe or not request.may_have_run
                case api.Fail():
                    assert not request.answered
                    request.answered = True
        if request.answered and None not in request.results:
            self.decisions.unregister(number, request.call)
            self.decisions.forget(number)
            del self.open[number]

    def check_send(self, request: OpenRequest, engine: int) -> None:
        settings, cls, member = request.settings, request.cls, self.members[engine]
        kinds = [kind.name for kind in settings.machine_kinds]
        assert not request.answered and None not in request.results
        assert member.entry.health is api.Health.READY
        assert member.zone in settings.zones and member.kind in kinds
        assert cls.zones is None or settings.zones.index(member.zone) in cls.zones
        assert cls.machine_kinds is None or kinds.index(member.kind) in cls.machine_kinds
        assert len(request.attempts) < settings.limits.max_attempts
        for _, zone, cell in request.may_have_run:
            assert cls.idempotency is not api.Idempotency.NOT_IDEMPOTENT
            if cls.idempotency is api.Idempotency.KEYED and cls.idempotency_scope is api.IdempotencyScope.ZONE:
                assert member.zone == zone
            if cls.idempotency is api.Idempotency.KEYED and cls.idempotency_scope is api.IdempotencyScope.CELL:
                assert member.entry.cell == cell
        request.attempts.append((engine, member.zone, member.entry.cell))
        request.results.append(None)

    @invariant()
    def engines_count_the_attempts_in_flight(self) -> None:
        holder = self.decisions._versions.holder
        in_flight = [
            request.attempts[-1][0] for request in self.open.values() if request.results and request.results[-1] is None
        ]
        for engine in holder.engines.values():
            assert 0 <= engine.queries <= in_flight.count(engine.id)
            assert engine.threads >= engine.earlier_threads >= 0 and engine.memory_reserved == 100.0 * engine.queries
            assert engine.queries or not engine.lock_holders

    def teardown(self) -> None:
        for number, request in list(self.open.items()):
            if None in request.results:
                end_request(self.decisions, number, request.attempts[-1][0], len(request.attempts) - 1)
                request.results[-1] = api.AttemptResult.OK
            elif not request.answered:
                self.decisions.submit(api.ClientGone(number))
            self.decisions.unregister(number, request.call)
            self.decisions.forget(number)
        versions = self.decisions._versions
        for engine in versions.holder.engines.values():
            assert (engine.queries, engine.threads, engine.earlier_threads) == (0, 0, 0)
            assert not engine.memory_reserved and not engine.lock_holders
            assert not any(estimate.in_flight for estimate in engine.estimates)
        assert not versions._older and not versions.holder.requests


TestChangingSettings = ChangingSettings.TestCase
TestChangingSettings.settings = hypothesis_settings(max_examples=150, stateful_step_count=40)


def test_request_read_under_settings_replaced_five_times_since_is_rejected() -> None:
    versions = [make_settings(max_attempts=2 + number) for number in range(6)]
    decisions = Decisions(versions[0], 1, EnginePool(versions[0].limits))
    for changed in versions[1:]:
        decisions.replace_settings(changed)
    with pytest.raises(SettingsChangedError):
        decisions.register(b"a" * 16, SimpleQueue(), versions[0])
    assert decisions.register(b"a" * 16, SimpleQueue(), versions[1])  # four changes back, a module is made anew
