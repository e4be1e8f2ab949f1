"""Disk faults under a running member: acknowledged writes are kept, and the member returns to service."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tealwing.lab.rig.ports import free_port
from tealwing.peers.clock import Clock
from tealwing.peers.link import Link
from tealwing.peers.plan import Plan as PeersPlan
from tealwing.replica import commands as c
from tealwing.replica.plan import ReplicaPlan
from tealwing.replica.service.node import OutcomeUnknownError, Replica, UnavailableError

WAIT = 2.0  # s for one command
RECOVERY_TIME = 5.0  # s within which a member whose disk works again accepts commands


def start_member(folder: Path) -> tuple[Replica, Link]:
    """Start a fleet of one member, which becomes the leader."""
    link = Link(PeersPlan("f", "a", (("a", ("127.0.0.1", free_port())),)))
    replica = Replica(ReplicaPlan(str(folder), heartbeat_interval=0.02, election_timeout=0.1), link, Clock())
    replica.start()
    return replica, link


@pytest.fixture
def member(tmp_path: Path) -> Iterator[Replica]:
    replica, link = start_member(tmp_path / "replica")
    yield replica
    replica.stop()
    link.stop()


def put(replica: Replica, key: str) -> bool:
    """Write a value and return whether the write was acknowledged."""
    try:
        return replica.write(c.Command("", 0, c.Put(key, b"v")), WAIT).ok
    except (UnavailableError, OutcomeUnknownError):
        return False


@pytest.mark.parametrize("fault", ["full", "short", "fsync"])
def test_acknowledged_writes_survive_disk_fault_and_restart(fault: str, tmp_path: Path) -> None:
    replica, link = start_member(tmp_path / "replica")
    assert put(replica, "before")
    replica.disk.inject_fault(fault, 1)
    put(replica, "during")  # not acknowledged, so it may be lost or kept
    replica.stop()
    link.stop()
    replica, link = start_member(tmp_path / "replica")
    assert put(replica, "after")
    with replica.lock:
        kept = set(replica.state.tables["values"])
    assert {"before", "after"} <= kept
    replica.stop()
    link.stop()


def test_member_accepts_commands_after_disk_recovers(member: Replica) -> None:
    assert put(member, "before")
    member.disk.inject_fault("full", 3)
    put(member, "during")
    deadline = time.monotonic() + RECOVERY_TIME
    while not put(member, "after"):
        assert time.monotonic() < deadline, member.broken
