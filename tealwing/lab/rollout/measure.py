"""The cost of rollouts in a simulated fleet: gaps in service, durations, messages and log entries."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealwing.lab.rollout.fleet import Fleet

PAUSE = 0.7  # s between two rollouts
PATIENCE = 60.0  # s after which a rollout without an outcome is a failure


@dataclass
class Found:
    """The results of all rollouts of one run; times are in s."""

    changes: int = 0
    failed: int = 0  # rollouts whose version did not come into force
    gaps: list[float] = field(default_factory=list)  # for each rollout and gateway: how long the gate was closed
    decided: list[float] = field(default_factory=list)  # from the proposal to the entry that decides the outcome
    opened: list[float] = field(default_factory=list)  # from the proposal until all gateways decide under the version
    # for each rollout: mean number of messages sent by a gateway that leads no log
    by_gateway: list[float] = field(default_factory=list)
    by_leader: list[float] = field(default_factory=list)  # for each rollout: messages sent by the deciding log's leader
    entries: list[float] = field(default_factory=list)  # for each rollout: entries of all logs
    waits: list[float] = field(default_factory=list)  # how long requests were held
    clients: int = 0  # requests decided
    wrong: list[str] = field(default_factory=list)  # the violations found


def quantile(values: list[float], part: float) -> float:
    """Return the quantile of the values, `part` from 0 to 1; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def changes(fleet: Fleet, count: int) -> Found:
    """Run `count` rollouts, one after the other, and measure each."""
    found, clock = Found(), fleet.clock
    if not fleet.run_until(fleet.all_gates_open, 60.0, 0.05):
        found.wrong.append("some gateways decide nothing after 60 s")
        return found
    names = list(fleet.parts)
    for turn in range(count):
        clock.run(clock.now + PAUSE)
        _measure_rollout(fleet, found, turn, names[(7 * turn) % len(names)])
    for part in fleet.parts.values():
        found.gaps += part.gate.gaps
        found.waits += part.gate.waits
        found.clients += part.gate.passed
        part.gate.end()
    found.wrong += fleet.checker.verdict()
    return found


def _measure_rollout(fleet: Fleet, found: Found, turn: int, at: str) -> None:
    clock, network = fleet.clock, fleet.network
    number = fleet.state.plain.last_number + 1
    sent = {name: host.sent for name, host in network.hosts.items()}
    entries = sum(copies.last.index for copies in fleet.copies.values())
    begun = clock.now
    fleet.propose(b"version %d" % turn, at)
    fleet.run_until(lambda: fleet.state.plain.has_outcome(number), PATIENCE, 0.001)
    decided = clock.now - begun
    found.changes += 1
    if fleet.state.plain.active != number:
        found.failed += 1
        return
    if not fleet.run_until(lambda: fleet.all_open_under(number), PATIENCE, 0.001):
        found.wrong.append(f"some gateways do not decide under version {number} after {PATIENCE:g} s")
        return
    found.decided.append(decided)
    found.opened.append(clock.now - begun)
    leaders = {fleet.leader(log) for log in fleet.logs}
    counts = {name: host.sent - sent[name] for name, host in network.hosts.items()}
    others = [count for name, count in counts.items() if name not in leaders]
    found.by_gateway.append(sum(others) / max(1, len(others)))
    found.by_leader.append(counts.get(fleet.leader(fleet.deciding), 0))
    found.entries.append(sum(copies.last.index for copies in fleet.copies.values()) - entries)
