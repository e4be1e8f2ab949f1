"""State per open request, and per attempt of it."""

from __future__ import annotations

from math import inf

from tealwing import interface as api
from tealwing.policy.engines import Engine
from tealwing.policy.rates import ClassTraffic

BAD_QUERY_ENGINES = 2  # engines that fail the same query before the query is blamed, not the engines


class Attempt:
    """One attempt of a request."""

    def __init__(self, engine: Engine, zone: int, sent_at: float) -> None:
        self.engine = engine
        self.zone = zone  # of the engine, by the settings of the request
        self.sent_at = sent_at
        self.report_count = engine.report_count  # the engine's number of load reports at the send
        self.progress_due_at = inf  # time from which its next progress update is overdue
        self.ended = False
        self.may_have_run = True
        self.blamed_failures = 0.0  # failures counted against its engine for an ERROR


class RequestState:
    """The state of a request, from its arrival until it has ended and no attempt is in flight."""

    def __init__(self, request: api.Request, traffic: ClassTraffic, now: float, sampling_key: float) -> None:
        self.request = request
        self.traffic = traffic
        self.cls = traffic.cls
        self.deadline = now + request.time_remaining
        self.key = request.key if traffic.cls.ordered else 0  # 0: no ordering
        self.ended = False
        self.attempts = list[Attempt]()
        self.sampling_key = sampling_key  # uniform in [0, 1): keeps random decisions the same for one request

    def in_flight(self) -> int:
        """Return the number of attempts without an outcome."""
        return sum(not attempt.ended for attempt in self.attempts)

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that may have had an effect."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def is_bad_query(self) -> bool:
        """Whether so many engines answered with errors that the query itself must be at fault."""
        return len({attempt.engine.id for attempt in self.attempts if attempt.blamed_failures}) >= BAD_QUERY_ENGINES

    def may_reject(self) -> bool:
        """Whether a rejection is allowed: no attempt had an effect that a client's retry could double."""
        discarded = (
            self.cls.idempotency is api.Idempotency.KEYED and self.cls.idempotency_scope is api.IdempotencyScope.ALL
        )
        return discarded or self.cls.idempotency is api.Idempotency.IDEMPOTENT or not self.possibly_executed()
