"""Gateways as processes, and the wires between them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from tealwing.lab.clock import Clock
from tealwing.lab.rollout.costs import Costs
from tealwing.lab.rollout.tasks import Step

HEARTBEAT_INTERVAL = 0.2  # s between two signs of life of the link; they are not modelled but for who is silent
SILENT = 2 * HEARTBEAT_INTERVAL  # s without any after which a peer counts as silent, as the shells have it


class Host:
    """One gateway's process: its name, its site, and when it is free."""

    def __init__(self, wires: Wires, name: str, site: str) -> None:
        self.wires, self.name, self.site = wires, name, site
        self.free = 0.0
        self.sent = 0  # messages
        self.handlers: dict[tuple[str, str], Callable[[str, Any], None]] = {}  # by log, and kind of message

    def spend(self, seconds: float) -> float:
        """Use so much of its time, once it is free; when that is over."""
        self.free = max(self.free, self.wires.clock.now) + seconds
        return self.free

    def use(self, seconds: float) -> Step:
        """The same for a task, which goes on after it."""
        yield self.spend(seconds) - self.wires.clock.now

    def send(self, to: str, log: str, kind: str, body: Any) -> None:
        """A message leaves once the process has had the time for it."""
        self.sent += 1
        self.wires.carry(self, to, log, kind, body, self.spend(self.wires.costs.message))


class Wires:
    """All hosts; messages take their time between them, or are lost. Any may overtake another."""

    def __init__(self, clock: Clock, costs: Costs, seed: int) -> None:
        self.clock, self.costs = clock, costs
        self.random = Random(f"wires/{seed}")
        self.hosts: dict[str, Host] = {}
        self.cut: dict[str, float] = {}  # hosts that nobody hears and that hear nobody, since when
        self.lost = 0

    def carry(self, source: Host, to: str, log: str, kind: str, body: Any, at: float) -> None:
        """From one host to another, leaving at a time."""
        target = self.hosts[to]
        if source.name in self.cut or to in self.cut or self.random.random() < self.costs.loss:
            self.lost += 1
            return
        delay = self.costs.delay(self.random, source.site != target.site)
        self.clock.at(at + delay, self._land, source.name, target, log, kind, body)

    def _land(self, source: str, target: Host, log: str, kind: str, body: Any) -> None:
        if target.name not in self.cut and source not in self.cut:
            target.handlers[log, kind](source, body)

    def silent(self, me: str) -> set[str]:
        """Whom a host has not heard for so long that they count as silent."""
        now = self.clock.now
        if me in self.cut:
            return {name for name in self.hosts if name != me} if now - self.cut[me] > SILENT else set()
        return {name for name, since in self.cut.items() if now - since > SILENT}
