"""Random event sequences under random valid settings; an independent checker verifies the rules of sending."""

from __future__ import annotations

import dataclasses
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tealwing import interface as api
from tealwing.policy import Gateway
from tests.build import entry, make_settings, request_class

NEVER_RAN = {api.AttemptResult.FULL, api.AttemptResult.CONNECT_FAILED, api.AttemptResult.NOT_SENT}
MAY_STILL_RUN = {api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED}


@dataclasses.dataclass
class Sent:
    """An attempt that the gateway sent, with the time of its send, its timeout and its result."""

    engine: int
    at: float
    until: float
    result: api.AttemptResult | None = None


class RuleChecker:
    """Tracks one gateway's events and actions independently, and fails an assertion when a rule is broken."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings, self.now = settings, 0.0
        self.engines: dict[int, api.EngineListEntry] = {}
        self.unavailable_since: dict[int, float] = {}
        self.requests: dict[int, api.Request] = {}
        self.deadline: dict[int, float] = {}
        self.answers: dict[int, str] = {}
        self.sent: dict[int, list[Sent]] = {}
        self.arrival_order: list[int] = []
        self.arrival_times: list[float] = []
        self.retry_times: list[float] = []
        self.ordering_wait_until: dict[int, float] = {}
        self.timers: list[tuple[float, int]] = []
        self.slow_start_sends: dict[int, list[float]] = {}

    def observe_event(self, event: api.Event) -> None:
        """Record an event before the gateway handles it."""
        if isinstance(event, api.EngineList):
            if event.kind is not api.EngineListKind.DELTA:
                self.unavailable_since |= {
                    e: self.now for e in self.engines if e not in {x.engine for x in event.entries}
                }
            for item in event.entries:
                self.engines[item.engine] = item
                if item.health is api.Health.READY:
                    self.unavailable_since.pop(item.engine, None)
                else:
                    self.unavailable_since.setdefault(item.engine, self.now)
        elif isinstance(event, api.Request):
            self.requests[event.id] = event
            self.deadline[event.id] = self.now + event.time_remaining
            self.arrival_order.append(event.id)
            self.arrival_times.append(self.now)
            self.sent[event.id] = []
        elif isinstance(event, api.ClientGone):
            self.answers.setdefault(event.id, "gone")
        elif isinstance(event, api.AttemptOutcome):
            attempt = self.sent[event.id][event.attempt]
            attempt.result = event.result
            if event.request_ended:
                self.answers.setdefault(event.id, "served")
            key = self.requests[event.id].key
            if event.result in MAY_STILL_RUN and key and self.cls(event.id).ordered:
                self.ordering_wait_until[key] = max(
                    self.ordering_wait_until.get(key, 0.0), self.now + self.settings.rules.ordering_settle_time
                )

    def cls(self, id_: int) -> api.RequestClass:
        return self.settings.classes[self.requests[id_].cls]

    def check_actions(self, actions: list[api.Action]) -> None:
        """Check the gateway's actions against the rules and record them."""
        for action in actions:
            if isinstance(action, api.Reject | api.Fail):
                latest = self.deadline[action.id] + self.settings.rules.answer_slack
                assert self.now <= latest, "answered after the client's deadline"
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            elif isinstance(action, api.Send):
                self.check_send(action)
            elif isinstance(action, api.Reject):
                assert action.id not in self.answers, "answered twice"
                possibly_executed = [a for a in self.sent[action.id] if a.result not in NEVER_RAN]
                cls = self.cls(action.id)
                if possibly_executed:
                    assert cls.idempotency is not api.Idempotency.NOT_IDEMPOTENT
                    assert (
                        cls.idempotency is api.Idempotency.IDEMPOTENT
                        or cls.idempotency_scope is api.IdempotencyScope.ALL
                    )
                self.answers[action.id] = "rejected"
            elif isinstance(action, api.Fail):
                assert action.id not in self.answers, "answered twice"
                self.answers[action.id] = "failed"
            elif isinstance(action, api.CancelAttempt):
                assert self.settings.limits.cancellation and action.attempt < len(self.sent[action.id])

    def check_send(self, send: api.Send) -> None:
        """Check one send against every rule and record the attempt."""
        s, cls, earlier, now = self.settings, self.cls(send.id), self.sent[send.id], self.now
        assert send.id not in self.answers, "sent after its answer"
        assert now < self.deadline[send.id]
        assert send.engine in self.engines and send.engine not in self.unavailable_since, (
            "sent to an engine that is not ready"
        )
        assert len(earlier) < s.limits.max_attempts
        assert s.limits.hedging or all(a.result for a in earlier), "a second attempt is in flight without hedging"
        target = self.engines[send.engine]
        assert cls.zones is None or target.zone in cls.zones
        assert cls.machine_kinds is None or target.kind in cls.machine_kinds
        possibly_executed = [a for a in earlier if a.result not in NEVER_RAN]
        if possibly_executed and cls.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            raise AssertionError("an unsafe request may run twice")
        if possibly_executed and cls.idempotency is api.Idempotency.KEYED:
            assert now <= possibly_executed[0].at + cls.idempotency_window
            for attempt in possibly_executed:
                first = self.engines[attempt.engine]
                assert cls.idempotency_scope is not api.IdempotencyScope.ZONE or first.zone == target.zone
                assert cls.idempotency_scope is not api.IdempotencyScope.CELL or first.cell == target.cell
        key = self.requests[send.id].key
        if cls.ordered and key and not earlier:
            for other in self.arrival_order[: self.arrival_order.index(send.id)]:
                if self.requests[other].key == key and self.cls(other).ordered:
                    assert other in self.answers and all(a.result for a in self.sent[other]), (
                        "sent before an earlier request of its key has ended"
                    )
            assert now >= self.ordering_wait_until.get(key, 0.0) - 1e-9, (
                "sent before the settle time of its key has passed"
            )
        if earlier and s.rules.retry_budget_floor is not None:
            self.retry_times.append(now)
            since = now - s.rules.retry_budget_window
            arrivals = sum(t > since for t in self.arrival_times)
            assert (
                sum(t > since for t in self.retry_times)
                <= s.rules.retry_budget_floor + s.rules.retry_budget_share * arrivals
            )
        if target.started > 0 and now < target.started + s.rules.slow_start_time:
            times = self.slow_start_sends.setdefault(send.engine, [])
            times.append(now)
            # a test request takes 0.1 s or more of one thread; capacity is 85% of the cores
            load = 0.1 * sum(t > now - s.rules.overload_time for t in times)
            cores = s.machine_kinds[target.kind].cores
            begun = max(0.0, now - s.rules.overload_time - target.started)
            warm_up = s.rules.slow_start_share + (1 - s.rules.slow_start_share) * begun / s.rules.slow_start_time
            assert load <= (
                s.rules.overload_multiple * warm_up * 0.85 * cores * s.rules.overload_time / s.gateway_count
            ), "the slow-start budget is exceeded"
        earlier.append(Sent(send.engine, now, now + min(send.timeout, self.deadline[send.id] - now)))


