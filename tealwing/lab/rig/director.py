"""Plays a scenario: each step when it is due, to whoever is meant at that moment."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from tealwing.lab.faults.scenario import Step

if TYPE_CHECKING:
    from tealwing.lab.rig.trial import Trial

ASIDE = "same"  # in a scenario: whoever the step before was about


class Director:
    """The steps of one trial's scenario."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._last = ""

    def play(self) -> None:
        """The scenario's steps, each when it is due."""
        trial = self._trial
        due = trial.begun
        for step in trial.scenario.step:
            due = (trial.begun + step.at * trial.seconds if step.at is not None else due) + step.after
            for turn in range(step.times):
                if turn:
                    due += step.every
                while (left := due - time.monotonic()) > 0:
                    if trial.stopping.wait(left):
                        return
                if step.when == "leader" and trial.samples.replicated:
                    trial.wait(lambda: bool(trial.leader()), step.within)
                elif step.when == "settled":
                    trial.wait(trial.in_touch, step.within)
                self._apply(step)
                due = max(due, time.monotonic())

    def _who(self, word: str) -> str:
        trial = self._trial
        if word in trial.names:
            return word
        running = [name for name, process in trial.processes.items() if process.running and not process.stopped]
        leader = trial.leader()
        if word == ASIDE and self._last:
            return self._last
        if word == "leader" and leader:
            return leader
        if word == "holder" and trial.holder:
            return trial.holder
        followers = [name for name in running if name != leader] or running or trial.names
        return trial.random.choice(followers if word == "follower" else running or trial.names)

    def _apply(self, step: Step) -> None:
        trial, acts, ledger = self._trial, self._trial.acts, self._trial.ledger
        name = ""
        if step.who and step.who != "all":
            name = self._last = self._who(step.who)
        match step.do:
            case "partition":
                groups = self._groups(step)
                self._change(lambda: trial.weather.partition(groups))
                self._cut("partition", groups=groups)
            case "isolate":
                self._change(lambda: trial.weather.isolate(name))
                self._cut("isolate", who=name)
            case "cut":
                source, target = self._pair(step)
                self._change(lambda: trial.weather.change(source, target, cut=True))
                self._cut("cut", source=source, target=target)
            case "link":
                self._link(step)
            case "heal":
                self._change(trial.weather.heal)
                ledger.links_over()
            case "kill":
                acts.kill(name)
            case "start":
                acts.start(name, step.disk)
            case "stop":
                acts.stop(name)
            case "cont":
                acts.cont(name)
            case "restart":
                acts.kill(name, step.gently)
                trial.stopping.wait(step.pause)
                acts.start(name, step.disk)
            case "clock":
                acts.tell(name, "fault.clock", step_s=step.step_s, rate=step.rate)
            case "disk":
                acts.tell(name, "fault.disk", fault=step.fault, count=step.count)
            case "save-disk":
                for one in trial.names if step.who == "all" else [name]:
                    trial.processes[one].save_disk()
                    trial.history.add("disk-saved", who=one)
            case "power-loss":
                acts.power_loss(step)

    def _change(self, how: Callable[[], None]) -> None:
        with self._trial.proxy.lock:
            how()

    def _cut(self, what: str, **fields: object) -> None:
        """A cut that lasts, with all directions that are cut now."""
        self._trial.ledger.over("cut")
        self._trial.ledger.span("cut", what, **fields, cuts=sorted(self._trial.weather.cuts()))

    def _link(self, step: Step) -> None:
        names = self._trial.names
        source, target = self._pair(step)
        fields = {"drop": step.drop, "delay": step.delay_ms / 1e3, "jitter": step.jitter_ms / 1e3,
                  "duplicate": step.duplicate, "reorder": step.reorder}  # fmt: skip
        pairs = [(a, b) for a in names for b in names if a != b and source in (a, "all") and target in (b, "all")]
        self._change(lambda: self._trial.weather.change_all(pairs, **fields))
        self._trial.ledger.span(("link", source, target), "link", source=source, target=target, **fields)

    def _pair(self, step: Step) -> tuple[str, str]:
        source = step.source if step.source == "all" else self._who(step.source)
        target = step.target if step.target == "all" else self._who(step.target)
        if source == target and source != "all":
            target = next(name for name in self._trial.names if name != source)
        return source, target

    def _groups(self, step: Step) -> list[list[str]]:
        if isinstance(step.groups, list):
            return step.groups
        names = list(self._trial.names)
        self._trial.random.shuffle(names)
        half = len(names) // 2
        if step.groups == "leader-minority" and (leader := self._trial.leader()):
            names.remove(leader)
            names.insert(0, leader)
            return [sorted(names[: max(1, half)]), sorted(names[max(1, half) :])]
        return [sorted(names[:half]), sorted(names[half:])]
