"""The entry point of the decision module: one handler per type of event in `tealwing.interface`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

from tealwing import interface as api
from tealwing.policy.attempts import Attempts
from tealwing.policy.rates import ANSWER_WEIGHT, REBUILD_INTERVAL
from tealwing.policy.requests import RequestState

ADMISSION_KEY_SCALE = 65536.0  # admission uses the sampling key's lower digits, independent of other decisions


class Gateway(Attempts):
    """The decision module of one gateway; the package's docstring lists the state of each base class."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event at time `now` (s) and return the actions in order; raise TypeError for another type."""
        self.now, self.actions = now, []
        self._follow_holder()
        if not self.is_started:
            self.is_started = True
            self._set_timer(REBUILD_INTERVAL, 0)
            if self.settings.polls_discovery:
                self.actions.append(api.Subscribe(True))
        handler = self._HANDLERS.get(type(event))
        if handler is None:
            raise TypeError(f"expected an event of tealwing.interface, got {event!r}")
        handler(self, event)
        return self.actions

    def _handle_engine_list(self, event: api.EngineList) -> None:
        if event.kind is api.EngineListKind.FAILED:
            self.actions.append(api.Subscribe(True))
        elif self.source is None:
            self._apply_engine_list(event)

    def _handle_service_level(self, event: api.ServiceLevel) -> None:
        self.service_level = None if event.is_full_service else event

    def _handle_health_estimates(self, event: api.EngineHealthEstimates) -> None:
        for engine in self.engines.values():
            engine.latency_factor = event.latency_factors.get((engine.id, round(engine.started * 1e3)), 1.0)
            engine.indices_valid_until = self.now

    def _ignore(self, event: api.Event) -> None:
        """Ignore an event that no decision depends on."""

    def _handle_request(self, request: api.Request) -> None:
        traffic = self.class_traffic[request.cls]
        state = self.requests[request.id] = RequestState(request, traffic, self.now, self.random.random())
        self.arrivals += 1
        if self.settings.rules.retry_budget_floor is not None:
            self.request_times.append(self.now)
        if not (self.settings.clients_mark_retries and request.is_client_retry):
            traffic.arrivals += 1  # a marked retry must not raise the arrival rate
        if request.cost:
            self.cost_sum, self.cost_count = self.cost_sum + request.cost, self.cost_count + 1
            traffic.estimates = min(traffic.estimates + 1, 2 / ANSWER_WEIGHT)
            run_time = request.cost / traffic.cls.threads
            traffic.mean_work += (request.cost - traffic.mean_work) / traffic.estimates
            traffic.estimated_time = traffic.estimated_time + run_time
            self.memory_time = self.memory_time + run_time * request.memory_estimate
        if not self._is_admitted(state):
            self._finish(state, is_load_shedding=True)
            return
        if state.key:
            self.ordering_queues[state.key].append(state)
            if (
                len(self.ordering_queues[state.key]) * traffic.usual_latency
                > request.time_remaining + traffic.cls.latency_objective
            ):
                self._finish(state)  # its turn in the ordering queue would come too late
            elif not self._is_in_order(state):
                self._set_timer(state.deadline - self.deadline_margin - self.now, request.id << 1 | 1)
                self._set_timer(self.ordering_wait_until.get(state.key, 0.0) - self.now, request.id << 1 | 1)
        if not state.ended and self._is_in_order(state):
            self._place(state)

    def _is_admitted(self, state: RequestState) -> bool:
        """Whether the service level admits a new request, by its sampling key."""
        chances = self.service_level.admission_probability[state.request.cls] if self.service_level else (1.0,)
        return state.sampling_key * ADMISSION_KEY_SCALE % 1.0 < chances[min(state.request.tenant, len(chances) - 1)]

    def _handle_client_gone(self, event: api.ClientGone) -> None:
        state = self.requests.get(event.id)
        if state is not None and not state.ended:
            state.ended = True
            for number, attempt in enumerate(state.attempts):
                if not attempt.ended:
                    self._record_loss(state, attempt)
                    if self.settings.limits.cancellation:
                        self.actions.append(api.CancelAttempt(event.id, number))
            self._release(state)

    def _handle_timer(self, event: api.TimerFired) -> None:
        """Handle a timer by its token: 0 is the rebuild's, `request.id << 1 | 1` is that of a request."""
        if event.token == 0:
            self._rebuild()
        else:
            self._resume(event.token >> 1)

    def _resume(self, id_: int) -> None:
        """Handle a request's timer: check for overdue progress, or place or finish a request in an ordering queue."""
        state = self.requests.get(id_)
        if state is None or state.ended:
            return
        if state.in_flight():
            self._check_silence(state)
        elif self.now >= state.deadline - self.deadline_margin:
            self._finish(state)
        elif not state.attempts and self._is_in_order(state):
            self._place(state)

    # by type of event; not bound to a module, which would then stay until a garbage collection
    _HANDLERS: ClassVar[dict[type, Callable[[Gateway, Any], None]]] = {
        api.Request: _handle_request,
        api.AttemptOutcome: Attempts.handle_outcome,
        api.TimerFired: _handle_timer,
        api.EngineList: _handle_engine_list,
        api.ClientGone: _handle_client_gone,
        api.AttemptProgress: Attempts.handle_progress,
        api.ServiceLevel: _handle_service_level,
        api.EngineHealthEstimates: _handle_health_estimates,
        api.StreamStarted: _ignore,
        api.PeerMessage: _ignore,
        api.HealthCheckResult: _ignore,
    }
