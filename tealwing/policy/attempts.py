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
        elif job.flow.rank != api.USUAL_RANK:
            self.actions.append(api.Tune(job.request.id, job.flow.rank, 0.0))
        job.attempts.append(Attempt(engine, self.now))
        engine.estimates[job.request.cls].unseen += 1
        self._count(job, engine, 1)
        if engine.warmth(self.now) < 1:
            engine.sent.append((self.now, job.flow.work))
        self.actions.append(api.Send(job.request.id, engine.id, job.deadline - self.now))
        if self.settings.limits.cancel and self.settings.notes_every > 0:
            self._expect(job, SILENT[0])

    def _outcome(self, event: api.Outcome) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt >= len(job.attempts) or job.attempts[event.attempt].done:
            return
        attempt = job.attempts[event.attempt]
        attempt.done, attempt.may_have_run = True, event.result not in api.NEVER_RAN
        self._learn(job, attempt, event)
        if job.key and event.result in api.MAY_STILL_RUN:
            rest = self.now + self.settings.rules.order_settle
            self.rests[job.key] = max(rest, self.rests.get(job.key, 0.0))
        if event.over:
            job.over = True
        elif not job.over and not job.out():
            if job.deadline - self.now > job.flow.usual and not job.faulty():
                self._place(job, attempt.engine)
            else:
                self._end(job)
        self._tidy(job)

    def _learn(self, job: Job, attempt: Attempt, event: api.Outcome) -> None:
        """Settle the counts of an attempt; learn from it, unless its engine started anew since."""
        engine = self.engines.get(attempt.engine.id, attempt.engine)
        self._count(job, engine, -1)
        if engine is not attempt.engine:
            return
        estimate = engine.estimates[job.request.cls]
        if attempt.report == engine.reports:
            estimate.unseen = max(0, estimate.unseen - 1)
        self._report(engine, event.report)
        if event.result is api.Result.OK:
            self.pace.done, engine.pace.done = self.pace.done + 1, engine.pace.done + 1
            self.answers, engine.tries = self.answers + 1, engine.tries + 1
            estimate.answered(event.elapsed)
            job.flow.answered(event.elapsed, event.cost)
        elif event.result is api.Result.FULL:
            engine.full_until = self.now + FULL_WAIT
        elif event.result is api.Result.TIMEOUT:
            self._given_up(job, attempt)
            estimate.answered(max(event.elapsed, job.flow.latency))
        elif event.result in (api.Result.ERROR, api.Result.CONNECT_FAILED, api.Result.RESET):
            attempt.blame = float(event.result is api.Result.ERROR)
            if attempt.blame or self.now > engine.lost_at + LOST_ONCE:
                engine.tries, engine.fails = engine.tries + 1, engine.fails + 1
            engine.lost_at = self.now
            if job.faulty():
                for other in job.attempts:
                    other.engine.fails = max(0.0, other.engine.fails - other.blame)

    def _given_up(self, job: Job, attempt: Attempt) -> None:
        """A time-out or a hang-up: a loss past m where it frees the engine, so that theta is a departure."""
        self.answers, self.timeouts = self.answers + 1, self.timeouts + 1
        if self.settings.limits.cancel:
            job.flow.lost += attempt.engine.estimates[job.request.cls].past

    def _note(self, event: api.Note) -> None:
        """Word of an attempt. One far below the usual pace (a bad plan, a slow engine) is dropped once."""
        job = self.jobs.get(event.id)
        if job is None or job.over or event.attempt + 1 != len(job.attempts):
            return
        attempt, flow = job.attempts[event.attempt], job.flow
        if event.kind is api.NoteKind.WAITS:
            attempt.due = inf  # no notes are promised while it waits
            if event.amount == api.FOR_A_LOAD:
                attempt.engine.held[job.request.dataset] = self.now + self.rest
        if event.kind is not api.NoteKind.PROGRESS or not self.settings.limits.cancel or attempt.done:
            return
        self._expect(job, SILENT[1])
        to_go = (self.now - attempt.sent) * (1 / max(event.amount, PROGRESS_FLOOR) - 1)
        left = job.deadline - self.now
        expected = max(flow.usual, self.slow * flow.best) * max(1.0, (job.request.cost or 0.0) / flow.work)
        slow = not event.attempt and to_go >= STRAGGLER * expected and left >= 2 * flow.usual
        if slow and not self._fleet_index(job.request.cls):
            self._drop(job)  # once, and not where all are slow or the query is long by itself
        elif to_go > left:  # it would only fill the engine, and jam it for others, until its time is out
            self.actions.append(api.Cancel(event.id, event.attempt))
            self._given_up(job, attempt)
            self._end(job)

    def _expect(self, job: Job, periods: float) -> None:
        """Be woken when the last attempt's next note is overdue."""
        job.attempts[-1].due = self.now + periods * self.settings.notes_every
        self._timer(periods * self.settings.notes_every, job.request.id << 1 | 1)

    def _drop(self, job: Job) -> None:
        """Cancel the last attempt where another may follow; its outcome leads on."""
        if job.cls.effect is api.Effect.SAFE and len(job.attempts) < self.settings.limits.max_attempts:
            self.actions.append(api.Cancel(job.request.id, len(job.attempts) - 1))

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
            if self.reduced and self.reduced.pushback[1]:
                (low, high), (least, most) = self.reduced.pushback, RETRY_SPREAD
                wait = min(low + (high - low) * (lot - least) / (most - least), limits.max_retry_after)
            self.actions.append(api.Refuse(job.request.id, wait if limits.retry_after else 0.0, shed))
            if not self.settings.marks_retry and not job.attempts:
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