@st.composite
def legal_settings(draw: st.DrawFn) -> api.Settings:
    """Draw settings that the gateway must accept."""
    classes = tuple(
        request_class(
            idempotency=draw(st.sampled_from(api.Idempotency)),
            idempotency_scope=draw(st.sampled_from(api.IdempotencyScope)),
            ordered=draw(st.booleans()),
            threads=draw(st.sampled_from([1, 4])),
            idempotency_window=draw(st.sampled_from([0.5, 5.0])),
            priority_weight=draw(st.sampled_from([0.0, 1.0, 7.0])),
            zones=draw(st.sampled_from([None, frozenset({1}), frozenset[int]()])),
            machine_kinds=draw(st.sampled_from([None, frozenset({0})])),
        )
        for _ in range(draw(st.integers(1, 3)))
    )
    return make_settings(
        classes=classes,
        gateway_count=draw(st.integers(1, 4)),
        cancellation=draw(st.booleans()),
        hedging=draw(st.booleans()),
        max_attempts=draw(st.integers(1, 5)),
        report_fields=draw(st.sampled_from([(), ("inflight",), ("util", "queue", "x1", "x0")])),
        retry_budget_floor=draw(st.sampled_from([None, 0.0, 2.0])),
        retry_budget_share=0.2,
        retry_budget_window=2.0,
        polls_discovery=draw(st.booleans()),
        clients_mark_retries=draw(st.booleans()),
        heeds_memory_grants=draw(st.booleans()),
        heeds_priorities=draw(st.booleans()),
        progress_interval=draw(st.sampled_from([0.0, 1.0])),
        reports_cost=draw(st.booleans()),
        ordering_settle_time=draw(st.sampled_from([0.0, 1.0])),
    )


