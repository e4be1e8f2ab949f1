"""Attempts of open requests: sending, learning from outcomes, and the final answer."""

from __future__ import annotations

from math import inf

from tealwing import interface as api
from tealwing.policy.engines import Engine
from tealwing.policy.placement import Placement
from tealwing.policy.requests import Attempt, RequestState

FULL_BACKOFF = 0.5  # s without new attempts to an engine that answered FULL
CONNECTION_LOSS_WINDOW = 0.1  # s; a lost connection fails all attempts on it, and they count as one failure
RETRY_AFTER_SPREAD = (0.5, 1.0)  # share of the maximum Retry-After, drawn uniformly to spread the retries
STRAGGLER_FACTOR = 3.0  # remaining time over the query's expected latency at which an attempt is cancelled
MIN_PROGRESS = 0.01  # lower bound on a reported share of work done
SILENCE_PERIODS = (1.55, 1.1)  # progress intervals after which a missing first, or further, update is overdue


class Attempts(Placement):
    """The attempts of open requests and their outcomes."""

    def _place(self, state: RequestState, failed: Engine | None = None) -> None:
        if engine := self._choose_engine(state, failed):
            self._send(state, engine)
        else:
            self._finish(state)

    def _send(self, state: RequestState, chosen: Engine) -> None:
        engine = self._attempted(chosen)
        if state.attempts:
            self.retry_times.append(self.now)
        elif state.traffic.priority != api.DEFAULT_PRIORITY:
            self.actions.append(api.SetResources(state.request.id, state.traffic.priority, 0.0))
        state.attempts.append(Attempt(engine, chosen.zone, self.now))
        self._estimate(state, engine).unreported += 1
        self._count_attempt(state, engine, 1)
        if engine.warm_up_progress(self.now) < 1:
            engine.slow_start_sends.append((self.now, state.traffic.mean_work))
        self.actions.append(api.Send(state.request.id, engine.id, state.deadline - self.now))
        if self.settings.limits.cancellation and self.settings.progress_interval > 0:
            self._expect_progress(state, SILENCE_PERIODS[0])

    def handle_outcome(self, event: api.AttemptOutcome) -> None:
        """Handle the end of an attempt: retry, or give the final answer."""
        state = self.requests.get(event.id)
        if state is None or event.attempt >= len(state.attempts) or state.attempts[event.attempt].ended:
            return
        attempt = state.attempts[event.attempt]
        attempt.ended, attempt.may_have_run = True, event.result not in api.NEVER_RAN
        self._record_outcome(state, attempt, event)
        if state.key and event.result in api.MAY_STILL_RUN:
            wait_until = self.now + self.settings.rules.ordering_settle_time
            self.ordering_wait_until[state.key] = max(wait_until, self.ordering_wait_until.get(state.key, 0.0))
        if event.request_ended:
            state.ended = True
        elif not state.ended and not state.in_flight():
            if state.deadline - self.now > state.traffic.usual_latency and not state.is_bad_query():
                self._place(state, attempt.engine)
            else:
                self._finish(state)
        self._release(state)

    def _record_outcome(self, state: RequestState, attempt: Attempt, event: api.AttemptOutcome) -> None:
        """Release an attempt's counts and learn from its outcome, unless its engine has restarted since."""
        engine = attempt.engine.latest()
        self._count_attempt(state, engine, -1)
        if engine is not attempt.engine:
            return
        estimate = self._estimate(state, engine)
        if attempt.report_count == engine.report_count:
            estimate.unreported = max(0, estimate.unreported - 1)
        self.apply_report(engine, event.report)
        if event.result is api.AttemptResult.OK:
            self._record_completion(engine)
            self.answers, engine.outcomes = self.answers + 1, engine.outcomes + 1
            estimate.record_latency(event.elapsed)
            state.traffic.record_answer(event.elapsed, event.cost)
        elif event.result is api.AttemptResult.FULL:
            engine.full_until = self.now + FULL_BACKOFF
        elif event.result is api.AttemptResult.TIMEOUT:
            self._record_loss(state, attempt)
            estimate.record_latency(max(event.elapsed, state.traffic.mean_latency))
        elif event.result in (api.AttemptResult.ERROR, api.AttemptResult.CONNECT_FAILED, api.AttemptResult.RESET):
            attempt.blamed_failures = float(event.result is api.AttemptResult.ERROR)
            if attempt.blamed_failures or self.now > engine.failed_at + CONNECTION_LOSS_WINDOW:
                engine.outcomes, engine.failures = engine.outcomes + 1, engine.failures + 1
            engine.failed_at = self.now
            if state.is_bad_query():
                for other in state.attempts:
                    other.engine.failures = max(0.0, other.engine.failures - other.blamed_failures)

    def _record_loss(self, state: RequestState, attempt: Attempt) -> None:
        """Count a timeout or a client that left.

        With cancellation, which frees the engine, it also counts as an abandonment (theta of the paper), weighted by
        the engine's share of queries above capacity.
        """
        self.answers, self.timeouts = self.answers + 1, self.timeouts + 1
        if self.settings.limits.cancellation:
            state.traffic.losses += self._estimate(state, attempt.engine).overload_share

    def handle_progress(self, event: api.AttemptProgress) -> None:
        """Handle a progress update; cancel a straggler (a bad plan, a slow engine) once."""
        state = self.requests.get(event.id)
        if state is None or state.ended or event.attempt + 1 != len(state.attempts):
            return
        attempt, traffic = state.attempts[event.attempt], state.traffic
        if event.kind is api.ProgressKind.WAITING:
            attempt.progress_due_at = inf  # an attempt that waits sends no updates
            if event.amount == api.WAITING_FOR_LOAD:
                attempt.engine.remote_locks_until[state.request.dataset] = self.now + self.lock_wait
        if event.kind is not api.ProgressKind.PROGRESS or not self.settings.limits.cancellation or attempt.ended:
            return
        self._expect_progress(state, SILENCE_PERIODS[1])
        time_to_finish = (self.now - attempt.sent_at) * (1 / max(event.amount, MIN_PROGRESS) - 1)
        time_left = state.deadline - self.now
        expected = max(traffic.usual_latency, self.slowdown * traffic.best_latency) * max(
            1.0, (state.request.cost or 0.0) / traffic.mean_work
        )
        slow = (
            not event.attempt
            and time_to_finish >= STRAGGLER_FACTOR * expected
            and time_left >= 2 * traffic.usual_latency
        )
        if slow and not self._fleet_index(state.request.cls):
            self._cancel_for_retry(state)  # once, and not if all engines are slow or the query itself is long
        elif time_to_finish > time_left:  # it would use capacity until the deadline and still time out
            self.actions.append(api.CancelAttempt(event.id, event.attempt))
            self._record_loss(state, attempt)
            self._finish(state)

    def _expect_progress(self, state: RequestState, periods: float) -> None:
        """Set a timer for the time at which the last attempt's next progress update is overdue."""
        state.attempts[-1].progress_due_at = self.now + periods * self.settings.progress_interval
        self._set_timer(periods * self.settings.progress_interval, state.request.id << 1 | 1)

    def _cancel_for_retry(self, state: RequestState) -> None:
        """Cancel the last attempt where a retry is allowed; its outcome starts the retry."""
        if (
            state.cls.idempotency is api.Idempotency.IDEMPOTENT
            and len(state.attempts) < self.settings.limits.max_attempts
        ):
            self.actions.append(api.CancelAttempt(state.request.id, len(state.attempts) - 1))

    def _check_silence(self, state: RequestState) -> None:
        """Count the last attempt as failed if its progress update is overdue: its answer or its engine is lost."""
        attempt = state.attempts[-1]
        overdue = not attempt.ended and self.now >= attempt.progress_due_at and state.in_flight() <= 1
        if overdue and state.deadline - self.now > state.traffic.usual_latency:
            attempt.engine.outcomes, attempt.engine.failures = attempt.engine.outcomes + 1, attempt.engine.failures + 1
            self._cancel_for_retry(state)

    def _finish(self, state: RequestState, is_load_shedding: bool = False) -> None:
        """Send the final answer: a rejection where a retry by the client is safe, else a failure."""
        if state.ended:
            return
        state.ended, limits = True, self.settings.limits
        if state.may_reject():
            share = self.random.uniform(*RETRY_AFTER_SPREAD)
            retry_after = limits.max_retry_after * share
            if self.service_level and self.service_level.retry_after_range[1]:
                (low, high), (min_share, max_share) = self.service_level.retry_after_range, RETRY_AFTER_SPREAD
                retry_after = min(
                    low + (high - low) * (share - min_share) / (max_share - min_share), limits.max_retry_after
                )
            self.actions.append(
                api.Reject(state.request.id, retry_after if limits.retry_after else 0.0, is_load_shedding)
            )
            if not self.settings.clients_mark_retries and not state.attempts:
                state.traffic.arrivals -= 1  # a retry arrives as a new request: the arrival rate counts admitted ones
        else:
            self.actions.append(api.Fail(state.request.id))
        self._release(state)

    def _release(self, state: RequestState) -> None:
        """Remove a request that has ended with no attempt in flight; set a timer for the next of its ordering key."""
        if not state.ended or state.in_flight():
            return
        self.requests.pop(state.request.id, None)
        queue = self.ordering_queues.get(state.key)
        while queue and queue[0].ended and not queue[0].in_flight():
            queue.popleft()
        if not queue:
            self.ordering_queues.pop(state.key, None)
        elif not queue[0].attempts:
            self._set_timer(self.ordering_wait_until.get(state.key, 0.0) - self.now, queue[0].request.id << 1 | 1)
