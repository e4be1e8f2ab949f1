"""A gateway's gate in the laboratory, its clients, and what the judge knows of them.

The rule in real time is judged twice: by clients, each answered the moment it is decided, and by the spans in which any
gateway would have decided under each version, whether a client came then or not.
"""

from __future__ import annotations

from random import Random

from tealwing.lab.clock import Clock


class ServiceChecker:
    """Of all gateways: when each version was first and last decided under."""

    def __init__(self) -> None:
        self.first: dict[int, float] = {}  # by version: when a gateway first might decide under it
        self.until: dict[int, float] = {}  # when one last might
        self.answered: dict[int, float] = {}  # when a client was first answered under it
        self.wrong: list[str] = []

    def span(self, name: str, version: int, begun: float, ended: float) -> None:
        """A gateway decided under a version from then to then."""
        if ended > begun:
            self.first[version] = min(self.first.get(version, begun), begun)
            self.until[version] = max(self.until.get(version, ended), ended)

    def decided(self, name: str, version: int, begun: float, now: float) -> None:
        """A client's request that began then was decided now, and answered at once."""
        newer = [number for number, at in self.answered.items() if number > version and at < begun]
        if newer:
            self.wrong.append(f"{name} decided a request of {begun:.6f} under {version}: {max(newer)} was answered")
        self.answered.setdefault(version, now)
        for number in [number for number in self.answered if number < version - 8]:
            del self.answered[number]

    def verdict(self) -> list[str]:
        """What was wrong."""
        wrong = list(self.wrong)
        for version, begun in sorted(self.first.items()):
            overdue = max((at for other, at in self.until.items() if other < version), default=begun)
            if overdue > begun:
                wrong.append(f"version {version} was decided under from {begun:.6f}, an older one until {overdue:.6f}")
        return wrong


class SimulatedGate:
    """Open under a version until a time, or not; every change touches all requests here."""

    def __init__(self, clock: Clock, name: str, checker: ServiceChecker, rate: float, seed: int) -> None:
        """Draw clients at `rate` a second, each on its own."""
        self._clock, self.name, self._checker, self._rate = clock, name, checker, rate
        self._random = Random(f"{seed}/{name}/clients")
        self._open: tuple[int, float, float] | None = None  # version, since when, until when
        self._closed: float | None = None  # since when by a change
        self._held: list[float] = []  # when those came that wait
        self.gaps: list[float] = []  # s for which it was closed, by change
        self.waits: list[float] = []  # s that clients waited
        self.rejected = self.passed = 0
        if rate:
            clock.after(self._random.expovariate(rate), self._come)

    @property
    def version(self) -> int:
        """Under which it is open; -1: it is not."""
        return self._open[0] if self._open and self._clock.now < self._open[2] else -1

    def open(self, version: int, until: float) -> None:
        """Decide under that version until then."""
        now = self._clock.now
        if self._open is not None and self._open[0] == version and now < self._open[2]:
            self._open = version, self._open[1], until
            return
        self._shut()
        self._open = version, now, until
        if self._closed is not None:
            self.gaps.append(now - self._closed)
            self._closed = None
        held, self._held = self._held, []
        for begun in held:
            self.waits.append(now - begun)
            self._pass(begun)

    def close(self, by_change: bool) -> None:
        """Decide nothing; by a change: who comes waits."""
        self._shut()
        if by_change and self._closed is None:
            self._closed = self._clock.now
        if not by_change:
            self.rejected += len(self._held)
            self._held.clear()
            self._closed = None

    def end(self) -> None:
        """The run is over."""
        self._shut()

    def _shut(self) -> None:
        if self._open is not None:
            version, since, until = self._open
            self._checker.span(self.name, version, since, min(until, self._clock.now))
            self._open = None

    def _pass(self, begun: float) -> None:
        if self._open is not None and self._clock.now < self._open[2]:
            self.passed += 1
            self._checker.decided(self.name, self._open[0], begun, self._clock.now)
        else:
            self.rejected += 1

    def _come(self) -> None:
        self._clock.after(self._random.expovariate(self._rate), self._come)
        if self._closed is not None:
            self._held.append(self._clock.now)
        else:
            self._pass(self._clock.now)
