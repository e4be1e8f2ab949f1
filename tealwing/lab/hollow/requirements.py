"""Estimates the resources that a hollow fleet needs before it starts; pure except for reading the machine's limits."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass
from pathlib import Path

from tealwing.lab.hollow.specification import Fleet

# `benchmarks/capacity/control.py` reports these for 20 hollow members on one machine; see docs/CAPACITY.md
THREADS_A_LEARNER = 9  # besides one for each voter
THREADS_A_HOST = 2
DESCRIPTORS_A_LEARNER = 12  # log, listener, epoll set and others, besides two for each voter
DESCRIPTORS_A_HOST = 16
MEMORY_A_MEMBER_KB = 2600  # stacks and buffers of its threads
MEMORY_A_LINK_KB = 24  # per direction to a peer: a thread's stack and an outbox
MEMORY_A_HOST_KB = 40_000  # interpreter and modules
PROCESSOR_A_LEARNER = 0.0105  # cores of an idle learner
PROCESSOR_A_LINK = 0.0009  # cores of an idle voter, for each member that it is linked to
PROCESSOR_SHARE = 0.75  # share of the machine's processors: 1,105 members elected no leader on 8 that had none left
MEMORY_SHARE = 0.5  # share of the machine's memory that a fleet may use
MAX_PROCESSES = 300
TASK_SHARE = 0.75  # share of the kernel's limit of tasks


class FleetTooLargeError(ValueError):
    """The fleet exceeds the machine's resources; the message names the limit and the remedy."""


@dataclass(frozen=True, slots=True)
class Need:
    """The resources that a fleet needs in total; descriptors are those of the process that needs most."""

    processes: int
    threads: int
    descriptors: int
    memory_mb: int
    processors: float

    def __str__(self) -> str:
        return (
            f"{self.processes} processes, {self.threads} threads, {self.descriptors} descriptors in the largest"
            f" process, {self.memory_mb} MB, {self.processors:.1f} processors when idle"
        )


@dataclass(frozen=True, slots=True)
class AvailableResources:
    """The resources of the machine that a fleet may use."""

    processes: int
    threads: int
    descriptors: int
    memory_mb: int
    processors: float


def need(fleet: Fleet, members_a_host: int, singles: int = 0) -> Need:
    """Return a fleet's need: voters and `singles` learners have a process each, `members_a_host` others share one."""
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
    """Return the part of this machine's limits that a fleet may use."""
    fields = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    total_kb = int(fields["MemTotal"].split()[0])
    tasks = min(int(Path(f"/proc/sys/kernel/{name}").read_text()) for name in ("pid_max", "threads-max"))
    used = sum(1 for entry in Path("/proc").iterdir() if entry.name.isdecimal())
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    memory_mb = int(MEMORY_SHARE * total_kb) // 1024
    processors = round(PROCESSOR_SHARE * (os.cpu_count() or 1), 2)
    return AvailableResources(MAX_PROCESSES, int(TASK_SHARE * tasks) - used, descriptors, memory_mb, processors)


def check(needed: Need, resources: AvailableResources) -> None:
    """Raise FleetTooLargeError if a need exceeds what is available."""
    for what, remedy in (
        ("processes", "run more members per host process"),
        ("threads", "run fewer members, or raise kernel.pid_max and kernel.threads-max"),
        ("descriptors", "run fewer members per host process, or raise the limit of open files"),
        ("memory_mb", "run fewer members, or use a machine with more memory"),
        ("processors", "run fewer members, or use a machine with more processors"),
    ):
        required, available = getattr(needed, what), getattr(resources, what)
        if required > available:
            raise FleetTooLargeError(
                f"the fleet needs {required} {what.replace('_', ' ')}, and at most {available} may be used: {remedy}"
            )
