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
from tealwing.replica.service.node import Replica
from tealwing.rollout import deeds, gate, outcomes
from tealwing.rollout.actions import HELD, Action, Check, Read, Restart, Say, WriteMark
from tealwing.rollout.leading import Leading
from tealwing.rollout.mark import Mark
from tealwing.rollout.member import Machine
from tealwing.rollout.outside import Outside
from tealwing.rollout.plan import Plan
from tealwing.rollout.seen import Seen, seen
from tealwing.rollout.steering import Here, Steering
from tealwing.rollout.talk import Talk
from tealwing.rules import records
from tealwing.rules.check import BUILD

TICK = 0.02  # s between two looks at the clock while a change, a lapse or a start is under way
IDLE_TICK = 0.25  # s between them else: what comes wakes the thread, and half of a resting member's time was ticks
IDLE_SHARE = 0.05  # of a permit, where that is less: it is renewed in time
STEPS = 3  # looks in a row at most: what was done may be what the next step waits for
AFTER_FAULT = 0.1  # s before the next turn
SHUT_AFTER = 1.0  # s of waiting for an outcome after which the gateway says that it is not ready


class Shell:
    """One gateway's part in changes of the rules."""

    def __init__(
        self, plan: Plan, replica: Replica, link: Link, here: Here, gate_: gate.Gate, outside: Outside | None = None
    ) -> None:
        """Before the replica starts. OSError where the mark can't be read for another reason than damage.

        outside: the federation, where the site is part of one.
        """
        self.plan, self._replica, self._here, self.outside = plan, replica, here, outside
        self.name, self._clock = link.plan.name, replica.clock
        self._seen = seen(replica.state, self.name)  # set on the replica's thread alone
        mark = Mark(Path(replica.plan.directory), replica.disk)
        me = self._seen.members.get(self.name)
        self._machine = Machine(
            self.name, plan.lost_touch, max(int(time.time() * 1e3), me.start + 1 if me else 0), plan.permit,
            mark=deeds.read(mark), build=BUILD, seed=replica.incarnation, disk=self._seen.me,
            sabotage=frozenset({plan.sabotage} - {""}), federated=outside is not None,
            disk_federated=outside.seen.me if outside is not None else None, peers=len(link.plan.members),
        )  # fmt: skip
        self._lock = threading.Lock()  # round the machine, the witness and what steers the gate
        self._wake, self._stopped = threading.Event(), threading.Event()
        other = outside.replica if outside is not None else None
        self._talk = Talk(self._machine, self._clock, replica, self._lock, self._wake.set, other, plan.permit)
        self._leading = Leading(plan, replica, link)
        self.steering = Steering(gate_, plan.lost_touch)
        self._deeds = deeds.Deeds(self._machine, mark, here, self.steering, self._lock, self._follow)
        self._fault = ""  # of the last turn
        self._due: list[Action] = []  # what the machine wants and nobody does yet
        self.outcomes = outcomes.Outcomes(self._seen)
        replica.on_applied(self._applied)
        replica.on_state_replaced(self._installed)
        replica.on_leadership(self._led)
        if outside is not None:
            outside.on_change(self.notice)

    # Start and end

    def begin(self) -> None:
        """Put in force what the disk says, and set the gate by it: before any client is taken."""
        with self._lock:
            self._look()
        self._deeds.put_in_force(lambda: self._seen)

    def start(self) -> None:
        """Take part from now on; threads.NoThread where the system has none."""
        self._talk.start()
        threads.start(self._run, "rules")

    def stop(self) -> None:
        """Take part no more; the gate stays as it is, and a permit runs out."""
        self._stopped.set()
        self._wake.set()
        self._talk.stop()

    # For others

    def notice(self) -> None:
        """What the gate depends on has moved elsewhere; quick, from any thread."""
        with self._lock:
            self._look()
        self._wake.set()

    @property
    def seen(self) -> Seen:
        """The registry as it is applied here."""
        return self._seen

    @property
    def gate(self) -> gate.Gate:
        """What requests pass."""
        return self.steering.gate

    @property
    def here(self) -> Here:
        """What versions are to this gateway."""
        return self._here

    def readiness(self) -> str:
        """Why clients should not be sent here; empty where they may be."""
        mode, reason = self.steering.shows()
        if mode == "shut" or mode == "closed" and self.steering.closed_for > SHUT_AFTER:
            return reason
        return self.steering.gate.why_not

    def status(self) -> dict[str, Any]:
        """What operators ask for."""
        with self._lock:
            now = self._clock.now()
            self._follow()
            mark, start = self._machine.mark, self._machine.start
            (mode, reason), wanted = self.steering.shows(), self.steering.shown
        holds = self.plan.lost_touch == "hold"
        left = max(0.0, wanted.until - now) if wanted is not None and wanted.mode != "shut" else 0.0
        return self.outcomes.status(self._seen) | {
            "name": self.name, "lost_touch": self.plan.lost_touch, "start": start, "in_force": self.steering.in_force,
            "gate": {"mode": mode, "closing": wanted.closing if wanted is not None else 0, "reason": reason},
            "permit_left_s": round(left, 3) if holds else None, "mark": "held" if mark == HELD else mark,
            "figures": outcomes.figures(self.steering.gate.figures()), "broken": self._replica.broken,
            "leads": self._leading.leads, "refusal": self._talk.refusal,
            "federation": self.outside.status() if self.outside is not None else None,
        }  # fmt: skip

    # The replica's thread: quick, and it waits for nobody but our own quick looks

    def _applied(self, index: int, command: c.Command | None, result: c.CommandResult | None) -> None:
        body = command.body if command is not None else None
        if not isinstance(body, records.Body):
            me = replace(self._seen.me, index=index)
            self._seen = replace(self._seen, index=index, me=me)
            return
        self._seen = seen(self._replica.state, self.name)
        with self._lock:
            self._look()
            self._leading.applied(self._clock.now(), index, body, result is not None and result.ok)
        self.outcomes.tell(self._seen)
        self._wake.set()

    def _installed(self) -> None:
        self._seen = seen(self._replica.state, self.name)
        self.notice()
        self.outcomes.tell(self._seen)

    def _led(self, leads: bool) -> None:
        self._leading.leads = leads
        self._wake.set()

    # Under the lock

    def _look(self) -> None:
        """Have the machine look at the state, and the gate follow it."""
        now = self._clock.now()
        outside = self.outside.seen.me if self.outside is not None else None
        self._due += [action for action in self._machine.look(now, self._seen.me, outside) if action not in self._due]
        self._follow()

    def _follow(self) -> None:
        self.steering.follow(self._machine.gate(self._clock.now()), self._seen.phase)

    # Our thread

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(self._clock.real(self._tick()))
            self._wake.clear()
            try:
                self._turn()
                self._fault = ""
            except Exception:  # what holds holds by the gate; the machine asks again for what was not done
                trace = traceback.format_exc(limit=-4)
                if trace != self._fault:
                    log.event("rules_fault", trace=trace)
                self._fault = trace
                self._stopped.wait(AFTER_FAULT)

    def _tick(self) -> float:
        """Seconds until the next look at the clock, unless something wakes us before."""
        is_idle = self._seen.me.flight is None and self.steering.is_open and not self._due
        if not is_idle or self._leading.is_waiting:
            return TICK
        return max(TICK, min(IDLE_TICK, IDLE_SHARE * self.plan.permit))

    def _turn(self) -> None:
        for _ in range(STEPS):
            self._deeds.put_in_force(lambda: self._seen)
            with self._lock:
                self._look()
                due, self._due = self._due, []
            if not due:
                break
            for action in due:
                self._do(action)
        self._deeds.learn_touch(self._seen)
        with self._lock:
            words = self._leading.due(self._clock.now(), self._seen)
        for word in words:
            self._talk.say(Say(word))
        self._leading.conduct(self._clock.now(), self._seen)

    def _do(self, action: Action) -> None:
        match action:
            case WriteMark(number):
                self._deeds.write_mark(number)
            case Say():
                self._talk.say(action)
            case Check(number):
                self._deeds.check(self._seen, number)
            case Read():
                self._talk.read(action)
            case Restart(start):
                log.event("rules_begin_anew", start=start)
