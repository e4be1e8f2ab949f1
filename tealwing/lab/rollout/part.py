"""One gateway's part in rollouts: the work of the threads of rollout/runtime.py, effects/ and leader/, as tasks."""

from __future__ import annotations

from collections import deque
from typing import Any

from tealwing.lab.rollout.copies import StateSnapshot
from tealwing.lab.rollout.gate import SimulatedGate
from tealwing.lab.rollout.logs import Log
from tealwing.lab.rollout.tasks import Signal, Step, Task
from tealwing.replica import commands as c
from tealwing.rollout.agent.actions import Action, CheckBundle, PersistMarker, ReadIndex, SubmitCommand
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.effects.log_client import FORWARDED, MAX_QUEUED, READ_TIMEOUT, SUBMIT_TIMEOUT
from tealwing.rollout.leader.coordinator import RolloutCoordinator
from tealwing.rollout.leader.duties import EXPEDITED
from tealwing.rollout.leader.expiry_observer import ExpiryObserver
from tealwing.rollout.plan import Plan
from tealwing.rollout.runtime import MAX_STEPS, TICK
from tealwing.rules.records import Body

START = 1_800_000_000_000  # ms since the epoch: the start number of every member


class SimulatedMember:
    """One gateway's state machine and its tasks: runtime, publisher and the ReadIndex requests of each log."""

    def __init__(
        self, plan: Plan, log: Log, gate: SimulatedGate, seed: int, federation: Log | None = None, site: str = ""
    ) -> None:
        """Take part in the rollouts of a log; `federation` is the federation's log if the site is in a federation."""
        self.log, self.gate, self._federation, self._site = log, gate, federation, site
        self.host, self._clock = log.host, log.host.network.clock
        number = log.core.incarnation
        self.machine = Machine(
            log.host.name, plan.partition_mode, START, plan.permit, seed=number, federated=federation is not None,
            sabotage=frozenset({plan.sabotage} - {""}), peers=len(log.core.members) + len(log.core.learners),
        )  # fmt: skip
        self._coordinator = RolloutCoordinator(log.host.name, plan.limit, plan.patience, seed=number)
        self._expiry_observer = ExpiryObserver(log.host.name, seed=number)
        self.snapshot: StateSnapshot = log.snapshot
        self._due: list[Action] = []
        self._in_force = 0
        self.wake = Signal(self._clock)
        self._messages: deque[Body] = deque()
        self._published = Signal(self._clock)
        self._read_requested = {False: Signal(self._clock), True: Signal(self._clock)}
        log.applied.append(self._applied)
        log.led.append(lambda leads: self.wake.set())
        if federation is not None:
            federation.applied.append(lambda snapshot: self._on_federation_state(snapshot))
        Task(self._clock, self._run())
        Task(self._clock, self._run_publisher())
        Task(self._clock, self._run_reads(False))
        if federation is not None:
            Task(self._clock, self._run_reads(True))

    # On the log's thread

    def _applied(self, snapshot: StateSnapshot) -> None:
        self.snapshot = snapshot
        if snapshot.command is None:
            return
        body = snapshot.command.body
        self._step_machine()
        if self.log.leads and snapshot.result is not None and snapshot.result.ok and isinstance(body, EXPEDITED):
            self.log.flush_commit()
        if isinstance(body, Body):
            self._expiry_observer.applied(self._clock.now, snapshot.index, body)
        self.wake.set()

    def _on_federation_state(self, snapshot: StateSnapshot) -> None:
        if snapshot.command is not None:
            self._step_machine()
            self.wake.set()

    def _step_machine(self) -> None:
        now = self._clock.now
        fed = self._federation.snapshot.view(self._site) if self._federation is not None else None
        found = self.machine.step(now, self.snapshot.view(self.host.name), fed)
        self._due += [action for action in found if action not in self._due]
        self._update_gate()

    def _update_gate(self) -> None:
        target = self.machine.gate_state(self._clock.now)
        if target.mode == "shut":
            self.gate.close(by_change=False)
        elif target.number != self._in_force or target.mode == "closed":
            self.gate.close(by_change=True)
        else:
            self.gate.open(target.number, target.until)

    # The runtime's thread

    def _run(self) -> Step:
        while True:
            yield self.wake, TICK
            if self.host.free > self._clock.now:  # another thread of the process is running
                yield self.host.free - self._clock.now
            self.wake.clear()
            yield from self._run_actions()

    def _run_actions(self) -> Step:
        for _ in range(MAX_STEPS):
            target = self.machine.gate_state(self._clock.now).number
            if target != self._in_force:
                yield from self.host.use(self.host.network.costs.enforce)
                self._in_force = target
                self._update_gate()
            self._step_machine()
            due, self._due = self._due, []
            if not due:
                break
            for action in due:
                yield from self._perform(action)
        for confirmation in self._expiry_observer.due(self._clock.now, self.snapshot.tables):
            self._publish(confirmation)
        self._coordinator.set_leading(self._clock.now, self.log.leads)
        if self.log.leads:
            silent = self.host.network.silent(self.host.name) if self.snapshot.plain.in_flight is not None else ()
            members = self.snapshot.tables["rule_members"]
            for body in self._coordinator.step(
                self._clock.now, self.snapshot.tables, [n for n in silent if n in members]
            ):
                self.log.propose_if_leader(body)

    def _perform(self, action: Action) -> Step:
        network = self.host.network
        match action:
            case PersistMarker(number):
                yield network.costs.disk(network.random) + network.costs.disk(network.random)  # the file and its folder
                self.machine.marker_written(number)
            case CheckBundle(number):
                yield from self.host.use(network.costs.check)
                self.machine.checked(number, True)
            case SubmitCommand(body):
                self._publish(body)
            case ReadIndex(federation):
                self._read_requested[federation].set()

    # The threads of the log's clients

    def _publish(self, body: Body) -> None:
        if isinstance(body, FORWARDED):
            self.log.forward(body)
        elif body not in self._messages and len(self._messages) < MAX_QUEUED:
            self._messages.append(body)
            self._published.set()

    def _run_publisher(self) -> Step:
        while True:
            if not self._messages:
                self._published.clear()
                yield self._published, None
            body: Any = self._messages.popleft()
            yield from self.log.write(c.Command("", 0, body), SUBMIT_TIMEOUT)
            self.wake.set()

    def _run_reads(self, federation: bool) -> Step:
        log = self._federation if federation and self._federation is not None else self.log
        while True:
            yield self._read_requested[federation], None
            self._read_requested[federation].clear()
            token = self.machine.read_sent(self._clock.now, federation)
            index = yield from log.read_index(READ_TIMEOUT)
            if index is None:
                self.machine.read_failed(self._clock.now, token)
            else:
                self.machine.read_completed(self._clock.now, token, index)
                self.wake.set()
