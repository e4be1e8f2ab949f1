"""Runs the steps of a scenario, each when it is due, on the processes that its selectors mean at that time."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING

import msgspec

from tealwing.lab.faults.scenario import Scenario, Step
from tealwing.lab.rig import phases
from tealwing.lab.rig.history import Event
from tealwing.lab.rig.targets import TargetResolver

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial


# The outcomes of queries that a step's condition counts
OUTCOMES: dict[str, frozenset[str]] = {
    "answered": frozenset(("served", "refused", "failed")),
    "served": frozenset(("served",)),
}


class FaultDirector:
    """Runs the steps of one scenario in one trial."""

    def __init__(self, trial: Trial, scenario: Scenario, conditions_required: bool = False) -> None:
        """conditions_required: a condition not met in time is a problem of the rig, which makes the trial worthless."""
        self._trial, self._scenario, self._conditions_required = trial, scenario, conditions_required
        self._targets = TargetResolver(trial)

    def play(self) -> None:
        """Run all steps, each when it is due, until the trial allows no further faults."""
        trial = self._trial
        due = trial.begun
        for step in self._scenario.step:
            if step.lost_touch not in (None, trial.layout.lost_touch):
                continue
            due = (trial.begun + step.at * trial.seconds if step.at is not None else due) + step.after
            for turn in range(step.times):
                if turn:
                    due += step.every
                while (left := due - time.monotonic()) > 0:
                    if trial.faults_over.wait(left):
                        return
                step_now = self._wait_for_condition(step)
                if trial.faults_over.is_set():
                    return
                self._apply(step_now)
                due = max(due, time.monotonic())

    def _wait_for_condition(self, step: Step) -> Step:
        """Wait until the step's condition holds or its time is over, and return the step.

        A condition on a phase is watched at the processes that the step's selector means now; if that is one process,
        the returned step names it.
        """
        trial, when = self._trial, step.when or ""
        if when == "leader" and trial.samples.replicated:
            self._until(lambda: bool(trial.leader()), step.within)
        elif when == "settled":
            self._until(trial.is_connected, step.within)
        elif when == "ready":
            self._until(lambda: all(p.started for p in trial.processes.values() if p.running), step.within)
        elif when in ("answered", "served"):
            begun, names, outcomes = trial.history.now(), self._targets.names(step.who), OUTCOMES[when]
            if not self._until(
                lambda: completed_queries(trial.history.events, names, begun, outcomes) >= step.queries, step.within
            ):
                self._record_missed(when, names, step.within)
        elif when.startswith("phase:"):
            watched: Sequence[str] = trial.names
            if step.target and step.target != "all":
                watched = self._targets.names(step.target)
                step = msgspec.structs.replace(step, target=watched[0]) if len(watched) == 1 else step
            elif step.who and step.who != "all":
                watched = self._targets.names(step.who)
                step = msgspec.structs.replace(step, who=watched[0]) if len(watched) == 1 else step
            if not phases.wait(trial, when.removeprefix("phase:"), watched, step.within):
                self._record_missed(when, watched, step.within)
        return step

    def _record_missed(self, when: str, watched: Sequence[str], within: float) -> None:
        """Record that a step's condition was not met in time."""
        self._trial.history.add("phase-missed", phase=when, watched=list(watched))
        if self._conditions_required:
            self._trial.problems.append(
                f"{self._scenario.title}: condition {when!r} was not met at {', '.join(watched)} within {within:g} s"
            )

    def _until(self, holds: Callable[[], bool], seconds: float) -> bool:
        """Wait for the condition until the time is over or no further faults are allowed; return whether it holds."""
        self._trial.wait(lambda: holds() or self._trial.faults_over.is_set(), seconds)
        return holds()

    def _apply(self, step: Step) -> None:
        trial, process_faults = self._trial, self._trial.process_faults
        names = self._targets.names(step.who) if step.who else []
        match step.do:
            case "partition":
                groups = self._targets.groups(step)
                self._change(lambda: trial.conditions.partition(groups))
                self._record_cut("partition", groups=groups)
            case "isolate":
                rest = [name for name in trial.names if name not in names]
                pairs = [(a, b) for a in names for b in rest]
                self._change(lambda: trial.conditions.change_all([*pairs, *((b, a) for a, b in pairs)], cut=True))
                self._record_cut("isolate", who=names[0] if len(names) == 1 else names)
            case "cut":
                source, target, pairs = self._targets.directions(step)
                self._change(lambda: trial.conditions.change_all(pairs, cut=True))
                self._record_cut("cut", source=source, target=target)
            case "link":
                self._degrade_links(step)
            case "heal":
                self._change(trial.conditions.heal)
                trial.fault_log.end_link_intervals()
            case "power-loss":
                process_faults.power_loss(step)
            case "wait":
                pass
            case "hold-changes":
                trial.allow_changes(False)
                if not phases.wait_idle(trial, trial.names, step.within):
                    self._record_missed("no change under way", trial.names, step.within)
            case "release-changes":
                trial.allow_changes(True)
            case "restart":
                for name in names:
                    process_faults.kill(name, step.gently)
                trial.faults_over.wait(step.pause)
                for name in names:
                    process_faults.start(name, step.disk)
            case _:
                for name in names:
                    self._apply_to_process(step, name)

    def _apply_to_process(self, step: Step, name: str) -> None:
        """Apply a step that concerns one process to that process."""
        process_faults = self._trial.process_faults
        match step.do:
            case "kill":
                process_faults.kill(name)
            case "start":
                process_faults.start(name, step.disk)
            case "stop":
                process_faults.stop(name)
            case "cont":
                process_faults.resume(name)
            case "clock":
                process_faults.inject_fault(name, "fault.clock", step_s=step.step_s, rate=step.rate)
            case "disk":
                process_faults.inject_fault(name, "fault.disk", fault=step.fault, count=step.count)
            case "save-disk":
                self._trial.processes[name].save_disk()
                self._trial.history.add("disk-saved", who=name)

    def _change(self, how: Callable[[], None]) -> None:
        with self._trial.proxy.lock:
            how()

    def _record_cut(self, what: str, **fields: object) -> None:
        """Record a lasting cut with all directions that are cut now; it replaces the previous one."""
        self._trial.fault_log.end_intervals("cut")
        self._trial.fault_log.begin_interval("cut", what, **fields, cuts=sorted(self._trial.conditions.cuts()))

    def _degrade_links(self, step: Step) -> None:
        source, target, pairs = self._targets.directions(step)
        fields = {"drop": step.drop, "delay": step.delay_ms / 1e3, "jitter": step.jitter_ms / 1e3,
                  "duplicate": step.duplicate, "reorder": step.reorder}  # fmt: skip
        self._change(lambda: self._trial.conditions.change_all(pairs, **fields))
        self._trial.fault_log.begin_interval(("link", source, target), "link", source=source, target=target, **fields)


def completed_queries(events: Sequence[Event], names: Sequence[str], since: float, outcomes: Collection[str]) -> int:
    """Count the queries that began at these processes since that time and ended with one of these outcomes."""
    begun = {event["id"] for event in events if event["kind"] == "invoke" and event["op"] == "query"
             and event["process"] in names and event["t"] >= since}  # fmt: skip
    return sum(1 for event in events if event["kind"] == "ok" and event["id"] in begun and event["word"] in outcomes)
