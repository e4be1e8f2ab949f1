"""One gateway's part in changes, as rollout/shell.py, talk.py, leading.py and steering.py have it on threads."""

from __future__ import annotations

from collections import deque
from typing import Any

from tealwing.lab.rollout.copies import Shot
from tealwing.lab.rollout.door import Door
from tealwing.lab.rollout.logs import Log
from tealwing.lab.rollout.tasks import Signal, Step, Task
from tealwing.replica import commands as c
from tealwing.rollout.actions import Action, Check, Read, Say, WriteMark
from tealwing.rollout.conductor import Conductor
from tealwing.rollout.errands import MOST
from tealwing.rollout.leading import HURRY
from tealwing.rollout.member import Machine
from tealwing.rollout.plan import Plan
from tealwing.rollout.shell import STEPS, TICK
from tealwing.rollout.talk import PASSED, READ_WAIT, SAY_WAIT
from tealwing.rollout.witnesses import Witnesses
from tealwing.rules.records import Body

START = 1_800_000_000_000


class Part:
    """The machine with its threads: rules, words, reads of each log."""

    def __init__(self, plan: Plan, log: Log, door: Door, seed: int, outside: Log | None = None, site: str = "") -> None:
        """outside is the federation's log, where this gateway's site takes part in one."""
        self.log, self.door, self._outside, self._site = log, door, outside, site
        self.host, self._clock = log.host, log.host.wires.clock
        number = log.core.incarnation
        self.machine = Machine(
            log.host.name, plan.lost_touch, START, plan.permit, seed=number, federated=outside is not None,
            sabotage=frozenset({plan.sabotage} - {""}), peers=len(log.core.members) + len(log.core.learners),
        )  # fmt: skip
        self._conductor = Conductor(log.host.name, plan.limit, plan.patience, seed=number)
        self._witnesses = Witnesses(log.host.name, seed=number)
        self.shot: Shot = log.shot
        self._due: list[Action] = []
        self._in_force = 0
        self.wake = Signal(self._clock)
        self._words: deque[Body] = deque()
        self._said = Signal(self._clock)
        self._wants = {False: Signal(self._clock), True: Signal(self._clock)}
        log.applied.append(self._applied)
        log.led.append(lambda leads: self.wake.set())
        if outside is not None:
            outside.applied.append(lambda shot: self._look_outside(shot))
        Task(self._clock, self._run())
        Task(self._clock, self._speak())
        Task(self._clock, self._read(False))
        if outside is not None:
            Task(self._clock, self._read(True))

    # On the log's thread

    def _applied(self, shot: Shot) -> None:
        self.shot = shot
        if shot.command is None:
            return
        body = shot.command.body
        self._look()
        if self.log.leads and shot.result is not None and shot.result.ok and isinstance(body, HURRY):
            self.log.hurry()
        if isinstance(body, Body):
            self._witnesses.applied(self._clock.now, shot.index, body)
        self.wake.set()

    def _look_outside(self, shot: Shot) -> None:
        if shot.command is not None:
            self._look()
            self.wake.set()

    def _look(self) -> None:
        now = self._clock.now
        fed = self._outside.shot.view(self._site) if self._outside is not None else None
        found = self.machine.look(now, self.shot.view(self.host.name), fed)
        self._due += [action for action in found if action not in self._due]
        self._follow()

    def _follow(self) -> None:
        wanted = self.machine.gate(self._clock.now)
        if wanted.mode == "shut":
            self.door.close(by_change=False)
        elif wanted.number != self._in_force or wanted.mode == "closed":
            self.door.close(by_change=True)
        else:
            self.door.open(wanted.number, wanted.until)

    # The thread of the rules

    def _run(self) -> Step:
        while True:
            yield self.wake, TICK
            if self.host.free > self._clock.now:  # another thread runs
                yield self.host.free - self._clock.now
            self.wake.clear()
            yield from self._turn()

    def _turn(self) -> Step:
        for _ in range(STEPS):
            wanted = self.machine.gate(self._clock.now).number
            if wanted != self._in_force:
                yield from self.host.use(self.host.wires.costs.enforce)
                self._in_force = wanted
                self._follow()
            self._look()
            due, self._due = self._due, []
            if not due:
                break
            for action in due:
                yield from self._do(action)
        for witness in self._witnesses.due(self._clock.now, self.shot.tables):
            self._say(witness)
        self._conductor.lead(self._clock.now, self.log.leads)
        if self.log.leads:
            silent = self.host.wires.silent(self.host.name) if self.shot.plain.flight is not None else ()
            members = self.shot.tables["rule_members"]
            for body in self._conductor.look(self._clock.now, self.shot.tables, [n for n in silent if n in members]):
                self.log.propose_here(body)

    def _do(self, action: Action) -> Step:
        wires = self.host.wires
        match action:
            case WriteMark(number):
                yield wires.costs.disk(wires.random) + wires.costs.disk(wires.random)  # the file, and its folder
                self.machine.marked(number)
            case Check(number):
                yield from self.host.use(wires.costs.check)
                self.machine.checked(number, True)
            case Say(body):
                self._say(body)
            case Read(federation):
                self._wants[federation].set()

    # The threads that talk

    def _say(self, body: Body) -> None:
        if isinstance(body, PASSED):
            self.log.pass_on(body)
        elif body not in self._words and len(self._words) < MOST:
            self._words.append(body)
            self._said.set()

    def _speak(self) -> Step:
        while True:
            if not self._words:
                self._said.clear()
                yield self._said, None
            body: Any = self._words.popleft()
            yield from self.log.write(c.Command("", 0, body), SAY_WAIT)
            self.wake.set()

    def _read(self, federation: bool) -> Step:
        log = self._outside if federation and self._outside is not None else self.log
        while True:
            yield self._wants[federation], None
            self._wants[federation].clear()
            token = self.machine.read_sent(self._clock.now, federation)
            index = yield from log.read_index(READ_WAIT)
            if index is None:
                self.machine.read_failed(self._clock.now, token)
            else:
                self.machine.read_done(self._clock.now, token, index)
                self.wake.set()
