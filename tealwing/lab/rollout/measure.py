"""What changes cost in a fleet of the laboratory: gaps, messages, times, entries."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealwing.lab.rollout.fleet import Fleet

PAUSE = 0.7  # s between two changes
PATIENCE = 60.0  # s after which a change that is neither in force nor over is a fault


@dataclass
class Found:
    """Of all changes of one run; times are seconds."""

    changes: int = 0
    failed: int = 0  # that did not come in force
    gaps: list[float] = field(default_factory=list)  # by change and gateway
    decided: list[float] = field(default_factory=list)  # from the proposal to the entry that decides
    opened: list[float] = field(default_factory=list)  # from the proposal until all decide under it
    by_gateway: list[float] = field(default_factory=list)  # messages that one that leads nothing sent, by change
    by_leader: list[float] = field(default_factory=list)  # that the leader of the deciding log sent
    entries: list[float] = field(default_factory=list)  # of all logs
    waits: list[float] = field(default_factory=list)  # of clients that were held
    clients: int = 0
    wrong: list[str] = field(default_factory=list)


def share(values: list[float], part: float) -> float:
    """The value below which that share of them lies; 0 where there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def changes(fleet: Fleet, count: int) -> Found:
    """Make so many changes, one after the other, and look at each."""
    found, clock = Found(), fleet.clock
    if not fleet.until(fleet.begun, 60.0, 0.05):
        found.wrong.append("not all gateways decide after a minute")
        return found
    names = list(fleet.parts)
    for turn in range(count):
        clock.run(clock.now + PAUSE)
        _one(fleet, found, turn, names[(7 * turn) % len(names)])
    for part in fleet.parts.values():
        found.gaps += part.gate.gaps
        found.waits += part.gate.waits
        found.clients += part.gate.passed
        part.gate.end()
    found.wrong += fleet.checker.verdict()
    return found


def _one(fleet: Fleet, found: Found, turn: int, at: str) -> None:
    clock, wires = fleet.clock, fleet.wires
    number = fleet.state.plain.last_number + 1
    sent = {name: host.sent for name, host in wires.hosts.items()}
    entries = sum(copies.last.index for copies in fleet.copies.values())
    begun = clock.now
    fleet.propose(b"version %d" % turn, at)
    fleet.until(lambda: fleet.state.plain.has_outcome(number), PATIENCE, 0.001)
    decided = clock.now - begun
    found.changes += 1
    if fleet.state.plain.active != number:
        found.failed += 1
        return
    if not fleet.until(lambda: fleet.open_under(number), PATIENCE, 0.001):
        found.wrong.append(f"not all decide under version {number}")
        return
    found.decided.append(decided)
    found.opened.append(clock.now - begun)
    leaders = {fleet.leader(log) for log in fleet.logs}
    counts = {name: host.sent - sent[name] for name, host in wires.hosts.items()}
    others = [count for name, count in counts.items() if name not in leaders]
    found.by_gateway.append(sum(others) / max(1, len(others)))
    found.by_leader.append(counts.get(fleet.leader(fleet.deciding), 0))
    found.entries.append(sum(copies.last.index for copies in fleet.copies.values()) - entries)
