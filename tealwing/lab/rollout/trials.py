"""What is tried in virtual time: changes at several sizes, one gateway cut off, and rules broken on purpose."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealwing.lab.rollout.costs import Costs
from tealwing.lab.rollout.fleet import Fleet, Shape
from tealwing.lab.rollout.measure import PATIENCE, Found, changes
from tealwing.rollout.plan import Plan
from tealwing.rules.records import PartitionMode

VOTERS = 5  # of one site that is alone; sites of a federation have three each
CUT_BEFORE = 1.0  # s before a proposal
AGAIN = 3.0  # s between two


@dataclass
class Alone:
    """Changes with one gateway cut off: phases that they ended in, and s from the proposal to that."""

    ended: list[str] = field(default_factory=list)
    took: list[float] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)


def shape(sites: int, gateways: int, mode: PartitionMode, sabotage: str = "") -> Shape:
    """Sites with so many gateways each, as an operator would have them."""
    return Shape(sites, gateways, VOTERS if sites == 1 else 3, Plan(partition_mode=mode, sabotage=sabotage))


def sized(what: Shape, count: int, seed: int, loss: float = 0.01) -> tuple[Found, Fleet]:
    """So many changes."""
    fleet = Fleet(what, seed, Costs(loss=loss))
    return changes(fleet, count), fleet


def cut_off(what: Shape, count: int, seed: int, loss: float = 0.01) -> Alone:
    """So many changes, each with the last gateway cut off from before it is proposed until it is over."""
    fleet, found = Fleet(what, seed, Costs(loss=loss)), Alone()
    clock, alone = fleet.clock, list(fleet.parts)[-1]
    for turn in range(count):
        if not fleet.until(fleet.begun, PATIENCE, 0.05):
            found.wrong.append("not all gateways decide after a minute")
            break
        clock.run(clock.now + AGAIN)
        fleet.wires.cut[alone] = clock.now
        clock.run(clock.now + CUT_BEFORE)
        number, begun = fleet.state.plain.last_number + 1, clock.now
        fleet.propose(b"version %d" % turn, fleet.leader(fleet.deciding))
        if not fleet.until(lambda n=number: fleet.state.plain.has_outcome(n), PATIENCE, 0.001):  # type: ignore[misc]
            found.wrong.append(f"version {number} is neither in force nor over after a minute")
            break
        found.ended.append(fleet.state.plain.phase_of(number) or "")
        found.took.append(clock.now - begun)
        clock.run(clock.now + AGAIN)
        del fleet.wires.cut[alone]
    for part in fleet.parts.values():
        part.gate.end()
    found.wrong += fleet.checker.verdict()
    return found
