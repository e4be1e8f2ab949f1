"""Runtime around the state machine and the leader's duties: threads, log, disk and gate.

The gate closes on the replica's thread as a Close is applied, before the close is reported. Blocking work runs on other
threads: disk, checks and activation on one, commands to the log on a second, reads on a third.
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
from tealwing.replica.service.node import Replica
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
from tealwing.rollout.leader.duties import LeaderDuties
from tealwing.rollout.observed_state import FederationLog, ObservedState, observe
from tealwing.rollout.plan import Plan
from tealwing.rules import records
from tealwing.rules.check import BUILD

TICK = 0.02  # s between steps while a change, an expiry or a start is in progress
IDLE_TICK = 0.25  # s between steps otherwise; events wake the thread
IDLE_SHARE = 0.05  # of a permit's duration, if that is shorter, so that the permit is renewed in time
MAX_STEPS = 3  # in one run of the thread: the effects of a step may enable the next
FAULT_PAUSE = 0.1  # s after a fault of the thread
UNREADY_AFTER = 1.0  # s for which the gate is closed before readiness fails


class Runtime:
    """One gateway's part in rollouts."""

    def __init__(
        self,
        plan: Plan,
        replica: Replica,
        link: Link,
        rules: RulesAdapter,
        gate_: gate.Gate,
        federation: FederationLog | None = None,
    ) -> None:
        """Create the runtime before the replica starts; federation is the log of the site's federation, if it has one.

        Raises OSError if the marker can't be read; a damaged one counts as HOLD_MARKER.
        """
        self.plan, self._replica, self._rules, self.federation = plan, replica, rules, federation
        self.name, self._clock = link.plan.name, replica.clock
        self._observed = observe(replica.state, self.name)  # set only on the replica's thread
        marker = PersistedMarker(Path(replica.plan.directory), replica.disk)
        registered = self._observed.members.get(self.name)
        self._machine = Machine(
            self.name, plan.partition_mode, max(int(time.time() * 1e3), registered.start + 1 if registered else 0),
            plan.permit,
            marker=executor.read_marker(marker), build=BUILD, seed=replica.incarnation, disk=self._observed.view,
            sabotage=frozenset({plan.sabotage} - {""}), federated=federation is not None,
            disk_federated=federation.state.view if federation is not None else None, peers=len(link.plan.members),
        )  # fmt: skip
        self._lock = threading.Lock()  # guards the machine, the leader's duties and the gate control
        self._wake, self._stopped = threading.Event(), threading.Event()
        federation_replica = federation.replica if federation is not None else None
        self._log_client = LogClient(
            self._machine, self._clock, replica, self._lock, self._wake.set, federation_replica, plan.permit
        )
        self._leader_duties = LeaderDuties(plan, replica, link)
        self.gate_control = GateControl(gate_, plan.partition_mode)
        self._executor = executor.EffectExecutor(
            self._machine, marker, rules, self.gate_control, self._lock, self._update_gate
        )
        self._fault = ""  # trace of the thread's last run; empty if it succeeded
        self._due: list[Action] = []  # actions requested and not yet executed
        self.outcomes = status.RolloutStatus(self._observed)
        replica.on_applied(self._applied)
        replica.on_state_replaced(self._installed)
        replica.on_leadership(self._leadership_changed)
        if federation is not None:
            federation.on_change(self.step_and_wake)

    # Start and stop

    def begin(self) -> None:
        """Activate the version on disk and set the gate, before any client is accepted."""
        with self._lock:
            self._step()
        self._executor.activate(lambda: self._observed)

    def start(self) -> None:
        """Start the threads. Raises threads.ThreadUnavailableError if the system has none."""
        self._log_client.start()
        threads.start(self._run, "rules")

    def stop(self) -> None:
        """Stop the threads; the gate keeps its state until the permit expires."""
        self._stopped.set()
        self._wake.set()
        self._log_client.stop()

    # Public interface

    def step_and_wake(self) -> None:
        """Step after a change that is no entry of the site's log, such as one of the federation; does not block."""
        with self._lock:
            self._step()
        self._wake.set()

    @property
    def observed(self) -> ObservedState:
        """The registry at the last applied entry."""
        return self._observed

    @property
    def gate(self) -> gate.Gate:
        """The gate that requests pass."""
        return self.gate_control.gate

    @property
    def rules(self) -> RulesAdapter:
        """The adapter to the local gateway."""
        return self._rules

    def readiness(self) -> str:
        """Return why this gateway is not ready for clients; empty if it is. The text also names a metric."""
        mode, reason = self.gate_control.current()
        if mode == "shut" or (mode == "closed" and self.gate_control.closed_for > UNREADY_AFTER):
            return reason
        return self.gate_control.gate.denial_reason

    def status(self) -> dict[str, Any]:
        """Return the status for operators."""
        with self._lock:
            now = self._clock.now()
            self._update_gate()
            marker, start = self._machine.marker, self._machine.start
            (mode, reason), target = self.gate_control.current(), self.gate_control.applied
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

    # On the replica's thread; blocks only on the lock

    def _applied(self, index: int, command: c.Command | None, result: c.CommandResult | None) -> None:
        body = command.body if command is not None else None
        if not isinstance(body, records.Body):
            view = replace(self._observed.view, index=index)
            self._observed = replace(self._observed, index=index, view=view)
            return
        self._observed = observe(self._replica.state, self.name)
        with self._lock:
            self._step()
            self._leader_duties.applied(self._clock.now(), index, body, result is not None and result.ok)
        self.outcomes.update(self._observed)
        self._wake.set()

    def _installed(self) -> None:
        self._observed = observe(self._replica.state, self.name)
        self.step_and_wake()
        self.outcomes.update(self._observed)

    def _leadership_changed(self, leads: bool) -> None:
        self._leader_duties.is_leader = leads
        self._wake.set()

    # Under the lock

    def _step(self) -> None:
        """Step the machine and update the gate."""
        now = self._clock.now()
        federated = self.federation.state.view if self.federation is not None else None
        self._due += [
            action for action in self._machine.step(now, self._observed.view, federated) if action not in self._due
        ]
        self._update_gate()

    def _update_gate(self) -> None:
        self.gate_control.apply(self._machine.gate_state(self._clock.now()), self._observed.phase)

    # On the runtime's thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(self._clock.real(self._tick()))
            self._wake.clear()
            try:
                self._run_once()
                self._fault = ""
            except Exception:  # the gate keeps its state, and the machine requests the actions again
                trace = traceback.format_exc(limit=-4)
                if trace != self._fault:
                    log.event("rules_fault", trace=trace)
                self._fault = trace
                self._stopped.wait(FAULT_PAUSE)

    def _tick(self) -> float:
        """Return the seconds until the next step, unless an event wakes the thread."""
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
