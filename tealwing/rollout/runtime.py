"""The shell round a gateway's machine and the leader's duties: the threads, the log, the disk and the gate.

The gate closes on the replica's own thread as an entry is applied, before anybody is told. All that may wait is done
elsewhere: the disk, checks and putting in force on one thread, words to the log on a second, reads on a third.
"""

from __future__ import annotations

import threading
import time
import traceback
from dataclasses import replace
from pathlib import Path
from typing import Any

from tealwing import log, threads
from tealwing.peers.link import Link
from tealwing.replica import commands as c
from tealwing.replica.node import Replica
from tealwing.rollout import status
from tealwing.rollout.admission import gate
from tealwing.rollout.admission.gate_control import GateControl, RulesAdapter
from tealwing.rollout.agent.actions import (
    HOLD_MARKER,
    Action,
    CheckBundle,
    PersistMarker,
    ReadIndex,
    Restart,
    SubmitCommand,
)
from tealwing.rollout.agent.machine import Machine
from tealwing.rollout.effects import executor
from tealwing.rollout.effects.log_client import LogClient
from tealwing.rollout.effects.persisted_marker import PersistedMarker
from tealwing.rollout.federation_log import FederationLog
from tealwing.rollout.leader.duties import LeaderDuties
from tealwing.rollout.observed_state import ObservedState, observe
from tealwing.rollout.plan import Plan
from tealwing.rules import records
from tealwing.rules.check import BUILD

TICK = 0.02  # s between two looks at the clock while a change, a lapse or a start is under way
IDLE_TICK = 0.25  # s between them else: what comes wakes the thread, and half of a resting member's time was ticks
IDLE_SHARE = 0.05  # of a permit, where that is less: it is renewed in time
MAX_STEPS = 3  # looks in a row at most: what was done may be what the next step waits for
FAULT_PAUSE = 0.1  # s before the next turn
UNREADY_AFTER = 1.0  # s of waiting for an outcome after which the gateway says that it is not ready


