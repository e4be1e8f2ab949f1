"""Has a gateway's gate follow its machine, and puts a version in force before anybody is let in under it."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from tealwing import log
from tealwing.rollout import gate as gates
from tealwing.rollout.actions import Gate
from tealwing.rules.records import LostTouch


class Everything:
    """A change of which it is not known here what it touches."""

    def hits(self, cls: str, tenant: str, group: int) -> bool:
        """Always."""
        return True


EVERYTHING = Everything()


class Here(Protocol):
    """What versions of the rules are to one gateway; texts are bundles, empty where none is in force."""

    def faults(self, text: bytes) -> list[str]:
        """What is wrong with a bundle, whoever runs it."""

    def verdict(self, before: bytes, text: bytes, needs: int) -> tuple[bool, str]:
        """Whether this gateway can put it in force in place of the one before, and why not."""

    def touch(self, before: bytes, after: bytes) -> gates.Touch:
        """What a change touches."""

    def put_in_force(self, number: int, text: bytes) -> None:
        """Have new requests decided under it. ValueError, with nothing changed, where that can't be."""


class Steering:
    """All but `put` is done under the shell's lock, on whichever thread applied what changes it; none of it waits."""

    def __init__(self, gate: gates.Gate, lost_touch: LostTouch) -> None:
        self.gate, self._holds = gate, lost_touch == "hold"
        self.in_force = 0  # number of the version in force here; 0: what the configuration says
        self.shown: Gate | None = None  # what the gate last followed
        self.unusable = ""  # why the version that it should decide under can't be put in force here
        self._state: tuple[object, ...] = ()
        self._closed: tuple[int, float] | None = None  # the change that it waits for the outcome of, and since when
        self._touches: dict[tuple[int, int], gates.Touch] = {}  # by the versions before and after: of the one in flight

    @property
    def is_open(self) -> bool:
        """Whether anybody may pass, as far as the permit goes."""
        return self._state == ("open",)

    def shows(self) -> tuple[str, str]:
        """As the gate stands: open, closed or shut, and why."""
        wanted = self.shown
        if wanted is None or wanted.mode == "shut":
            return "shut", wanted.reason if wanted is not None else "the rules are not known here yet"
        if wanted.number != self.in_force:
            return ("shut", self.unusable) if self.unusable else ("closed", f"version {wanted.number} comes into force")
        return wanted.mode, wanted.reason

    @property
    def closed_for(self) -> float:
        """Seconds for which it has waited for an outcome; 0 where it does not."""
        return time.monotonic() - self._closed[1] if self._closed else 0.0

    def knows(self, before: int, after: int) -> bool:
        """Whether it is known what a change touches."""
        return (before, after) in self._touches

    def learn(self, before: int, after: int, touch: gates.Touch) -> None:
        """What a change touches; those before it are over."""
        self._touches = {(before, after): touch}

    def follow(self, wanted: Gate, phase: Callable[[int], str]) -> None:
        """Show what the machine says; phase gives that of a version."""
        before, self.shown = self.shown, wanted
        if wanted.closing and (self._closed is None or self._closed[0] != wanted.closing):
            self._opened(phase)
            self._closed = wanted.closing, time.monotonic()
            log.event("rules_closed", number=wanted.closing, under=wanted.number, reason=wanted.reason)
        if wanted.mode == "shut":
            self._set(("shut", wanted.reason), lambda: self.gate.shut(wanted.reason))
        elif wanted.number != self.in_force and self.unusable:
            self._set(("shut", self.unusable), lambda: self.gate.shut(self.unusable))
        elif wanted.number != self.in_force:  # nobody is let in under another one: they wait until it is
            self._set(("closed", EVERYTHING), lambda: self.gate.close(EVERYTHING))
        elif wanted.mode == "closed":
            touch = self._touches.get((wanted.number, wanted.closing), EVERYTHING)
            self._set(("closed", touch), lambda: self.gate.close(touch))
            self.gate.permit(wanted.until)  # after it has closed
        else:
            if not wanted.closing:
                self._opened(phase)
            self.gate.permit(wanted.until)
            self._set(("open",), self.gate.open)
        if before is None or (before.mode == "shut") != (wanted.mode == "shut"):
            self._say(wanted, before is None)

    def _set(self, state: tuple[object, ...], change: Callable[[], None]) -> None:
        if state != self._state:
            self._state = state
            change()

    def _opened(self, phase: Callable[[int], str]) -> None:
        if self._closed is not None:
            held = (time.monotonic() - self._closed[1]) * 1e3
            log.event("rules_opened", number=self._closed[0], outcome=phase(self._closed[0]), held_ms=round(held, 2))
            self._closed = None

    def _say(self, wanted: Gate, first: bool) -> None:
        if wanted.mode == "shut":
            log.event("permit_lost" if self._holds and not first else "rules_shut", why=wanted.reason,
                      number=wanted.number)  # fmt: skip
        else:
            log.event("permit_gained" if self._holds else "rules_known", number=wanted.number)
