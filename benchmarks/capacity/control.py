"""Cost of the control plane of an idle fleet, by role and number of members."""

from __future__ import annotations

import time

from benchmarks.capacity.fitting import fit
from benchmarks.capacity.records import CapacityError, Measured, Options, Point, Series
from tealwing.lab.hollow.fleet import FleetMetrics, HollowFleet, HollowFleetError
from tealwing.lab.hollow.requirements import FleetTooLargeError

NAME = "control"
SUMMARY = "processor time, messages and bytes a second, memory and threads of a learner, a voter and the leader at rest"
SIZES = (8, 16, 32, 64, 128, 224)
SMALL = (8, 12)
VOTERS = 5
MEMBERS_A_HOST = 12
SECONDS, SMALL_SECONDS = 8.0, 2.0  # of measurement, after all gates are open
SETTLE = 3.0  # s between the opening of the gates and the measurement
START_LIMIT = 120.0  # s until all gates must be open
ROLES = ("learner", "voter", "leader")
QUANTITIES = (
    ("processor time", "% of a core"),
    ("messages sent", "a second"),
    ("bytes sent", "a second"),
    ("bytes received", "a second"),
    ("memory", "KB of its process, over its members"),
    ("threads", "of its process, over its members"),
    ("descriptors", "of its process, over its members"),
)


def costs_by_role(fleet: HollowFleet, before: FleetMetrics, after: FleetMetrics) -> dict[str, list[float]]:
    """Mean cost of a member of each role between two readings, in the order of `QUANTITIES`."""
    leader, seconds = after.leader(), after.at - before.at
    sums: dict[str, list[float]] = {role: [0.0] * len(QUANTITIES) for role in ROLES}
    counts = dict.fromkeys(ROLES, 0)
    for old, new in zip(before.hosts, after.hosts, strict=True):
        here = len(new.members)
        first = new.members[0].name
        role = "leader" if first == leader else "learner" if first in fleet.fleet.learners else "voter"
        spent = (new.processor_s - old.processor_s) / seconds * 100
        sent = sum(m.sent for m in new.members) - sum(m.sent for m in old.members)
        sent_bytes = sum(m.sent_bytes for m in new.members) - sum(m.sent_bytes for m in old.members)
        received = sum(m.received_bytes for m in new.members) - sum(m.received_bytes for m in old.members)
        row = (
            spent, sent / seconds, sent_bytes / seconds, received / seconds, new.resident_kb, new.threads,
            new.descriptors,
        )  # fmt: skip
        sums[role] = [total + value for total, value in zip(sums[role], row, strict=True)]
        counts[role] += here
    return {role: [total / max(1, counts[role]) for total in sums[role]] for role in ROLES}


def measure_idle_fleet(size: int, seconds: float, members_a_host: int = MEMBERS_A_HOST) -> dict[str, list[float]]:
    """Measure an idle fleet of `size` members; raises CapacityError if the machine can't run it."""
    try:
        with HollowFleet(size, VOTERS, members_a_host=members_a_host) as fleet:
            fleet.start(START_LIMIT)
            time.sleep(SETTLE)
            before = fleet.metrics()
            time.sleep(seconds)
            return costs_by_role(fleet, before, fleet.metrics())
    except (FleetTooLargeError, HollowFleetError) as error:
        raise CapacityError(f"control at {size} members: {error}") from None


def measure(options: Options) -> Measured:
    """Measure idle fleets of each size."""
    sizes = SMALL if options.small else SIZES
    rows = [measure_idle_fleet(size, SMALL_SECONDS if options.small else SECONDS) for size in sizes]
    series = []
    for role in ROLES:
        for column, (name, unit) in enumerate(QUANTITIES):
            points = tuple(Point(size, row[role][column]) for size, row in zip(sizes, rows, strict=True))
            series.append(Series(f"{role}: {name}", unit, points, fit(points)))
    return Measured(NAME, "members", sizes, tuple(series), (f"{VOTERS} voters; {MEMBERS_A_HOST} learners a process",))
