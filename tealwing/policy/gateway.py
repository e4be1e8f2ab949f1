"""What follows from each event; its records are those of tealwing/interface.py."""

from __future__ import annotations

from tealwing import interface as api
from tealwing.policy.attempts import Attempts
from tealwing.policy.engines import RequestState
from tealwing.policy.rates import ANSWER_WEIGHT, REBUILD_INTERVAL

ADMISSION_KEY_SCALE = 65536.0  # past which a lot's digits decide on admission: other choices read those before


class Gateway(Attempts):
    """The decisions of one gateway: handle(now, event) gives the actions, in order."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self.now, self.actions = now, []
        if not self.is_started:
            self.is_started = True
            self._set_timer(REBUILD_INTERVAL, 0)
            if self.settings.polls_discovery:
                self.actions.append(api.Subscribe(True))
        match event:
            case api.Request():
                self._handle_request(event)
            case api.AttemptOutcome():
                self._handle_outcome(event)
            case api.TimerFired(token=0):
                self._rebuild()
            case api.TimerFired(token=token):
                self._handle_timer(token >> 1)
            case api.EngineList(kind=api.EngineListKind.FAILED):
                self.actions.append(api.Subscribe(True))
            case api.EngineList():
                self._apply_engine_list(event)
            case api.ClientGone():
                self._handle_client_gone(event.id)
            case api.AttemptProgress():
                self._handle_progress(event)
            case api.ServiceLevel():
                self.service_level = None if event.is_full_service else event
            case api.EngineHealthEstimates():
                for engine in self.engines.values():
                    engine.latency_factor = event.latency_factors.get((engine.id, round(engine.started * 1e3)), 1.0)
                    engine.indices_valid_until = now
            case _ if not isinstance(event, api.StreamStarted | api.PeerMessage | api.HealthCheckResult):
                raise TypeError(f"not an event: {event!r}")
        return self.actions

    def _handle_request(self, request: api.Request) -> None:
        traffic = self.class_traffic[request.cls]
        state = self.requests[request.id] = RequestState(request, traffic, self.now, self.random.random())
        self.arrivals += 1
        if self.settings.rules.retry_budget_floor is not None:
            self.request_times.append(self.now)
        if not (self.settings.clients_mark_retries and request.is_client_retry):
            traffic.arrivals += 1  # a refused query that returns must not swell lam
        if request.cost:
            self.cost_sum, self.cost_count = self.cost_sum + request.cost, self.cost_count + 1
            traffic.estimates = min(traffic.estimates + 1, 2 / ANSWER_WEIGHT)
            length = request.cost / traffic.cls.threads
            traffic.mean_work += (request.cost - traffic.mean_work) / traffic.estimates
            traffic.estimated_time = traffic.estimated_time + length
            self.memory_time = self.memory_time + length * request.memory_estimate
        if not self._is_admitted(state):
            self._finish(state, shed=True)
            return
        if state.key:
            self.ordering_queues[state.key].append(state)
            if (
                len(self.ordering_queues[state.key]) * traffic.usual_latency
                > request.time_remaining + traffic.cls.latency_objective
            ):
                self._finish(state)  # its turn would come too late
            elif not self._is_in_order(state):
                self._set_timer(state.deadline - self.deadline_margin - self.now, request.id << 1 | 1)
                self._set_timer(self.ordering_wait_until.get(state.key, 0.0) - self.now, request.id << 1 | 1)
        if not state.ended and self._is_in_order(state):
            self._place(state)

    def _is_admitted(self, state: RequestState) -> bool:
        """Whether the service level lets a new request in: a lot, of digits that no other choice reads."""
        chances = self.service_level.admission_probability[state.request.cls] if self.service_level else (1.0,)
        return state.sampling_key * ADMISSION_KEY_SCALE % 1.0 < chances[min(state.request.tenant, len(chances) - 1)]

    def _handle_client_gone(self, id_: int) -> None:
        state = self.requests.get(id_)
        if state is not None and not state.ended:
            state.ended = True
            for number, attempt in enumerate(state.attempts):
                if not attempt.ended:
                    self._record_loss(state, attempt)
                    if self.settings.limits.cancellation:
                        self.actions.append(api.CancelAttempt(id_, number))
            self._release(state)

    def _handle_timer(self, id_: int) -> None:
        """A state's time: its attempt may have gone silent; or it is held, and this is its turn or its end."""
        state = self.requests.get(id_)
        if state is None or state.ended:
            return
        if state.in_flight():
            self._check_silence(state)
        elif self.now >= state.deadline - self.deadline_margin:
            self._finish(state)
        elif not state.attempts and self._is_in_order(state):
            self._place(state)
