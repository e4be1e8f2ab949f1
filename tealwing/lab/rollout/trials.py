"""Trials in virtual time: rollouts in fleets of several sizes, with a gateway cut off, and with sabotage."""

from __future__ import annotations

from dataclasses import dataclass, field

from tealwing.lab.rollout.costs import Costs
from tealwing.lab.rollout.fleet import Fleet, Shape
from tealwing.lab.rollout.measure import PATIENCE, Found, changes
from tealwing.rollout.plan import Plan
from tealwing.rules.records import PartitionMode

VOTERS = 5  # of a single site; sites of a federation have three each
CUT_BEFORE = 1.0  # s from the cut to the proposal
SETTLE_TIME = 3.0  # s before each cut, and from the outcome to the end of the cut


@dataclass
class CutOffResult:
    """Rollouts with one gateway cut off: the phase in which each ended, s from its proposal to that, and violations."""

    ended: list[str] = field(default_factory=list)
    took: list[float] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)


def shape(sites: int, gateways: int, mode: PartitionMode, sabotage: str = "") -> Shape:
    """Return the size of a simulation of sites with `gateways` gateways each, with the default plan."""
    return Shape(sites, gateways, VOTERS if sites == 1 else 3, Plan(partition_mode=mode, sabotage=sabotage))


def run_and_measure(what: Shape, count: int, seed: int, loss: float = 0.01) -> tuple[Found, Fleet]:
    """Run and measure `count` rollouts; return the results and the fleet."""
    fleet = Fleet(what, seed, Costs(loss=loss))
    return changes(fleet, count), fleet


def cut_off(what: Shape, count: int, seed: int, loss: float = 0.01) -> CutOffResult:
    """Run `count` rollouts, each with the last gateway cut off from before the proposal until the outcome."""
    fleet, found = Fleet(what, seed, Costs(loss=loss)), CutOffResult()
    clock, alone = fleet.clock, list(fleet.parts)[-1]
    for turn in range(count):
        if not fleet.run_until(fleet.all_gates_open, PATIENCE, 0.05):
            found.wrong.append(f"some gateways decide nothing after {PATIENCE:g} s")
            break
        clock.run(clock.now + SETTLE_TIME)
        fleet.network.cut[alone] = clock.now
        clock.run(clock.now + CUT_BEFORE)
        number, begun = fleet.state.plain.last_number + 1, clock.now
        fleet.propose(b"version %d" % turn, fleet.leader(fleet.deciding))
        if not fleet.run_until(lambda n=number: fleet.state.plain.has_outcome(n), PATIENCE, 0.001):  # type: ignore[misc]
            found.wrong.append(f"version {number} has no outcome after {PATIENCE:g} s")
            break
        found.ended.append(fleet.state.plain.phase_of(number) or "")
        found.took.append(clock.now - begun)
        clock.run(clock.now + SETTLE_TIME)
        del fleet.network.cut[alone]
    for part in fleet.parts.values():
        part.gate.end()
    found.wrong += fleet.checker.verdict()
    return found
