"""A folder that fails for a while under a running member: what was acknowledged stays, and the member comes back."""

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
BACK = 5.0  # s within which a member whose disk is well again takes commands


def begin(folder: Path) -> tuple[Replica, Link]:
    """A fleet of one, which leads itself."""
    link = Link(PeersPlan("f", "a", (("a", ("127.0.0.1", free_port())),)))
    replica = Replica(ReplicaPlan(str(folder), heartbeat_interval=0.02, election_timeout=0.1), link, Clock())
    replica.start()
    return replica, link


@pytest.fixture
def member(tmp_path: Path) -> Iterator[Replica]:
    replica, link = begin(tmp_path / "replica")
    yield replica
    replica.stop()
    link.stop()


def put(replica: Replica, key: str) -> bool:
    """Whether a write was acknowledged."""
    try:
        return replica.write(c.Command("", 0, c.Put(key, b"v")), WAIT).ok
    except (UnavailableError, OutcomeUnknownError):
        return False


@pytest.mark.parametrize("fault", ["full", "short", "fsync"])
def test_what_was_acknowledged_before_a_fault_is_there_after_a_start(fault: str, tmp_path: Path) -> None:
    replica, link = begin(tmp_path / "replica")
    assert put(replica, "before")
    replica.disk.inject_fault(fault, 1)
    put(replica, "amid")  # may be there or not: nobody was told that it is
    replica.stop()
    link.stop()
    replica, link = begin(tmp_path / "replica")
    assert put(replica, "after")
    with replica.lock:
        kept = set(replica.state.tables["values"])
    assert {"before", "after"} <= kept
    replica.stop()
    link.stop()


def test_a_member_whose_disk_is_well_again_takes_commands(member: Replica) -> None:
    assert put(member, "before")
    member.disk.inject_fault("full", 3)
    put(member, "amid")
    until = time.monotonic() + BACK
    while not put(member, "after"):
        assert time.monotonic() < until, member.broken
