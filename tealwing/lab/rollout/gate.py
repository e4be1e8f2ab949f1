"""The simulated gate of a gateway, its clients, and the check that versions follow each other in real time.

The check is made twice: by the clients' requests, each answered the moment it is decided, and by the spans in which any
gateway's gate was open under each version, whether or not a request arrived then.
"""

from __future__ import annotations

from random import Random

from tealwing.lab.clock import Clock


class ServiceChecker:
    """Checks for all gateways that no request is decided under an older version than an earlier one."""

    def __init__(self) -> None:
        self.first: dict[int, float] = {}  # by version: when a gate was first open under it
        self.until: dict[int, float] = {}  # by version: when a gate was last open under it
        self.answered: dict[int, float] = {}  # by version: when a client was first answered under it
        self.wrong: list[str] = []  # the violations found

    def span(self, name: str, version: int, begun: float, ended: float) -> None:
        """Record that a gate was open under a version from `begun` to `ended`."""
        if ended > begun:
            self.first[version] = min(self.first.get(version, begun), begun)
            self.until[version] = max(self.until.get(version, ended), ended)

    def decided(self, name: str, version: int, begun: float, now: float) -> None:
        """Record that a request that began at `begun` was decided and answered now."""
        newer = [number for number, at in self.answered.items() if number > version and at < begun]
        if newer:
            self.wrong.append(
                f"{name} decided a request of {begun:.6f} under {version}: one was answered under {max(newer)} before"
            )
        self.answered.setdefault(version, now)
        for number in [number for number in self.answered if number < version - 8]:
            del self.answered[number]

    def verdict(self) -> list[str]:
        """Return the violations of all requests and spans."""
        wrong = list(self.wrong)
        for version, begun in sorted(self.first.items()):
            overdue = max((at for other, at in self.until.items() if other < version), default=begun)
            if overdue > begun:
                wrong.append(
                    f"a gate was open under version {version} from {begun:.6f}, under an older one until {overdue:.6f}"
                )
        return wrong


class SimulatedGate:
    """A gate that is open under a version until a time, or closed; while a rollout keeps it closed, requests wait."""

    def __init__(self, clock: Clock, name: str, checker: ServiceChecker, rate: float, seed: int) -> None:
        """Start the arrivals of requests: a Poisson process with `rate` per s."""
        self._clock, self.name, self._checker, self._rate = clock, name, checker, rate
        self._random = Random(f"{seed}/{name}/clients")
        self._open: tuple[int, float, float] | None = None  # version, since when, until when
        self._closed: float | None = None  # since when a rollout holds requests; None: none does
        self._held: list[float] = []  # arrival times of the held requests
        self.gaps: list[float] = []  # s, of each rollout: how long the gate was closed
        self.waits: list[float] = []  # s that held requests waited
        self.rejected = self.passed = 0
        if rate:
            clock.after(self._random.expovariate(rate), self._on_arrival)

    @property
    def version(self) -> int:
        """Return the version under which the gate is open; -1 if it is closed."""
        return self._open[0] if self._open and self._clock.now < self._open[2] else -1

    def open(self, version: int, until: float) -> None:
        """Open the gate under a version until a time, and decide the held requests."""
        now = self._clock.now
        if self._open is not None and self._open[0] == version and now < self._open[2]:
            self._open = version, self._open[1], until
            return
        self._record_span()
        self._open = version, now, until
        if self._closed is not None:
            self.gaps.append(now - self._closed)
            self._closed = None
        held, self._held = self._held, []
        for begun in held:
            self.waits.append(now - begun)
            self._pass(begun)

    def close(self, by_change: bool) -> None:
        """Close the gate: for a rollout, hold new requests; otherwise reject held and new requests."""
        self._record_span()
        if by_change and self._closed is None:
            self._closed = self._clock.now
        if not by_change:
            self.rejected += len(self._held)
            self._held.clear()
            self._closed = None

    def end(self) -> None:
        """End the run: record the last open span."""
        self._record_span()

    def _record_span(self) -> None:
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

    def _on_arrival(self) -> None:
        self._clock.after(self._random.expovariate(self._rate), self._on_arrival)
        if self._closed is not None:
            self._held.append(self._clock.now)
        else:
            self._pass(self._clock.now)
