"""Cost of a change of the rules by role (bytes, messages, processor time), and the time until all members apply it."""

from __future__ import annotations

import statistics
import time

from benchmarks.capacity import control
from benchmarks.capacity.fitting import fit
from benchmarks.capacity.records import CapacityError, Measured, Options, Point, Series
from tealwing.lab.hollow.fleet import HollowFleet, HollowFleetError
from tealwing.lab.hollow.requirements import FleetTooLargeError
from tealwing.lab.rollout import trials
from tealwing.lab.rollout.measure import quantile
from tealwing.rules.records import PartitionMode

NAME = "change"
SUMMARY = "a change of the rules on real sockets: time until in force everywhere, messages and bytes by role"
VIRTUAL_NAMES: dict[PartitionMode, str] = {"serve": "virtual-serve", "hold": "virtual-hold"}
VIRTUAL_SUMMARY = (
    "changes in virtual time up to 1,100 gateways, without loss: gap, time until open, messages; lost-touch {}"
)
SIZES = (8, 16, 32, 64, 128, 224)
SMALL = (8, 12)
VIRTUAL_SIZES = (8, 32, 128, 275, 550, 1100)
VIRTUAL_SMALL = (5, 10, 20, 40)
CHANGES, SMALL_CHANGES, VIRTUAL_CHANGES = 6, 2, 2
PAUSE = 0.5  # s between two changes
PATIENCE = 30.0  # s until a change must have ended
POLL = 0.05  # s between two checks of a change's phase
TEXT = b"[classes.lookup]\naim-ms = %d\n"
AIM = 600  # ms, of the first version; each later version adds 1 ms, so that it differs
SEED = 20
MODES: tuple[PartitionMode, ...] = ("serve", "hold")


def make_change(fleet: HollowFleet, number: int) -> tuple[float, str]:
    """Make one change; returns its first proposal's monotonic time and the phase in which the change ended."""
    begun = time.monotonic()
    while True:
        try:
            version = fleet.propose(TEXT % (AIM + number), "a scale test")
            break
        except HollowFleetError:  # no leader at the moment: retry as an operator would
            if time.monotonic() - begun > PATIENCE:
                raise
            time.sleep(POLL)
    while (phase := fleet.phase(version)) in ("proposed", "checked", "preparing", "agreed"):
        if time.monotonic() - begun > PATIENCE:
            raise HollowFleetError(f"version {version} is still {phase} after {PATIENCE:g} s")
        time.sleep(POLL)
    return begun, phase


def measure_changes(
    size: int, changes: int, members_a_host: int = control.MEMBERS_A_HOST
) -> tuple[list[float], dict[str, list[float]], float]:
    """Seconds until each change was in force at all members, cost of a change by role, share of changes in force."""
    try:
        with HollowFleet(size, control.VOTERS, members_a_host=members_a_host) as fleet:
            fleet.start(control.START_LIMIT)
            time.sleep(control.SETTLE)
            begun = []
            rest = fleet.metrics()
            time.sleep(control.SMALL_SECONDS)
            before = fleet.metrics()
            for number in range(changes):
                begun.append(make_change(fleet, number))
                time.sleep(PAUSE)
            after = fleet.metrics()
            everywhere = [
                max(found.values()) - at
                for number, (at, phase) in enumerate(begun, 1)
                if phase == "active" and len(found := after.in_force(number)) == size
            ]
            at_rest, spent = control.costs_by_role(fleet, rest, before), control.costs_by_role(fleet, before, after)
            seconds = (after.at - before.at) / changes
            costs = {
                role: [(now - then) * seconds for now, then in zip(spent[role], at_rest[role], strict=True)]
                for role in control.ROLES
            }
            return everywhere, costs, len(everywhere) / changes
    except (FleetTooLargeError, HollowFleetError) as error:
        raise CapacityError(f"changes at {size} members: {error}") from None


def measure(options: Options) -> Measured:
    """Measure changes at each size, on real sockets."""
    sizes, changes = (SMALL, SMALL_CHANGES) if options.small else (SIZES, CHANGES)
    rows = [measure_changes(size, changes) for size in sizes]
    columns: list[tuple[str, str, list[float]]] = [
        ("in force everywhere, median", "s", [statistics.median(row[0]) if row[0] else 0.0 for row in rows]),
        ("in force everywhere, longest", "s", [max(row[0], default=0.0) for row in rows]),
        ("changes that came in force everywhere", "share", [row[2] for row in rows]),
    ]
    for role in control.ROLES:
        columns.append((f"{role}: processor time", "ms a change", [10 * row[1][role][0] for row in rows]))
        columns.append((f"{role}: messages sent", "a change", [row[1][role][1] for row in rows]))
        columns.append((f"{role}: bytes sent", "a change", [row[1][role][2] for row in rows]))
    series = []
    for name, unit, values in columns:
        points = tuple(Point(size, value) for size, value in zip(sizes, values, strict=True))
        series.append(Series(name, unit, points, fit(points) if all(values) else None))
    note = f"{changes} changes a size; all members share this machine's processors and disk, so times are its too"
    return Measured(NAME, "members", sizes, tuple(series), (note, "costs are over those at rest"))


def measure_virtual(mode: PartitionMode, options: Options) -> Measured:
    """Measure changes in one partition mode at each size, in virtual time."""
    sizes = VIRTUAL_SMALL if options.small else VIRTUAL_SIZES
    series = []
    found = [trials.run_and_measure(trials.shape(1, size, mode), VIRTUAL_CHANGES, SEED, 0.0)[0] for size in sizes]
    if wrong := [text for run in found for text in run.wrong]:
        raise CapacityError(f"in virtual time, {mode}: {wrong[0]}")
    for name, unit, values in (
        ("gap", "ms, median over changes and gateways", [quantile(run.gaps, 0.5) * 1e3 for run in found]),
        ("open everywhere", "s, longest", [max(run.opened, default=0.0) for run in found]),
        ("messages of the leader", "a change", [quantile(run.by_leader, 0.5) for run in found]),
        ("messages of a gateway", "a change", [quantile(run.by_gateway, 0.5) for run in found]),
        ("in force", "share of changes", [1 - run.failed / max(1, run.changes) for run in found]),
    ):
        points = tuple(Point(size, value) for size, value in zip(sizes, values, strict=True))
        series.append(Series(name, unit, points, fit(points) if all(values) else None))
    note = f"{VIRTUAL_CHANGES} changes a size, {control.VOTERS} voters, no loss"
    return Measured(VIRTUAL_NAMES[mode], "gateways", sizes, tuple(series), (note,))


def measure_serve(options: Options) -> Measured:
    """Measure members that go on serving when they are cut off."""
    return measure_virtual("serve", options)


def measure_hold(options: Options) -> Measured:
    """Measure members that decide only while they hold a permit."""
    return measure_virtual("hold", options)
