"""What a gateway does for its machine: the disk, the check, putting in force. On one thread, none under the lock."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from tealwing import log
from tealwing.coordinator.backoff import Backoff
from tealwing.rollout.actions import HELD
from tealwing.rollout.mark import Mark, MarkDamaged
from tealwing.rollout.member import Machine
from tealwing.rollout.seen import Seen
from tealwing.rollout.steering import EVERYTHING, Here, Steering

AGAIN = (0.1, 2.0)  # s between two tries to put a version in force, least and most
LONGEST_REASON = 500  # characters of a fault in a check


def read(mark: Mark) -> int:
    """The number on disk. OSError where it can't be read for another reason than damage."""
    try:
        return mark.read()
    except MarkDamaged as error:
        log.event("rules_mark_damaged", error=str(error), remedy=error.remedy)
        return HELD  # nothing is decided from this disk before the log has told what there is


class Deeds:
    """lock is round the machine and the steering; follow, called under it, has the gate follow the machine."""

    def __init__(
        self, machine: Machine, mark: Mark, here: Here, steering: Steering, lock: threading.Lock,
        follow: Callable[[], None],
    ) -> None:  # fmt: skip
        self._machine, self._mark, self._here, self._steering = machine, mark, here, steering
        self._lock, self._follow = lock, follow
        self._again, self._next_try = Backoff(*AGAIN), 0.0  # of putting in force what could not be
        self._mark_failed = False

    def write_mark(self, number: int) -> None:
        """Have it on disk. Where that fails nothing is told, and the machine asks for it again."""
        try:
            self._mark.write(number)
        except OSError as error:
            if not self._mark_failed:
                log.event("rules_mark_failed", number=number, error=str(error))
            self._mark_failed = True
            return
        self._mark_failed = False
        with self._lock:
            self._machine.marked(number)

    def check(self, seen: Seen, number: int) -> None:
        """This gateway's word on a version."""
        found = seen.version(number)
        if found is None:
            return
        try:
            yes, reason = self._here.verdict(seen.text(seen.facts.active), found.text, found.needs)
        except Exception as error:  # what it can't read it can't put in force
            yes, reason = False, f"{type(error).__name__}: {error}"[:LONGEST_REASON]
        log.event("rules_verdict", number=number, yes=yes, reason=reason)
        with self._lock:
            self._machine.checked(number, yes, reason)

    def put_in_force(self, seen: Callable[[], Seen]) -> None:
        """Decide under the version that the machine names; until that is done the gate lets nobody in."""
        with self._lock:
            self._follow()
            steering = self._steering
            wanted = steering.shown.number if steering.shown is not None else 0
            log.check_invariant(wanted == steering.in_force or not steering.is_open, "nobody is let in meanwhile")
        if wanted == steering.in_force or time.monotonic() < self._next_try:
            return
        try:
            self._here.put_in_force(wanted, seen().text(wanted))
        except Exception as error:  # whatever it is: the gateway must not open under another version
            why = f"version {wanted} of the rules can't be put in force here: {error}"
            if why != steering.unusable:
                log.event("rules_unusable", number=wanted, error=str(error), remedy="install the build that took it, or"
                          " propose a version that this gateway can put in force")  # fmt: skip
            self._next_try = time.monotonic() + self._again.next()
            with self._lock:
                steering.unusable = why
                self._follow()
            return
        self._again.reset()
        with self._lock:
            steering.in_force, steering.unusable = wanted, ""
            self._follow()

    def learn_touch(self, seen: Seen) -> None:
        """Narrow what is closed to what the change touches; worked out as soon as the version is proposed."""
        active, flight = seen.facts.active, seen.me.flight
        if flight is None or self._steering.knows(active, flight.number):
            return
        try:
            touch = self._here.touch(seen.text(active), flight.text)
        except Exception as error:  # another build's, perhaps: then all of it waits
            log.event("rules_touch_unknown", number=flight.number, error=str(error))
            touch = EVERYTHING
        with self._lock:
            self._steering.learn(active, flight.number, touch)
            self._follow()
