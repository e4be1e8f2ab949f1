"""Simulated gateway processes and the network between them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from tealwing.lab.clock import Clock
from tealwing.lab.rollout.costs import Costs
from tealwing.lab.rollout.tasks import Step

HEARTBEAT_INTERVAL = 0.2  # s between heartbeats of a link; the simulation uses them only to detect silent peers
SILENT = 2 * HEARTBEAT_INTERVAL  # s without a heartbeat after which a peer counts as silent, as in production


class Host:
    """One gateway's process, which does one thing at a time."""

    def __init__(self, network: Network, name: str, site: str) -> None:
        self.network, self.name, self.site = network, name, site
        self.free = 0.0  # s: when the process has finished its work so far
        self.sent = 0  # messages
        self.handlers: dict[tuple[str, str], Callable[[str, Any], None]] = {}  # by log, and kind of message

    def spend(self, seconds: float) -> float:
        """Use processor time as soon as the process is free; return when that ends."""
        self.free = max(self.free, self.network.clock.now) + seconds
        return self.free

    def use(self, seconds: float) -> Step:
        """Use processor time in a task, which continues afterwards."""
        yield self.spend(seconds) - self.network.clock.now

    def send(self, to: str, log: str, kind: str, body: Any) -> None:
        """Send a message, once the process has had the processor time for it."""
        self.sent += 1
        self.network.carry(self, to, log, kind, body, self.spend(self.network.costs.message))


class Network:
    """The network between all hosts: it delays, reorders and loses messages."""

    def __init__(self, clock: Clock, costs: Costs, seed: int) -> None:
        self.clock, self.costs = clock, costs
        self.random = Random(f"wires/{seed}")
        self.hosts: dict[str, Host] = {}
        self.cut: dict[str, float] = {}  # hosts cut off in both directions, and since when
        self.lost = 0

    def carry(self, source: Host, to: str, log: str, kind: str, body: Any, at: float) -> None:
        """Carry a message that leaves at a time from one host to another, or lose it."""
        target = self.hosts[to]
        if source.name in self.cut or to in self.cut or self.random.random() < self.costs.loss:
            self.lost += 1
            return
        delay = self.costs.delay(self.random, source.site != target.site)
        self.clock.at(at + delay, self._deliver, source.name, target, log, kind, body)

    def _deliver(self, source: str, target: Host, log: str, kind: str, body: Any) -> None:
        if target.name not in self.cut and source not in self.cut:
            target.handlers[log, kind](source, body)

    def silent(self, me: str) -> set[str]:
        """Return the hosts that a host counts as silent."""
        now = self.clock.now
        if me in self.cut:
            return {name for name in self.hosts if name != me} if now - self.cut[me] > SILENT else set()
        return {name for name, since in self.cut.items() if now - since > SILENT}