def run_events(
    given_settings: api.Settings, seed: int, steps: list[tuple[int, int, float]]
) -> tuple[RuleChecker, list[list[api.Action]]]:
    """Feed the drawn steps to a gateway as valid events, then let all requests end; return checker and actions."""
    gateway, checker = Gateway(given_settings, seed), RuleChecker(given_settings)
    log: list[list[api.Action]] = []

    def handle(event: api.Event) -> None:
        checker.observe_event(event)
        actions = gateway.handle(checker.now, event)
        checker.check_actions(actions)
        log.append(actions)

    def advance_to(to: float) -> None:
        while True:
            due: list[tuple[float, int, int, int | None]] = [(t, 0, token, None) for t, token in checker.timers]
            due += [
                (a.until, 1, id_, n)
                for id_, attempts in checker.sent.items()
                for n, a in enumerate(attempts)
                if a.result is None
            ]
            due = [d for d in due if d[0] <= to]
            if not due:
                break
            at, is_timeout, number, place = min(due, key=lambda d: d[:3])
            checker.now = max(checker.now, at)
            if not is_timeout:
                checker.timers.remove((at, number))
                handle(api.TimerFired(number))
            else:
                assert place is not None
                attempt = checker.sent[number][place]
                handle(
                    api.AttemptOutcome(number, place, attempt.engine, api.AttemptResult.TIMEOUT, at - attempt.at, False)
                )
        checker.now = max(checker.now, to)

    handle(
        api.EngineList(
            api.EngineListKind.CACHED,
            1,
            tuple(entry(i, zone=i % 2, kind=i // 2 % 2, cell=i % 2 * 10 + i // 3) for i in range(4)),
        )
    )
    for number, (choice, pick, amount) in enumerate(steps):
        advance_to(checker.now + amount * 0.3)
        out = [(i, n) for i, attempts in checker.sent.items() for n, a in enumerate(attempts) if a.result is None]
        if choice <= 3:
            handle(
                api.Request(
                    number,
                    pick % len(given_settings.classes),
                    0.2 + 4 * amount,
                    key=pick % 3,
                    is_client_retry=pick % 5 == 0,
                )
            )
        elif choice <= 6 and out:
            id_, place = out[pick % len(out)]
            attempt = checker.sent[id_][place]
            result = list(api.AttemptResult)[pick % 8] if choice > 4 else api.AttemptResult.OK
            elapsed = max(0.1, checker.now - attempt.at)
            values = tuple(1.5 * amount for _ in given_settings.report_fields)
            handle(
                api.AttemptOutcome(
                    id_,
                    place,
                    attempt.engine,
                    result,
                    elapsed,
                    result is api.AttemptResult.OK or id_ in checker.answers,
                    report=values,
                )
            )
        elif choice == 7:
            started = checker.now if pick % 3 == 0 else 0.0
            item = entry(
                pick % 5,
                zone=pick % 5 % 2,
                kind=pick % 5 // 2 % 2,
                cell=pick % 5 % 2 * 10 + pick % 5 // 3,
                health=list(api.Health)[pick % 3] if not started else api.Health.READY,
                started=started,
            )
            kind = api.EngineListKind.DELTA if pick % 7 else api.EngineListKind.FULL
            handle(api.EngineList(kind, 2 + number, (item,)))
        elif choice == 8 and checker.requests:
            handle(api.ClientGone(list(checker.requests)[pick % len(checker.requests)]))
        elif choice == 9 and out:
            id_, place = out[pick % len(out)]
            handle(
                api.AttemptProgress(
                    id_, place, checker.sent[id_][place].engine, list(api.ProgressKind)[pick % 3], amount
                )
            )
    advance_to(checker.now + 12.0)
    return checker, log


steps_drawn = st.lists(st.tuples(st.integers(0, 9), st.integers(0, 1000), st.floats(0.0, 1.0)), max_size=60)


@settings(max_examples=300)
@given(given_settings=legal_settings(), seed=st.integers(0, 99), steps=steps_drawn)
def test_rules_hold_and_every_request_has_one_answer(
    given_settings: api.Settings, seed: int, steps: list[tuple[int, int, float]]
) -> None:
    checker, _ = run_events(given_settings, seed, steps)
    assert set(checker.answers) >= set(checker.requests)


@settings(max_examples=30)
@given(given_settings=legal_settings(), seed=st.integers(0, 99), steps=steps_drawn)
def test_same_events_give_same_actions(
    given_settings: api.Settings, seed: int, steps: list[tuple[int, int, float]]
) -> None:
    assert run_events(given_settings, seed, steps)[1] == run_events(given_settings, seed, steps)[1]


def test_rule_checker_detects_send_to_draining_engine() -> None:
    checker = RuleChecker(make_settings())
    checker.observe_event(api.EngineList(api.EngineListKind.FULL, 1, (entry(1, health=api.Health.DRAINING),)))
    checker.observe_event(api.Request(1, 0, 1.0))
    wrong: Any = None
    try:
        checker.check_actions([api.Send(1, 1, 1.0)])
    except AssertionError as error:
        wrong = error
    assert wrong is not None