class Runtime:
    """One gateway's part in changes of the rules."""

    def __init__(
        self,
        plan: Plan,
        replica: Replica,
        link: Link,
        rules: RulesAdapter,
        gate_: gate.Gate,
        federation: FederationLog | None = None,
    ) -> None:
        """Before the replica starts. OSError where the mark can't be read for another reason than damage.

        outside: the federation, where the site is part of one.
        """
        self.plan, self._replica, self._rules, self.federation = plan, replica, rules, federation
        self.name, self._clock = link.plan.name, replica.clock
        self._observed = observe(replica.state, self.name)  # set on the replica's thread alone
        marker = PersistedMarker(Path(replica.plan.folder), replica.disk)
        me = self._observed.members.get(self.name)
        self._machine = Machine(
            self.name, plan.partition_mode, max(int(time.time() * 1e3), me.start + 1 if me else 0), plan.permit,
            marker=executor.read_marker(marker), build=BUILD, seed=replica.start_number, disk=self._observed.view,
            sabotage=frozenset({plan.sabotage} - {""}), federated=federation is not None,
            disk_federated=federation.state.view if federation is not None else None, peers=len(link.plan.members),
        )  # fmt: skip
        self._lock = threading.Lock()  # round the machine, the witness and what steers the gate
        self._wake, self._stopped = threading.Event(), threading.Event()
        other = federation.replica if federation is not None else None
        self._log_client = LogClient(
            self._machine, self._clock, replica, self._lock, self._wake.set, other, plan.permit
        )
        self._leader_duties = LeaderDuties(plan, replica, link)
        self.gate_control = GateControl(gate_, plan.partition_mode)
        self._executor = executor.EffectExecutor(
            self._machine, marker, rules, self.gate_control, self._lock, self._follow
        )
        self._fault = ""  # of the last turn
        self._due: list[Action] = []  # what the machine wants and nobody does yet
        self.outcomes = status.RolloutStatus(self._observed)
        replica.watch(self._applied)
        replica.on_installed(self._installed)
        replica.on_led(self._leadership_changed)
        if federation is not None:
            federation.on_change(self.notice)

    # Start and end

    def begin(self) -> None:
        """Put in force what the disk says, and set the gate by it: before any client is taken."""
        with self._lock:
            self._step()
        self._executor.activate(lambda: self._observed)

    def start(self) -> None:
        """Take part from now on; threads.NoThread where the system has none."""
        self._log_client.start()
        threads.start(self._run, "rules")

    def stop(self) -> None:
        """Take part no more; the gate stays as it is, and a permit runs out."""
        self._stopped.set()
        self._wake.set()
        self._log_client.stop()

    # For others

    def notice(self) -> None:
        """What the gate depends on has moved elsewhere; quick, from any thread."""
        with self._lock:
            self._step()
        self._wake.set()

    @property
    def observed(self) -> ObservedState:
        """The registry as it is applied here."""
        return self._observed

    @property
    def gate(self) -> gate.Gate:
        """What requests pass."""
        return self.gate_control.gate

    @property
    def rules(self) -> RulesAdapter:
        """What versions are to this gateway."""
        return self._rules

    def readiness(self) -> str:
        """Why clients should not be sent here; empty where they may be."""
        mode, reason = self.gate_control.current()
        if mode == "shut" or mode == "closed" and self.gate_control.closed_for > UNREADY_AFTER:
            return reason
        return self.gate_control.gate.denial_reason

    def status(self) -> dict[str, Any]:
        """What operators ask for."""
        with self._lock:
            now = self._clock.now()
            self._follow()
            marker, start = self._machine.marker, self._machine.start
            (mode, reason), target = self.gate_control.current(), self.gate_control.followed
        holds = self.plan.partition_mode == "hold"
        left = max(0.0, target.until - now) if target is not None and target.mode != "shut" else 0.0
        return self.outcomes.status(self._observed) | {
            "name": self.name,
            "lost_touch": self.plan.partition_mode,
            "start": start,
            "in_force": self.gate_control.in_force,
            "gate": {"mode": mode, "closing": target.closing if target is not None else 0, "reason": reason},
            "permit_left_s": round(left, 3) if holds else None,
            "mark": "held" if marker == HOLD_MARKER else marker,
            "figures": status.gate_metrics(self.gate_control.gate.metrics()),
            "broken": self._replica.broken,
            "leads": self._leader_duties.is_leader,
            "refusal": self._log_client.last_rejection,
            "federation": self.federation.status() if self.federation is not None else None,
        }

    # The replica's thread: quick, and it waits for nobody but our own quick looks

    def _applied(self, index: int, command: c.Command | None, result: c.CommandResult | None) -> None:
        body = command.body if command is not None else None
        if not isinstance(body, records.Body):
            me = replace(self._observed.view, index=index)
            self._observed = replace(self._observed, index=index, view=me)
            return
        self._observed = observe(self._replica.state, self.name)
        with self._lock:
            self._step()
            self._leader_duties.applied(self._clock.now(), index, body, result is not None and result.ok)
        self.outcomes.update(self._observed)
        self._wake.set()

    def _installed(self) -> None:
        self._observed = observe(self._replica.state, self.name)
        self.notice()
        self.outcomes.update(self._observed)

    def _leadership_changed(self, leads: bool) -> None:
        self._leader_duties.is_leader = leads
        self._wake.set()

    # Under the lock

    def _step(self) -> None:
        """Have the machine look at the state, and the gate follow it."""
        now = self._clock.now()
        federated = self.federation.state.view if self.federation is not None else None
        self._due += [
            action for action in self._machine.step(now, self._observed.view, federated) if action not in self._due
        ]
        self._follow()

    def _follow(self) -> None:
        self.gate_control.follow(self._machine.gate_state(self._clock.now()), self._observed.phase)

    # Our thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(self._clock.real(self._tick()))
            self._wake.clear()
            try:
                self._run_once()
                self._fault = ""
            except Exception:  # what holds holds by the gate; the machine asks again for what was not done
                trace = traceback.format_exc(limit=-4)
                if trace != self._fault:
                    log.event("rules_fault", trace=trace)
                self._fault = trace
                self._stopped.wait(FAULT_PAUSE)

    def _tick(self) -> float:
        """Seconds until the next look at the clock, unless something wakes us before."""
        is_idle = self._observed.view.in_flight is None and self.gate_control.is_open and not self._due
        if not is_idle or self._leader_duties.is_waiting:
            return TICK
        return max(TICK, min(IDLE_TICK, IDLE_SHARE * self.plan.permit))

    def _run_once(self) -> None:
        for _ in range(MAX_STEPS):
            self._executor.activate(lambda: self._observed)
            with self._lock:
                self._step()
                due, self._due = self._due, []
            if not due:
                break
            for action in due:
                self._execute(action)
        self._executor.update_affected(self._observed)
        with self._lock:
            confirmations = self._leader_duties.due_confirmations(self._clock.now(), self._observed)
        for confirmation in confirmations:
            self._log_client.submit(SubmitCommand(confirmation))
        self._leader_duties.propose_next(self._clock.now(), self._observed)

    def _execute(self, action: Action) -> None:
        match action:
            case PersistMarker(number):
                self._executor.persist_marker(number)
            case SubmitCommand():
                self._log_client.submit(action)
            case CheckBundle(number):
                self._executor.check(self._observed, number)
            case ReadIndex():
                self._log_client.read(action)
            case Restart(start):
                log.event("rules_member_restarted", start=start)
