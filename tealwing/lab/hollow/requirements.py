"""What a hollow fleet takes of the machine, worked out before anything starts; pure but for reading the limits."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass
from pathlib import Path

from tealwing.lab.hollow.specification import Fleet

# Measured by `benchmarks/capacity/control.py` (20 hollow members on one machine); see docs/CAPACITY.md
THREADS_A_LEARNER = 9  # beside one for each voter
THREADS_A_HOST = 2
DESCRIPTORS_A_LEARNER = 12  # beside two for each voter: its log, its listener, its epoll set
DESCRIPTORS_A_HOST = 16
MEMORY_A_MEMBER_KB = 2600  # its threads' stacks and buffers
MEMORY_A_LINK_KB = 24  # one direction to one peer: a thread's stack, an outbox
MEMORY_A_HOST_KB = 40_000  # interpreter and modules
PROCESSOR_A_LEARNER = 0.0105  # cores at rest
PROCESSOR_A_LINK = 0.0009  # cores of a voter, for each member that it is linked to
PROCESSOR_SHARE = 0.75  # of the machine's processors: 1,105 members on 8, which had none left, elected nobody
MEMORY_SHARE = 0.5  # of the machine's memory that a fleet may take
MAX_PROCESSES = 300
TASK_SHARE = 0.75  # of the table of tasks


class FleetTooLargeError(ValueError):
    """The machine can't carry the fleet; the text says which limit it is, and the remedy."""


@dataclass(frozen=True, slots=True)
class Need:
    """What a fleet takes in all; descriptors are those of the process that has most."""

    processes: int
    threads: int
    descriptors: int
    memory_mb: int
    processors: float

    def __str__(self) -> str:
        return (
            f"{self.processes} processes, {self.threads} threads, {self.descriptors} descriptors in the largest of"
            f" them, {self.memory_mb} MB, {self.processors:.1f} processors at rest"
        )


@dataclass(frozen=True, slots=True)
class AvailableResources:
    """What the machine lets a fleet have."""

    processes: int
    threads: int
    descriptors: int
    memory_mb: int
    processors: float


def need(fleet: Fleet, members_a_host: int, singles: int = 0) -> Need:
    """Each voter has a process of its own, and so have singles of the learners; so many of the others share one."""
    learners = len(fleet.learners)
    hosts = singles + -(-(learners - singles) // members_a_host)
    others = len(fleet.members) - 1
    learner_threads = learners * (THREADS_A_LEARNER + fleet.voters)
    voter_threads = fleet.voters * (THREADS_A_LEARNER + others)
    largest = max(
        min(members_a_host, learners) * (DESCRIPTORS_A_LEARNER + 2 * fleet.voters), DESCRIPTORS_A_LEARNER + 2 * others
    )
    memory = (
        (hosts + fleet.voters) * MEMORY_A_HOST_KB
        + len(fleet.members) * MEMORY_A_MEMBER_KB
        + 2 * (learners * fleet.voters + fleet.voters * others) * MEMORY_A_LINK_KB // 2
    )
    processes = hosts + fleet.voters
    threads = learner_threads + voter_threads + processes * THREADS_A_HOST
    processors = learners * PROCESSOR_A_LEARNER + fleet.voters * others * PROCESSOR_A_LINK
    return Need(processes, threads, largest + DESCRIPTORS_A_HOST, memory // 1024, round(processors, 2))


def available_resources() -> AvailableResources:
    """This machine's limits, of which a fleet may take a part."""
    fields = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    total_kb = int(fields["MemTotal"].split()[0])
    tasks = min(int(Path(f"/proc/sys/kernel/{name}").read_text()) for name in ("pid_max", "threads-max"))
    used = sum(1 for entry in Path("/proc").iterdir() if entry.name.isdecimal())
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    memory_mb = int(MEMORY_SHARE * total_kb) // 1024
    processors = round(PROCESSOR_SHARE * (os.cpu_count() or 1), 2)
    return AvailableResources(MAX_PROCESSES, int(TASK_SHARE * tasks) - used, descriptors, memory_mb, processors)


def check(needed: Need, there: AvailableResources) -> None:
    """TooLarge where it does not fit."""
    for what, remedy in (
        ("processes", "put more members into a host"),
        ("threads", "have fewer members, or raise kernel.pid_max"),
        ("descriptors", "put fewer members into a host, or raise the limit of open files"),
        ("memory_mb", "have fewer members, or a machine with more memory"),
        ("processors", "have fewer members, or a machine with more processors"),
    ):
        required, available = getattr(needed, what), getattr(there, what)
        if required > available:
            raise FleetTooLargeError(
                f"the fleet needs {required} {what.replace('_', ' ')}, and {available} may be used: {remedy}"
            )
