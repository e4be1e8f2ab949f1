"""Plays a scenario: each step when it is due, to whoever is meant at that moment."""

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


# Of the answers to clients, those that a step waits for
OUTCOMES: dict[str, frozenset[str]] = {
    "answered": frozenset(("served", "refused", "failed")),
    "served": frozenset(("served",)),
}


class FaultDirector:
    """The steps of a scenario, in one trial."""

    def __init__(self, trial: Trial, scenario: Scenario, must_come: bool = False) -> None:
        """must_come: a phase that does not come in its time is a problem of the rig: the trial shows nothing then."""
        self._trial, self._scenario, self._must_come = trial, scenario, must_come
        self._targets = TargetResolver(trial)

    def play(self) -> None:
        """The scenario's steps, each when it is due."""
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
                    if trial.calm.wait(left):
                        return
                step_now = self._awaited(step)
                if trial.calm.is_set():
                    return
                self._apply(step_now)
                due = max(due, time.monotonic())

    def _awaited(self, step: Step) -> Step:
        """The step, once what it waits for holds or its time for that is over; whom a phase is watched at is fixed."""
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
                self._missed(when, names, step.within)
        elif when.startswith("phase:"):
            watched: Sequence[str] = trial.names
            if step.target and step.target != "all":
                watched = self._targets.names(step.target)
                step = msgspec.structs.replace(step, target=watched[0]) if len(watched) == 1 else step
            elif step.who and step.who != "all":
                watched = self._targets.names(step.who)
                step = msgspec.structs.replace(step, who=watched[0]) if len(watched) == 1 else step
            if not phases.wait(trial, when.removeprefix("phase:"), watched, step.within):
                self._missed(when, watched, step.within)
        return step

    def _missed(self, when: str, watched: Sequence[str], within: float) -> None:
        """What a step waits for did not come."""
        self._trial.history.add("phase-missed", phase=when, watched=list(watched))
        if self._must_come:
            self._trial.problems.append(f"{self._scenario.title}: {when} did not come within {within:g} s")

    def _until(self, holds: Callable[[], bool], seconds: float) -> bool:
        """Wait for something to hold, for that time at most, and no longer than faults are begun; whether it does."""
        self._trial.wait(lambda: holds() or self._trial.calm.is_set(), seconds)
        return holds()

    def _apply(self, step: Step) -> None:
        trial, acts, ledger = self._trial, self._trial.process_faults, self._trial.fault_log
        names = self._targets.names(step.who) if step.who else []
        match step.do:
            case "partition":
                groups = self._targets.groups(step)
                self._change(lambda: trial.conditions.partition(groups))
                self._cut("partition", groups=groups)
            case "isolate":
                rest = [name for name in trial.names if name not in names]
                pairs = [(a, b) for a in names for b in rest]
                self._change(lambda: trial.conditions.change_all([*pairs, *((b, a) for a, b in pairs)], cut=True))
                self._cut("isolate", who=names[0] if len(names) == 1 else names)
            case "cut":
                source, target, pairs = self._targets.directions(step)
                self._change(lambda: trial.conditions.change_all(pairs, cut=True))
                self._cut("cut", source=source, target=target)
            case "link":
                self._link(step)
            case "heal":
                self._change(trial.conditions.heal)
                ledger.end_link_intervals()
            case "power-loss":
                acts.power_loss(step)
            case "wait":
                pass
            case "hold-changes":
                trial.changes(False)
                if not phases.wait_idle(trial, trial.names, step.within):
                    self._missed("no change under way", trial.names, step.within)
            case "release-changes":
                trial.changes(True)
            case "restart":
                for name in names:
                    acts.kill(name, step.gently)
                trial.calm.wait(step.pause)
                for name in names:
                    acts.start(name, step.disk)
            case _:
                for name in names:
                    self._one(step, name)

    def _one(self, step: Step, name: str) -> None:
        """What is done to one process."""
        acts = self._trial.process_faults
        match step.do:
            case "kill":
                acts.kill(name)
            case "start":
                acts.start(name, step.disk)
            case "stop":
                acts.stop(name)
            case "cont":
                acts.cont(name)
            case "clock":
                acts.inject_fault(name, "fault.clock", step_s=step.step_s, rate=step.rate)
            case "disk":
                acts.inject_fault(name, "fault.disk", fault=step.fault, count=step.count)
            case "save-disk":
                self._trial.processes[name].save_disk()
                self._trial.history.add("disk-saved", who=name)

    def _change(self, how: Callable[[], None]) -> None:
        with self._trial.proxy.lock:
            how()

    def _cut(self, what: str, **fields: object) -> None:
        """A cut that lasts, with all directions that are cut now."""
        self._trial.fault_log.end_intervals("cut")
        self._trial.fault_log.begin_interval("cut", what, **fields, cuts=sorted(self._trial.conditions.cuts()))

    def _link(self, step: Step) -> None:
        source, target, pairs = self._targets.directions(step)
        fields = {"drop": step.drop, "delay": step.delay_ms / 1e3, "jitter": step.jitter_ms / 1e3,
                  "duplicate": step.duplicate, "reorder": step.reorder}  # fmt: skip
        self._change(lambda: self._trial.conditions.change_all(pairs, **fields))
        self._trial.fault_log.begin_interval(("link", source, target), "link", source=source, target=target, **fields)


def completed_queries(events: Sequence[Event], names: Sequence[str], since: float, outcomes: Collection[str]) -> int:
    """Queries that began at one of the processes since a time of the history, and were answered with such a word."""
    begun = {event["id"] for event in events if event["kind"] == "invoke" and event["op"] == "query"
             and event["process"] in names and event["t"] >= since}  # fmt: skip
    return sum(1 for event in events if event["kind"] == "ok" and event["id"] in begun and event["word"] in outcomes)
