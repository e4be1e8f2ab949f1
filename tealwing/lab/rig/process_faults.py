"""Faults of the processes of a trial: kills, starts, stops, injected clock and disk faults, and a power loss of all."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING, Any

from tealwing.lab.faults.scenario import Step
from tealwing.lab.rig.samples import CALL_TIMEOUT
from tealwing.peers.control import RemoteCallError

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial


class ProcessFaults:
    """Applies faults to processes and records each in the fault log."""

    def __init__(self, trial: Trial, stale: int) -> None:
        """stale: maximum number of processes that restart with an older disk after a power loss."""
        self._trial, self._stale = trial, stale
        self._fault_log, self._history = trial.fault_log, trial.history
        self.failing: set[str] = set()  # processes with an injected disk fault that were not killed since

    def kill(self, name: str, gently: bool = False) -> None:
        """End a process by SIGKILL; gently: by SIGTERM first."""
        self._fault_log.end_intervals(("stop", name))
        process = self._trial.processes[name]
        self.failing.discard(name)
        if process.running:
            self._fault_log.begin_interval(("down", name), "kill", who=name, gently=gently)
            if gently:
                process.terminate()
            process.kill()

    def start(self, name: str, disk: str) -> None:
        """Start a process if it does not run; disk: the data directory that it finds, as for `Process.prepare_disk`."""
        process = self._trial.processes[name]
        if process.running:
            return
        process.prepare_disk(disk)
        self._history.add("starting", who=name)  # from here on it may send; `ready` is recorded later
        process.start()
        if disk != "kept":
            self._fault_log.fault("disk", who=name, disk=disk)
        self._trial.spawn(lambda: self._await_ready(name), f"ready-{name}")

    def _await_ready(self, name: str) -> None:
        process = self._trial.processes[name]
        try:
            process.ready()
        except Exception:
            if self._trial.stopping.is_set() or not process.running:  # the process was killed again meanwhile
                return
            raise
        self._fault_log.end_intervals(("down", name))
        self._history.add("ready", process=name, start=process.starts)

    def stop(self, name: str) -> None:
        """Stop a process by SIGSTOP, which it can't notice."""
        self._trial.processes[name].signal(signal.SIGSTOP)
        self._fault_log.begin_interval(("stop", name), "stop", who=name)

    def resume(self, name: str) -> None:
        """Resume a stopped process by SIGCONT."""
        self._trial.processes[name].signal(signal.SIGCONT)
        self._fault_log.end_intervals(("stop", name))

    def inject_fault(self, name: str, call: str, **fields: Any) -> None:
        """Inject a fault within a process through its control address."""
        try:
            caller = self._trial.caller(name)
            try:
                caller.call(call, CALL_TIMEOUT, **fields)
            finally:
                caller.close()
            self._fault_log.fault(call.removeprefix("fault."), who=name, **fields)
            if call == "fault.disk":
                self.failing.add(name)
        except (OSError, RemoteCallError) as error:
            self._history.add("fault-not-taken", who=name, call=call, why=str(error))

    def power_loss(self, step: Step) -> None:
        """Kill all processes at once, and restart them in random order as the step specifies.

        One may restart late, some with an older disk, and links may lose frames until all have restarted.
        """
        trial, random = self._trial, self._trial.random
        names = [name for name in trial.names if trial.processes[name].running]
        for name in names:
            self._fault_log.begin_interval(("down", name), "kill", who=name)
            trial.processes[name].signal(signal.SIGKILL)
        for name in names:
            trial.processes[name].kill()
        self._history.add("power", what="lost", who=names)
        old = random.sample(names, min(self._stale, round(step.old * len(names)))) if step.old else []
        waits = {name: random.uniform(0.0, step.pause) for name in names}
        if step.late and names:
            waits[random.choice(names)] = step.late
        if step.drop_on_return:
            with trial.proxy.lock:
                for a in trial.names:
                    for b in trial.names:
                        if a != b and random.random() < 0.25:
                            trial.conditions.change(a, b, drop=step.drop_on_return)
            self._fault_log.begin_interval(
                ("link", "power", ""), "link", source="some", target="some", drop=step.drop_on_return
            )
        lost = time.monotonic()
        for name in sorted(waits, key=lambda name: waits[name]):
            if trial.faults_over.wait(max(0.0, lost + waits[name] - time.monotonic())):
                return
            self._history.add("power", what="back", who=[name], old=name in old)
            self.start(name, "old" if name in old else "kept")
