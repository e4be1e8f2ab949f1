"""What follows from each event; its records are those of tealwing/interface.py."""

from __future__ import annotations

from tealwing import interface as api
from tealwing.policy.attempts import Attempts
from tealwing.policy.engines import Job
from tealwing.policy.rates import LEARN, REBUILD

LOT_DIGITS = 65536.0  # past which a lot's digits decide on admission: other choices read those before


class Gateway(Attempts):
    """The decisions of one gateway: handle(now, event) gives the actions, in order."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self.now, self.actions = now, []
        if not self.begun:
            self.begun = True
            self._timer(REBUILD, 0)
            if self.settings.polls_discovery:
                self.actions.append(api.Subscribe(True))
        match event:
            case api.Request():
                self._arrive(event)
            case api.AttemptOutcome():
                self._outcome(event)
            case api.TimerFired(token=0):
                self._rebuild()
            case api.TimerFired(token=token):
                self._wake(token >> 1)
            case api.EngineList(kind=api.EngineListKind.FAILED):
                self.actions.append(api.Subscribe(True))
            case api.EngineList():
                self._list(event)
            case api.ClientGone():
                self._hung_up(event.id)
            case api.AttemptProgress():
                self._note(event)
            case api.ServiceLevel():
                self.reduced = None if event.is_full_service else event
            case api.EngineHealthEstimates():
                for engine in self.engines.values():
                    engine.doubt = event.latency_factors.get((engine.id, round(engine.started * 1e3)), 1.0)
                    engine.view_until = now
            case _ if not isinstance(event, api.StreamStarted | api.PeerMessage | api.HealthCheckResult):
                raise TypeError(f"not an event: {event!r}")
        return self.actions

    def _arrive(self, request: api.Request) -> None:
        flow = self.flows[request.cls]
        job = self.jobs[request.id] = Job(request, flow, self.now, self.random.random())
        self.arrived += 1
        if self.settings.rules.retry_budget_floor is not None:
            self.taken.append(self.now)
        if not (self.settings.clients_mark_retries and request.is_client_retry):
            flow.came += 1  # a refused query that returns must not swell lam
        if request.cost:
            self.costs, self.costed = self.costs + request.cost, self.costed + 1
            flow.hints, length = min(flow.hints + 1, 2 / LEARN), request.cost / flow.cls.threads
            flow.work += (request.cost - flow.work) / flow.hints
            flow.held, self.needs = flow.held + length, self.needs + length * request.memory_estimate
        if not self._admitted(job):
            self._end(job, shed=True)
            return
        if job.key:
            self.lines[job.key].append(job)
            if len(self.lines[job.key]) * flow.usual > request.time_remaining + flow.cls.latency_objective:
                self._end(job)  # its turn would come too late
            elif not self._in_turn(job):
                self._timer(job.deadline - self.margin - self.now, request.id << 1 | 1)
                self._timer(self.rests.get(job.key, 0.0) - self.now, request.id << 1 | 1)
        if not job.over and self._in_turn(job):
            self._place(job)

    def _admitted(self, job: Job) -> bool:
        """Whether the service level lets a new request in: a lot, of digits that no other choice reads."""
        chances = self.reduced.admission_probability[job.request.cls] if self.reduced else (1.0,)
        return job.lot * LOT_DIGITS % 1.0 < chances[min(job.request.tenant, len(chances) - 1)]

    def _hung_up(self, id_: int) -> None:
        job = self.jobs.get(id_)
        if job is not None and not job.over:
            job.over = True
            for number, attempt in enumerate(job.attempts):
                if not attempt.done:
                    self._given_up(job, attempt)
                    if self.settings.limits.cancellation:
                        self.actions.append(api.CancelAttempt(id_, number))
            self._tidy(job)

    def _wake(self, id_: int) -> None:
        """A job's time: its attempt may have gone silent; or it is held, and this is its turn or its end."""
        job = self.jobs.get(id_)
        if job is None or job.over:
            return
        if job.out():
            self._silent(job)
        elif self.now >= job.deadline - self.margin:
            self._end(job)
        elif not job.attempts and self._in_turn(job):
            self._place(job)
