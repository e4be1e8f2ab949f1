"""The attempts of open requests: sends, what their outcomes teach, and the final answer."""

from __future__ import annotations

from math import inf

from tealwing import interface as api
from tealwing.policy.engines import Attempt, Engine, Job
from tealwing.policy.placement import Placement

FULL_WAIT = 0.5  # s for which a full engine counts as holding n
LOST_ONCE = 0.1  # s in which lost attempts count as one failure: one connection takes all on it along
RETRY_SPREAD = (0.5, 1.0)  # of the longest retry-after, at random: returns are spread
STRAGGLER = 3.0  # time that an attempt has to go, over the class's usual latency, at which it is dropped
PROGRESS_FLOOR = 0.01  # least share done that a note is read as
SILENT = (1.55, 1.1)  # note periods without a first or a further note that mean a lost answer


class Attempts(Placement):
    """What becomes of open requests."""

    def _place(self, job: Job, failed: Engine | None = None) -> None:
        if engine := self._choose(job, failed):
            self._send(job, engine)
        else:
            self._end(job)

    def _send(self, job: Job, engine: Engine) -> None:
        if job.attempts:
            self.extra.append(self.now)
        elif job.flow.rank != api.DEFAULT_PRIORITY:
            self.actions.append(api.SetResources(job.request.id, job.flow.rank, 0.0))
        job.attempts.append(Attempt(engine, self.now))
        engine.estimates[job.request.cls].unseen += 1
        self._count(job, engine, 1)
        if engine.warmth(self.now) < 1:
            engine.sent.append((self.now, job.flow.work))
        self.actions.append(api.Send(job.request.id, engine.id, job.deadline - self.now))
        if self.settings.limits.cancellation and self.settings.progress_interval > 0:
            self._expect(job, SILENT[0])

    def _outcome(self, event: api.AttemptOutcome) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt >= len(job.attempts) or job.attempts[event.attempt].done:
            return
        attempt = job.attempts[event.attempt]
        attempt.done, attempt.may_have_run = True, event.result not in api.NEVER_RAN
        self._learn(job, attempt, event)
        if job.key and event.result in api.MAY_STILL_RUN:
            rest = self.now + self.settings.rules.ordering_settle_time
            self.rests[job.key] = max(rest, self.rests.get(job.key, 0.0))
        if event.request_ended:
            job.over = True
        elif not job.over and not job.out():
            if job.deadline - self.now > job.flow.usual and not job.faulty():
                self._place(job, attempt.engine)
            else:
                self._end(job)
        self._tidy(job)

    def _learn(self, job: Job, attempt: Attempt, event: api.AttemptOutcome) -> None:
        """Settle the counts of an attempt; learn from it, unless its engine started anew since."""
        engine = self.engines.get(attempt.engine.id, attempt.engine)
        self._count(job, engine, -1)
        if engine is not attempt.engine:
            return
        estimate = engine.estimates[job.request.cls]
        if attempt.report == engine.reports:
            estimate.unseen = max(0, estimate.unseen - 1)
        self._report(engine, event.report)
        if event.result is api.AttemptResult.OK:
            self.pace.done, engine.pace.done = self.pace.done + 1, engine.pace.done + 1
            self.answers, engine.tries = self.answers + 1, engine.tries + 1
            estimate.answered(event.elapsed)
            job.flow.answered(event.elapsed, event.cost)
        elif event.result is api.AttemptResult.FULL:
            engine.full_until = self.now + FULL_WAIT
        elif event.result is api.AttemptResult.TIMEOUT:
            self._given_up(job, attempt)
            estimate.answered(max(event.elapsed, job.flow.latency))
        elif event.result in (api.AttemptResult.ERROR, api.AttemptResult.CONNECT_FAILED, api.AttemptResult.RESET):
            attempt.blame = float(event.result is api.AttemptResult.ERROR)
            if attempt.blame or self.now > engine.lost_at + LOST_ONCE:
                engine.tries, engine.fails = engine.tries + 1, engine.fails + 1
            engine.lost_at = self.now
            if job.faulty():
                for other in job.attempts:
                    other.engine.fails = max(0.0, other.engine.fails - other.blame)

    def _given_up(self, job: Job, attempt: Attempt) -> None:
        """A time-out or a hang-up: a loss past m where it frees the engine, so that theta is a departure."""
        self.answers, self.timeouts = self.answers + 1, self.timeouts + 1
        if self.settings.limits.cancellation:
            job.flow.lost += attempt.engine.estimates[job.request.cls].past

    def _note(self, event: api.AttemptProgress) -> None:
        """Word of an attempt. One far below the usual pace (a bad plan, a slow engine) is dropped once."""
        job = self.jobs.get(event.id)
        if job is None or job.over or event.attempt + 1 != len(job.attempts):
            return
        attempt, flow = job.attempts[event.attempt], job.flow
        if event.kind is api.ProgressKind.WAITING:
            attempt.due = inf  # no notes are promised while it waits
            if event.amount == api.WAITING_FOR_LOAD:
                attempt.engine.held[job.request.dataset] = self.now + self.rest
        if event.kind is not api.ProgressKind.PROGRESS or not self.settings.limits.cancellation or attempt.done:
            return
        self._expect(job, SILENT[1])
        to_go = (self.now - attempt.sent) * (1 / max(event.amount, PROGRESS_FLOOR) - 1)
        left = job.deadline - self.now
        expected = max(flow.usual, self.slow * flow.best) * max(1.0, (job.request.cost or 0.0) / flow.work)
        slow = not event.attempt and to_go >= STRAGGLER * expected and left >= 2 * flow.usual
        if slow and not self._fleet_index(job.request.cls):
            self._drop(job)  # once, and not where all are slow or the query is long by itself
        elif to_go > left:  # it would only fill the engine, and jam it for others, until its time is out
            self.actions.append(api.CancelAttempt(event.id, event.attempt))
            self._given_up(job, attempt)
            self._end(job)

    def _expect(self, job: Job, periods: float) -> None:
        """Be woken when the last attempt's next note is overdue."""
        job.attempts[-1].due = self.now + periods * self.settings.progress_interval
        self._timer(periods * self.settings.progress_interval, job.request.id << 1 | 1)

    def _drop(self, job: Job) -> None:
        """Cancel the last attempt where another may follow; its outcome leads on."""
        if job.cls.idempotency is api.Idempotency.IDEMPOTENT and len(job.attempts) < self.settings.limits.max_attempts:
            self.actions.append(api.CancelAttempt(job.request.id, len(job.attempts) - 1))

    def _silent(self, job: Job) -> None:
        """An attempt without the notes that are due is not running: its answer is lost, or its engine."""
        attempt = job.attempts[-1]
        overdue = not attempt.done and self.now >= attempt.due and job.out() <= 1
        if overdue and job.deadline - self.now > job.flow.usual:
            attempt.engine.tries, attempt.engine.fails = attempt.engine.tries + 1, attempt.engine.fails + 1
            self._drop(job)

    def _end(self, job: Job, shed: bool = False) -> None:
        """The final answer at once: a refusal where the effect rule lets it be one, else a failure."""
        if job.over:
            return
        job.over, limits = True, self.settings.limits
        if job.refusable():
            lot = self.random.uniform(*RETRY_SPREAD)
            wait = limits.max_retry_after * lot
            if self.reduced and self.reduced.retry_after_range[1]:
                (low, high), (least, most) = self.reduced.retry_after_range, RETRY_SPREAD
                wait = min(low + (high - low) * (lot - least) / (most - least), limits.max_retry_after)
            self.actions.append(api.Reject(job.request.id, wait if limits.retry_after else 0.0, shed))
            if not self.settings.clients_mark_retries and not job.attempts:
                job.flow.came -= 1  # it may come back as new: lam counts what is let in
        else:
            self.actions.append(api.Fail(job.request.id))
        self._tidy(job)

    def _tidy(self, job: Job) -> None:
        """Forget a job that is over with nothing out, and give its key's turn on."""
        if not job.over or job.out():
            return
        self.jobs.pop(job.request.id, None)
        line = self.lines.get(job.key)
        while line and line[0].over and not line[0].out():
            line.popleft()
        if not line:
            self.lines.pop(job.key, None)
        elif not line[0].attempts:
            self._timer(self.rests.get(job.key, 0.0) - self.now, line[0].request.id << 1 | 1)
